/// The fakes of a pool under rollout, and the loop of virtual time.
#include "fake_pool.h"

#include <algorithm>
#include <cmath>

namespace marjorambay::bench {

namespace {

constexpr Duration Tick = milliseconds(250);
constexpr Duration DigestDelay = milliseconds(750);
constexpr Duration PlatformDelay = milliseconds(20);
constexpr Duration LoadTime = seconds(8);
constexpr Duration OverdueAfter = seconds(12);
constexpr Duration TripGrace = seconds(2);
constexpr std::uint64_t Routes = 4;
constexpr std::array<double, Routes> RouteWeights = {0.5, 0.25, 0.15, 0.1};
constexpr std::uint8_t SpeedClasses = 3;

struct FakeTarget {
  std::size_t Zone = 0;
  std::uint8_t SpeedClass = 0;
  bool HasNew = false;
};

struct Zone {
  VersionGuard Guard{};
  RolloutLeader Leader;
  double Share = 0;
  double Credit = 0; ///< of the new version; whole ones are spent
  double LoadPhase = 0;

  explicit Zone(std::string Host) : Leader(std::move(Host)) {}
};

class FakePool {
public:
  explicit FakePool(const Scenario &Wanted)
      : Scene(Wanted), Random(Wanted.Seed) {
    for (std::size_t Index = 0; Index < Scene.Size.Zones; ++Index) {
      Zones.emplace_back("host-" + std::to_string(Index));
      Zones.back().LoadPhase = uniform() * 6.28;
    }
    for (std::size_t Index = 0; Index < Scene.Size.Targets; ++Index)
      Targets.push_back(
          {Index % Scene.Size.Zones,
           static_cast<std::uint8_t>(Index / Scene.Size.Zones % SpeedClasses),
           false});
  }

  ScenarioResult run() {
    startRollout();
    const Duration Last = Scene.Window + seconds(60);
    for (Time = Duration(0); Time < Last; Time += Tick) {
      deliverDue();
      arrivals();
      if (Scene.Naive)
        naiveTick();
      else
        tick();
    }
    Out.End = Object.Phase;
    Out.InTime = Object.Phase == RolloutPhase::Completed;
    return Out;
  }

private:
  // ---- Time and chance ------------------------------------------------------

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  TimePoint now() const { return TimePoint(Time + seconds(1000)); }
  WallTime wall() const { return WallTime(Time + hours(1000)); }
  bool within(double From, double To) const {
    const double At = toSeconds(Time) / toSeconds(Scene.Window);
    return At >= From && At < To;
  }
  bool platformDown() const {
    return Scene.Troubles.PlatformOutage && within(0.3, 0.55);
  }
  bool cut(std::size_t Index) const {
    return Scene.Troubles.ZoneCut && Index == 0 && within(0.4, 0.6);
  }
  bool connected(std::size_t Left, std::size_t Right) const {
    return Left == Right || (!cut(Left) && !cut(Right));
  }
  void after(Duration Delay, std::function<void()> Work) {
    Due.emplace(Time + Delay, std::move(Work));
  }
  void deliverDue() {
    while (!Due.empty() && Due.begin()->first <= Time) {
      const auto Work = std::move(Due.begin()->second);
      Due.erase(Due.begin());
      Work();
    }
  }

  // ---- Platform -------------------------------------------------------------

  void startRollout() {
    Object.Name = "r1";
    Object.Pool = "pool";
    Object.FromVersion = "v1";
    Object.ToVersion = "v2";
    Object.Started = Object.PhaseSince = wall();
    Object.Deadline = wall() + Scene.Window;
    Object.History.push_back({wall(), Object.Phase, 0, "started"});
    ObjectRevision = 1;
  }

  void readObject(std::size_t Index) {
    const bool Reachable = !platformDown() && !cut(Index);
    after(PlatformDelay, [this, Index, Reachable] {
      RolloutRead Read;
      Read.Reachable = Reachable;
      Read.Found = true;
      Read.Version = ObjectRevision;
      Read.State = Object;
      act(Index, Zones[Index].Leader.step(Read, now()));
    });
  }

