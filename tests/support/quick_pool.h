/// A pool of model engines under a rollout of seconds, in virtual time. Hosts,
/// engines and requests are small fakes; the decisions are made by VersionGuard
/// and QuickRollout.
#ifndef MARJORAMBAY_TESTS_SUPPORT_QUICK_POOL_H
#define MARJORAMBAY_TESTS_SUPPORT_QUICK_POOL_H

#include "marjorambay/coordination/quick_rollout.h"
#include "marjorambay/coordination/version_guard.h"
#include "marjorambay/state/random.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace marjorambay::test {

/// When the answers of the new version are slow.
enum class SlowWhen : std::uint8_t { Always, SecondHalf, OneRoute, UnderLoad };

struct QuickScenario {
  double RequestsPerSecond = 94;
  double Slowdown = 1;  ///< of the new version
  double SlowShare = 1; ///< of its answers are slow
  bool Streams = true;  ///< otherwise, each answer is one event
  bool Alike = false;   ///< targets of one speed, answers that differ little,
                        ///< as those of plain services
  SlowWhen When = SlowWhen::Always;
  Duration Window = seconds(15);
  std::size_t Hosts = 8;
  std::size_t Targets = 18;  ///< of each version
  double SpeedSpread = 0;    ///< of alike targets, as a standard deviation of
                             ///< the logarithm
  Duration NewOverhead{};    ///< of each answer of a new target
  bool SilentTarget = false; ///< the new target with most requests is silent
                             ///< for the second before the switch, and for one
                             ///< in the middle of the window
  /// Share of the time in which a target of the old version also processes
  /// prompts of other requests. Targets of the new one have few others.
  double OldLoad = 0;
  std::uint64_t Seed = 1;
};

struct QuickResult {
  VersionStage Stage = VersionStage::Canary;
  RollbackCause Cause = RollbackCause::None;
  Duration EndedAt{};             ///< when the stage became final
  std::uint64_t Requests = 0;     ///< until the end of the window
  std::uint64_t SlowRequests = 0; ///< sent to the version while it was slow
};

/// A third of the targets is three times as fast as the others and gets half of
/// the requests of its version, as they do from an arbiter.
class QuickPool {
public:
  explicit QuickPool(const QuickScenario &Wanted)
      : Scene(Wanted), Random(Wanted.Seed * 7919),
        Rollout(Pool, New, Wanted.Window, at(Duration(0))),
        Guards(Wanted.Hosts) {}

  QuickResult run() {
    for (Now = -Warmup; Now < Scene.Window; Now += Step) {
      if (Now == Duration(0))
        startRollout();
      deliverDue();
      arrivals();
      if (Now >= Duration(0) && Now % Tick == Duration(0))
        tick();
    }
    return Out;
  }

private:
  static constexpr Duration Step = milliseconds(10);
  static constexpr Duration Tick = milliseconds(250);
  static constexpr Duration Warmup = seconds(4);
  static constexpr std::size_t Routes = 3;

  static inline const PoolId Pool = idOf<PoolId>("pool");
  static inline const VersionId Old = idOf<VersionId>("v1");
  static inline const VersionId New = idOf<VersionId>("v2");

  static TimePoint at(Duration SinceOrder) {
    return TimePoint(hours(1)) + SinceOrder;
  }

  double logNormal(double Median, double Deviation) {
    const double Radius =
        std::sqrt(-2 * std::log(1 - drawFraction(Random) * 0.999999));
    const double Normal = Radius * std::cos(6.283185 * drawFraction(Random));
    return Median * std::exp(Deviation * Normal);
  }

  void after(Duration Delay, std::function<void()> Work) {
    Due.emplace(Now + Delay, std::move(Work));
  }
  void deliverDue() {
    while (!Due.empty() && Due.begin()->first <= Now) {
      const auto Work = std::move(Due.begin()->second);
      Due.erase(Due.begin());
      Work();
    }
  }