  void writeObject(std::size_t Index, const WriteRollout &Write) {
    const bool Reachable = !platformDown() && !cut(Index);
    const bool Stands = Reachable && Write.IfVersion == ObjectRevision;
    if (Stands) {
      Object = Write.State;
      ++ObjectRevision;
    }
    const bool AnswerLost = Reachable && uniform() < 0.02;
    RolloutWritten Written;
    Written.Version = ObjectRevision;
    Written.Result = !Reachable || AnswerLost ? WriteResult::Unknown
                     : Stands                 ? WriteResult::Committed
                                              : WriteResult::Conflict;
    after(PlatformDelay, [this, Index, Written] {
      act(Index, Zones[Index].Leader.step(Written, now()));
    });
  }

  // ---- Hosts ----------------------------------------------------------------

  void act(std::size_t Index, const RolloutActions &Actions) {
    for (const RolloutAction &Action : Actions) {
      if (std::holds_alternative<ReadRollout>(Action))
        readObject(Index);
      else if (const auto *Write = std::get_if<WriteRollout>(&Action))
        writeObject(Index, *Write);
      else if (const auto *Order = std::get_if<OrderLoad>(&Action))
        load(Index, *Order);
      else if (const auto *Publish = std::get_if<PublishView>(&Action))
        spreadView(Index, Publish->View);
      else if (const auto *Trip = std::get_if<TripVersion>(&Action))
        spreadTrip(Index, {Trip->Rollout, Trip->Version, {}});
    }
  }

  void load(std::size_t Index, const OrderLoad &Order) {
    const auto Target = static_cast<std::size_t>(number(Order.Target));
    if (connected(Index, Targets[Target].Zone))
      after(LoadTime, [this, Target] { Targets[Target].HasNew = true; });
  }

  void spreadView(std::size_t From, const RolloutView &View) {
    for (std::size_t To = 0; To < Zones.size(); ++To) {
      if (!connected(From, To))
        continue;
      after(From == To ? Duration(0) : DigestDelay, [this, To, View] {
        Zones[To].Guard.step(ViewUpdated{View});
        act(To, Zones[To].Leader.step(ViewReceived{View}, now()));
      });
    }
  }

  /// Digests repeat what a host knows, so that a zone that was cut off hears
  /// of it afterwards.
  void repeatDigests() {
    for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
      const VersionGuard &Guard = Zones[Index].Guard;
      if (Guard.view())
        spreadView(Index, *Guard.view());
      if (Guard.tripped())
        spreadTrip(Index, {Guard.view()->Id, Guard.view()->To, {}});
    }
  }

  void spreadTrip(std::size_t From, const TripDetected &Trip) {
    noteTrip(From);
    for (std::size_t To = 0; To < Zones.size(); ++To) {
      if (!connected(From, To))
        continue;
      after(From == To ? Duration(0) : DigestDelay, [this, To, Trip] {
        guard(To, Zones[To].Guard.step(TripReported{Trip.Rollout}));
        const std::string Reason(nameOf(Trip.Kind));
        act(To,
            Zones[To].Leader.step(RolloutTripped{Trip.Rollout, Reason}, now()));
      });
    }
  }

  void guard(std::size_t Index, const GuardActions &Actions) {
    for (const GuardAction &Action : Actions) {
      if (const auto *Allowed = std::get_if<ShareChanged>(&Action))
        Zones[Index].Share = Allowed->Share;
      else if (const auto *Trip = std::get_if<TripDetected>(&Action))
        spreadTrip(Index, *Trip);
      else if (const auto *Ready = std::get_if<EvidenceReady>(&Action))
        reportEvidence(Index, *Ready);
    }
  }

  void reportEvidence(std::size_t From, const EvidenceReady &Ready) {
    for (std::size_t To = 0; To < Zones.size(); ++To)
      if (Zones[To].Leader.state() && connected(From, To) &&
          Zones[To].Leader.state()->Leader == "host-" + std::to_string(To))
        act(To, Zones[To].Leader.step(
                    EvidenceArrived{Ready.Rollout, Ready.Cells}, now()));
  }

  void tick() {
    for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
      Zone &Here = Zones[Index];
      guard(Index, Here.Guard.step(GuardTicked{wall()}));
      TargetsReported Shown;
      for (std::size_t Target = 0; Target < Targets.size(); ++Target)
        if (connected(Index, Targets[Target].Zone))
          Shown.Targets.push_back(shownTarget(Target));
      act(Index, Here.Leader.step(Shown, now()));
      act(Index, Here.Leader.step(RolloutTicked{wall(), true}, now()));
    }
    if (Time % seconds(1) == Duration(0))
      repeatDigests();
  }

  TargetStatus shownTarget(std::size_t Target) const {
    TargetStatus Shown;
    Shown.Target = TargetId{Target};
    Shown.Zone = ZoneId{1 + Targets[Target].Zone};
    Shown.Versions = {idOf<VersionId>("v1")};
    if (Targets[Target].HasNew)
      Shown.Versions.push_back(idOf<VersionId>("v2"));
    return Shown;
  }

  /// Ramps by time alone; what the evidence says is not looked at.
  void naiveTick() {
    for (FakeTarget &Target : Targets)
      Target.HasNew = Target.HasNew || Time > LoadTime;
    const double Done = toSeconds(Time) / toSeconds(Scene.Window) * 1.1;
    for (Zone &Here : Zones)
      Here.Share = std::min(1.0, Done);
    if (Done >= 1)
      Object.Phase = RolloutPhase::Completed;
  }

  void noteTrip(std::size_t From) {
    if (TripAt)
      return;
    TripAt = Time;
    TrippedWhileCut = cut(From);
    Out.DetectSeconds = toSeconds(Time - faultOnset());
  }

  // ---- Requests -------------------------------------------------------------

  Duration faultOnset() const {
    const bool Later = Scene.Fault == VersionFault::LaterErrors ||
                       Scene.Fault == VersionFault::LaterSlow;
    return Later ? Scene.Window / 2 : Duration(0);
  }

  std::uint8_t loadLevel(const Zone &Here) const {
    const double Wave = std::sin(toSeconds(Time) / 40 + Here.LoadPhase);
    return Wave > 0.5 ? 2 : Wave > -0.3 ? 1 : 0;
  }

  void arrivals() {
    const double Mean = Scene.Size.RequestsPerSecond * toSeconds(Tick);
    const int Count = std::poisson_distribution<int>(Mean)(Random);
    for (int Request = 0; Request < Count; ++Request)
      serve(static_cast<std::size_t>(uniform() *
                                     static_cast<double>(Zones.size())));
  }

  std::uint64_t drawRoute() {
    double Draw = uniform();
    for (std::uint64_t Route = 0; Route < Routes; ++Route) {
      if (Draw < RouteWeights[Route])
        return Route;
      Draw -= RouteWeights[Route];
    }
    return 0;
  }

  void serve(std::size_t Index) {
    Zone &Here = Zones[Index];
    ++Out.Requests;
    std::vector<const FakeTarget *> With, All;
    for (const FakeTarget &Target : Targets) {
      if (Target.Zone != Index)
        continue;
      All.push_back(&Target);
      if (Target.HasNew)
        With.push_back(&Target);
    }
    Here.Credit = std::min(Here.Credit + Here.Share, 1.0 + Here.Share);
    const bool IsNew = Here.Credit >= 1 && !With.empty() && Here.Share > 0;
    Here.Credit -= IsNew ? 1 : 0;
    const auto &Choices = IsNew ? With : All;
    const FakeTarget &Target = *Choices[static_cast<std::size_t>(
        uniform() * static_cast<double>(Choices.size()))];
    answer(Index, Target, IsNew);
  }