  void startRollout() {
    RolloutView View;
    View.Id = RolloutId{1};
    View.Pool = Pool;
    View.From = Old;
    View.To = New;
    View.ObjectVersion = 1;
    View.Phase = RolloutPhase::Canary;
    View.Deadline = WallTime::max();
    for (VersionGuard &Guard : Guards)
      Guard.step(ViewUpdated{View});
  }

  void tick() {
    for (VersionGuard &Guard : Guards)
      for (const GuardAction &Action : Guard.step(GuardTicked{WallTime{}}))
        if (const auto *Ready = std::get_if<EvidenceReady>(&Action))
          addEvidence(*Ready);
    const VersionDecision Decision = Rollout.step(at(Now));
    Share = Decision.Share;
    if (!isFinal(Out.Stage) && isFinal(Decision.Stage))
      Out.EndedAt = Now;
    Out.Stage = Decision.Stage;
    Out.Cause = Rollout.cause();
  }

  void addEvidence(const EvidenceReady &Ready) {
    Rollout.add(Ready.Cells, Ready.Latencies, Ready.Paces, at(Now));
  }

  void arrivals() {
    Owed += Scene.RequestsPerSecond * toSeconds(Step) * 2 *
            drawFraction(Random); // uneven
    for (; Owed >= 1; Owed -= 1)
      serve();
  }

  void serve() {
    Credit = std::min(2.0, Credit + Share);
    const bool IsNew = Credit >= 1;
    Credit -= IsNew ? 1 : 0;
    const auto Route = static_cast<std::size_t>(drawFraction(Random) * Routes);
    const std::size_t FastTargets = std::max<std::size_t>(1, Scene.Targets / 3);
    const bool Prefers = drawFraction(Random) < 0.25;
    const auto Target = static_cast<std::size_t>(
        drawFraction(Random) *
        static_cast<double>(Prefers ? FastTargets : Scene.Targets));
    ++Out.Requests;
    const bool Slow =
        IsNew && Scene.Slowdown > 1 && isSlow(Route) &&
        (Scene.SlowShare >= 1 || drawFraction(Random) < Scene.SlowShare);
    Out.SlowRequests += Slow ? 1 : 0;
    answer(IsNew, Route, Target, Target < FastTargets, Slow);
  }

  bool isSlow(std::size_t Route) {
    switch (Scene.When) {
    case SlowWhen::Always:
      return true;
    case SlowWhen::SecondHalf:
      return Now >= Scene.Window / 2;
    case SlowWhen::OneRoute:
      return Route == 0;
    case SlowWhen::UnderLoad: // a wave of four seconds
      return Now % seconds(4) < seconds(2);
    }
    return true;
  }

  /// How much longer a target is silent that a request reaches now.
  Duration silence(bool IsNew, std::size_t Target) const {
    if (!Scene.SilentTarget || !IsNew || Target != 0)
      return Duration(0);
    for (const Duration From :
         {Scene.Window / 2, Scene.Window - milliseconds(2800)})
      if (Now >= From && Now < From + seconds(1))
        return From + seconds(1) - Now;
    return Duration(0);
  }

  /// Seconds for which a target processes a prompt of another request; 0 if it
  /// has none at that moment.
  double interruption(bool IsNew, double Speed) {
    if (IsNew || Scene.OldLoad <= 0 || drawFraction(Random) >= Scene.OldLoad)
      return 0;
    return -0.03 * Speed * std::log(1 - drawFraction(Random) * 0.999);
  }

  /// Returns the times between the first events of a stream, in seconds.
  std::vector<double> eventGaps(bool IsNew, double Speed, double Events) {
    constexpr double MostGaps = 12;
    const double Step = logNormal(0.011, Scene.OldLoad > 0 ? 0.03 : 0.25);
    std::vector<double> Gaps;
    for (double Gap = 1; Gap < Events && Gap <= MostGaps; ++Gap)
      Gaps.push_back(Step * Speed + interruption(IsNew, Speed));
    return Gaps;
  }