  void answer(std::size_t Index, const FakeTarget &Target, bool IsNew) {
    const StratumKey Where{RouteId{drawRoute()}, loadLevel(Zones[Index]),
                           Target.SpeedClass};
    const bool Active = IsNew && faultActive(Where);
    if (Active)
      countBad(Index);
    AnswerObserved Seen;
    Seen.Version = idOf<VersionId>(IsNew ? "v2" : "v1");
    Seen.Stratum = Where;
    const double Noise = std::normal_distribution<double>(0, 0.3)(Random);
    const double Slowdown = Active ? slowdown() : 1;
    const double Base = 0.01 * (1 + Target.SpeedClass) * (1 + 0.4 * Where.Load);
    Seen.SecondsPerToken = Base * std::exp(Noise) * Slowdown;
    Seen.FirstTokenSeconds = 20 * Seen.SecondsPerToken;
    Seen.Failed = uniform() < 0.003 || (Active && uniform() < errorRate());
    const double Tokens = 10 + uniform() * 150;
    Duration Takes = fromSeconds(Seen.SecondsPerToken * (20 + Tokens));
    if (Active && Scene.Fault == VersionFault::Hang)
      Takes = OverdueAfter;
    after(Takes, [this, Index, Seen] { Zones[Index].Guard.step(Seen); });
  }

  bool faultActive(const StratumKey &Where) const {
    switch (Scene.Fault) {
    case VersionFault::None:
      return false;
    case VersionFault::LaterErrors:
    case VersionFault::LaterSlow:
      return Time >= faultOnset();
    case VersionFault::LoadErrors:
    case VersionFault::LoadSlow:
      return Where.Load == 2;
    case VersionFault::RouteErrors:
      return number(Where.Route) == 2;
    case VersionFault::AllErrors:
    case VersionFault::SomeErrors:
    case VersionFault::Slow:
    case VersionFault::Hang:
      break;
    }
    return true;
  }

  double errorRate() const {
    switch (Scene.Fault) {
    case VersionFault::AllErrors:
    case VersionFault::Hang:
      return 1;
    case VersionFault::SomeErrors:
      return 0.1;
    case VersionFault::LaterErrors:
      return 0.3;
    case VersionFault::LoadErrors:
      return 0.4;
    case VersionFault::RouteErrors:
      return 0.5;
    default:
      return 0;
    }
  }

  double slowdown() const {
    const bool Slow = Scene.Fault == VersionFault::Slow ||
                      Scene.Fault == VersionFault::LaterSlow;
    return Slow ? 2 : Scene.Fault == VersionFault::LoadSlow ? 3 : 1;
  }

  /// Whether a zone is cut off from where the trip was found, or was until the
  /// grace for a trip.
  bool lately(std::size_t Index) const {
    const double Grace = toSeconds(TripGrace) / toSeconds(Scene.Window);
    const bool Apart = TrippedWhileCut != (Index == 0);
    return Scene.Troubles.ZoneCut && Apart && within(0.4, 0.6 + Grace);
  }

  void countBad(std::size_t Index) {
    if (!TripAt)
      ++Out.BadBeforeTrip;
    else if (Time > *TripAt + TripGrace && !lately(Index))
      ++Out.LateAfterTrip;
  }

  Scenario Scene{};
  std::mt19937_64 Random;
  Duration Time{};
  std::multimap<Duration, std::function<void()>> Due{};
  RolloutState Object{};
  ObjectVersion ObjectRevision = 0;
  std::vector<Zone> Zones{};
  std::vector<FakeTarget> Targets{};
  std::optional<Duration> TripAt{};
  bool TrippedWhileCut = false; ///< in zone 0, when it was alone
  ScenarioResult Out{};
};

} // namespace

ScenarioResult runScenario(const Scenario &Scene) {
  return FakePool(Scene).run();
}

} // namespace marjorambay::bench