  /// Seconds for which a plain service works on a request; one in a hundred
  /// takes five times as long.
  double plainWork(bool IsNew, std::size_t Target) {
    const auto [Known, First] = Speeds.try_emplace({IsNew, Target}, 1.0);
    if (First)
      Known->second = logNormal(1, Scene.SpeedSpread);
    const double Long = drawFraction(Random) < 0.01 ? 5 : 1;
    return logNormal(0.055, 0.47) * Known->second * Long;
  }

  void answer(bool IsNew, std::size_t Route, std::size_t Target, bool Fast,
              bool Slow) {
    const double Speed =
        (Fast || Scene.Alike ? 1.0 : 3.0) * (Slow ? Scene.Slowdown : 1.0);
    const std::array<double, Routes> Prompts = {0.08, 0.04, 0.015};
    const std::array<double, Routes> Lengths = {4, 5, 25};
    const double Served =
        Scene.Alike ? 0.002 + plainWork(IsNew, Target) * Speed
                    : 0.055 + logNormal(Prompts[Route], 0.9) * Speed / 2;
    const double First = Served + toSeconds(silence(IsNew, Target)) +
                         (IsNew ? toSeconds(Scene.NewOverhead) : 0) +
                         2 * interruption(IsNew, Speed);
    const double Events =
        Scene.Streams ? std::floor(1 + logNormal(Lengths[Route], 1.4)) : 1;
    const std::vector<double> Gaps = eventGaps(IsNew, Speed, Events);
    double PerEvent = 0;
    for (const double Gap : Gaps)
      PerEvent += Gap / static_cast<double>(Gaps.size());
    const std::size_t Host = static_cast<std::size_t>(
        drawFraction(Random) * static_cast<double>(Guards.size()));
    AnswerObserved Ended;
    Ended.Version = IsNew ? New : Old;
    Ended.Stratum.Route = RouteId{Route + 1};
    Ended.FirstTokenSeconds = First;
    Ended.SecondsPerToken =
        Events > 1 ? PerEvent / 3 * (Events - 1) / Events : 0;
    LatencyObserved Latency{Ended.Version,
                            Ended.Stratum.Route,
                            TargetId{Target + (IsNew ? 1000 : 0)},
                            LatencyKind::FirstEvent,
                            at(Now),
                            fromSeconds(First)};
    after(Latency.Elapsed,
          [this, Host, Latency] { Guards[Host].step(Latency); });
    // The time between events is known after eight of them, or at the end.
    const double Intervals = std::min(8.0, Events - 1);
    if (Intervals >= 2) {
      Latency.Kind = LatencyKind::PerEvent;
      Latency.StartedAt += fromSeconds(First);
      Latency.Elapsed = fromSeconds(PerEvent);
      after(fromSeconds(First + PerEvent * Intervals),
            [this, Host, Latency] { Guards[Host].step(Latency); });
    }
    after(fromSeconds(First + PerEvent * (Events - 1)),
          [this, Host, Ended] { Guards[Host].step(Ended); });
    observePace(Host, Latency, First, Gaps);
  }

  void observePace(std::size_t Host, const LatencyObserved &Latency,
                   double First, const std::vector<double> &Gaps) {
    EventPace Pace;
    double Arrival = First;
    Pace.add(1, at(Now + fromSeconds(Arrival)));
    for (const double Gap : Gaps)
      Pace.add(1, at(Now + fromSeconds(Arrival += Gap)));
    if (const auto Measured = Pace.pace())
      after(fromSeconds(Arrival),
            [this, Host,
             Observed =
                 PaceObserved{Latency.Version, Latency.Target, *Measured}] {
              Guards[Host].step(Observed);
            });
  }

  QuickScenario Scene;
  SplitMix64 Random;
  QuickRollout Rollout;
  std::vector<VersionGuard> Guards;
  std::map<std::pair<bool, std::size_t>, double> Speeds{};
  Duration Now{};
  std::multimap<Duration, std::function<void()>> Due{};
  double Share = 0;
  double Credit = 0;
  double Owed = 0;
  QuickResult Out{};
};

} // namespace marjorambay::test

#endif // MARJORAMBAY_TESTS_SUPPORT_QUICK_POOL_H
