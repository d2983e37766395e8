/// A pool of engines that name limits on their rate, in virtual time: hosts
/// that pass notices on, an arbiter that moves, and messages that are lost. The
/// decisions are made by TargetLimits and Arbiter.
#ifndef MARJORAMBAY_TESTS_SUPPORT_LIMITED_POOL_H
#define MARJORAMBAY_TESTS_SUPPORT_LIMITED_POOL_H

#include "marjorambay/coordination/arbiter.h"
#include "marjorambay/coordination/target_limits.h"
#include "marjorambay/state/random.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjorambay::test {

struct LimitedScenario {
  std::size_t Hosts = 8;
  std::size_t Targets = 6;
  std::size_t LimitedTargets = 1;
  double PerSecond = 2.2;      ///< limit of each of those
  double LaterPerSecond = 2.2; ///< from the middle on
  double RequestsPerSecond = 60;
  double LossShare = 0;  ///< of the messages between hosts
  bool Restarts = false; ///< hosts restart, those that arbitrate as well
  bool Cuts = false;     ///< hosts are cut off from the others for a while
  bool Pacing = true;    ///< otherwise, arbiters are told of no limits
  std::uint64_t Seed = 1;
};

struct LimitedResult {
  /// Most requests that a limited target got in a window, relative to what is
  /// allowed; above 1 is too many.
  double WorstFill = 0;
  /// Requests that limited targets got, relative to their limits.
  double Used = 0;
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0;
};

class LimitedPool {
public:
  explicit LimitedPool(const LimitedScenario &Wanted)
      : Scene(Wanted), Random(Wanted.Seed * 7919), Hosts(Wanted.Hosts) {
    for (std::size_t Index = 0; Index < Scene.Targets; ++Index) {
      TargetInfo Info;
      Info.Id = TargetId{Index + 1};
      Info.Pool = Pool;
      Info.Version = VersionId{1};
      Info.MaxRequestsInFlight = 7;
      Info.Incarnation = IncarnationId{1};
      Targets.push_back(Info);
    }
    // Uneven traffic: the first hosts have most of it.
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      Hosts[Index].Weight = 1.0 / static_cast<double>(1 + Index);
      Hosts[Index].HeartbeatAt = draw(Heartbeat);
      TotalWeight += Hosts[Index].Weight;
    }
  }

  LimitedResult run() {
    for (Now = Duration(0); Now < Length; Now += Step) {
      deliverDue();
      faults();
      arrivals();
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        turn(Index);
    }
    measure();
    return Out;
  }

private:
  static constexpr Duration Step = milliseconds(10);
  static constexpr Duration Heartbeat = milliseconds(250);
  static constexpr Duration Length = seconds(28);
  static constexpr Duration LimitedFrom = seconds(3);
  static constexpr Duration ChangedAt = seconds(15);
  /// Time from a notice of a target until all hosts keep it, and after a fault
  /// until a host is in touch again.
  static constexpr Duration ContactTime = seconds(3);
  static constexpr Duration Window = seconds(4);
  static constexpr Duration HubTimeout = milliseconds(700);
  static constexpr std::size_t Hubs = 3;
  static constexpr std::size_t RepeatedNotices = 4; ///< in one heartbeat
  static inline const PoolId Pool = idOf<PoolId>("pool");

  struct Request {
    std::size_t Host = 0;
    Duration SentAt{};
    Reservation Wanted{};
    std::optional<std::size_t> Arbiter{}; ///< nothing: this host's local share
    bool Dispatched = false;
  };
  struct HostState {
    double Weight = 0;
    Duration HeartbeatAt{};
    std::uint64_t Incarnation = 1;
    TargetLimits Limits{};
    std::unique_ptr<Arbiter> Primary{};
    std::unique_ptr<Arbiter> LocalShare{};
    Duration DownUntil{};
    Duration CutUntil{};
    Duration FaultEndedAt = -ContactTime;
    std::map<TargetId, Duration> KnowsSince{}; ///< by limited target
  };
  struct Arrival {
    Duration At{};
    std::size_t Host = 0;
    bool Counts = true; ///< from a host in touch that knew the limit
  };

  static TimePoint at(Duration When) { return TimePoint(hours(1)) + When; }
  Duration draw(Duration Most) {
    return std::chrono::duration_cast<Duration>(Most * drawFraction(Random));
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

  bool isDown(std::size_t Host) const { return Now < Hosts[Host].DownUntil; }
  bool reaches(std::size_t From, std::size_t To) const {
    return From == To ||
           (!isDown(From) && !isDown(To) && Now >= Hosts[From].CutUntil &&
            Now >= Hosts[To].CutUntil);
  }
  void send(std::size_t From, std::size_t To, std::function<void()> Work) {
    if (From != To && drawFraction(Random) < Scene.LossShare)
      return;
    const std::uint64_t Incarnation = Hosts[To].Incarnation;
    after(From == To ? Duration(0) : milliseconds(1) + draw(milliseconds(3)),
          [this, From, To, Incarnation, Work = std::move(Work)] {
            if (reaches(From, To) && Hosts[To].Incarnation == Incarnation)
              Work();
          });
  }

  /// Returns the hub that arbitrates, as \p Host sees it: the first one that it
  /// has reached all the while.
  std::optional<std::size_t> arbiterOf(std::size_t Host) const {
    for (std::size_t Hub = 0; Hub < std::min(Hubs, Hosts.size()); ++Hub) {
      const bool Calm = Now >= Hosts[Hub].DownUntil + HubTimeout &&
                        Now >= Hosts[Hub].CutUntil + HubTimeout;
      if (Host == Hub ? Now >= Hosts[Hub].CutUntil : Calm && reaches(Host, Hub))
        return Hub;
    }
    return std::nullopt;
  }

  // ---- Faults ---------------------------------------------------------------

  void faults() {
    if (Now % milliseconds(500) != Duration(0) || Now < ContactTime)
      return;
    if (Scene.Restarts && drawFraction(Random) < 0.3)
      restart(pickHost());
    if (Scene.Cuts && drawFraction(Random) < 0.2) {
      HostState &Host = Hosts[pickHost()];
      Host.CutUntil = Now + milliseconds(500) + draw(seconds(4));
      Host.FaultEndedAt = Host.CutUntil;
    }
  }
  std::size_t pickHost() {
    const std::size_t Among = // hubs are hit more often
        drawFraction(Random) < 0.5 ? std::min(Hubs, Hosts.size())
                                   : Hosts.size();
    return static_cast<std::size_t>(drawFraction(Random) *
                                    static_cast<double>(Among));
  }
  void restart(std::size_t Index) {
    HostState &Host = Hosts[Index];
    Host.DownUntil = Now + milliseconds(100) + draw(seconds(2));
    Host.FaultEndedAt = Host.DownUntil;
    ++Host.Incarnation;
    Host.Limits = TargetLimits{};
    Host.KnowsSince.clear();
    Host.Primary.reset();
    Host.LocalShare.reset();
    std::erase_if(Requests, [Index](const auto &Entry) {
      return Entry.second.Host == Index;
    });
  }

  // ---- Hosts ----------------------------------------------------------------

  void arrivals() {
    Owed +=
        Scene.RequestsPerSecond * toSeconds(Step) * 2 * drawFraction(Random);
    for (; Owed >= 1; Owed -= 1) {
      double Place = drawFraction(Random) * TotalWeight;
      std::size_t Host = 0;
      while (Host + 1 < Hosts.size() && Place > Hosts[Host].Weight)
        Place -= Hosts[Host++].Weight;
      if (isDown(Host))
        continue;
      Request New;
      New.Host = Host;
      New.Wanted.Key = {HostId{Host + 1},
                        IncarnationId{Hosts[Host].Incarnation},
                        RequestId{++LastRequest}};
      New.Wanted.Pool = Pool;
      New.Wanted.Tier = static_cast<TierRank>(LastRequest % 3);
      New.Wanted.Account = AccountId{LastRequest % 5 + 1};
      New.Wanted.Route = RouteId{1};
      New.Wanted.Cost = {200, 20, 40};
      New.Wanted.Remaining = seconds(4);
      New.Wanted.FirstTokenObjective = seconds(1);
      Requests.emplace(LastRequest, New);
      reserve(LastRequest);
    }
  }

  void reserve(std::uint64_t Id) {
    const auto Found = Requests.find(Id);
    if (Found == Requests.end() || Found->second.Dispatched)
      return;
    Request &Wanting = Found->second;
    Wanting.Arbiter = arbiterOf(Wanting.Host);
    const SlotRequested Event{Wanting.Wanted};
    const std::size_t Host = Wanting.Host;
    if (!Wanting.Arbiter)
      return stepLocalShare(Host, Event);
    const std::size_t Hub = *Wanting.Arbiter;
    send(Host, Hub, [this, Hub, Event] { stepPrimary(Hub, Event); });
    after(milliseconds(300), [this, Id] { reserve(Id); });
  }

  std::optional<TargetPace> paceOf(std::size_t Host, TargetId Target,
                                   bool IsLocalShare) const {
    const auto Limit = Hosts[Host].Limits.limit(Target);
    if (!Limit)
      return std::nullopt;
    TargetPace Pace{*Limit};
    if (IsLocalShare) {
      Pace.Share =
          1.0 / static_cast<double>(std::max<std::size_t>(2, Hosts.size()));
      Pace.Phase =
          static_cast<double>(hash64(std::to_string(Host)) % 1000) / 1000;
    }
    return Pace;
  }

  std::unique_ptr<Arbiter> makeArbiter(std::size_t Host, bool IsLocalShare) {
    ArbiterSettings Settings;
    Settings.Targets.TrustDeclaredSlots = true;
    Settings.TierFloor = 0.05;
    auto New = std::make_unique<Arbiter>(Settings);
    std::vector<TargetInfo> Listed = Targets;
    for (TargetInfo &Info : Listed)
      if (IsLocalShare)
        Info.MaxRequestsInFlight = static_cast<std::uint32_t>(
            (Info.MaxRequestsInFlight + Hosts.size() - 1) / Hosts.size());
    New->step(TargetsChanged{Listed}, at(Now));
    for (const TargetInfo &Info : Targets)
      if (const auto Pace = paceOf(Host, Info.Id, IsLocalShare);
          Pace && Scene.Pacing)
        New->step(TargetPaceChanged{Info.Id, Pace}, at(Now));
    return New;
  }

  void stepPrimary(std::size_t Host, const ArbiterEvent &Event) {
    std::unique_ptr<Arbiter> &Primary = Hosts[Host].Primary;
    if (!Primary)
      Primary = makeArbiter(Host, false);
    for (const ArbiterAction &Action : Primary->step(Event, at(Now)))
      act(Host, Action);
  }
  void stepLocalShare(std::size_t Host, const ArbiterEvent &Event) {
    std::unique_ptr<Arbiter> &Local = Hosts[Host].LocalShare;
    if (!Local)
      Local = makeArbiter(Host, true);
    for (const ArbiterAction &Action : Local->step(Event, at(Now)))
      act(Host, Action);
  }

  void act(std::size_t From, const ArbiterAction &Action) {
    const RequestKey Key = std::visit(
        [](const auto &Alternative) { return Alternative.Key; }, Action);
    const std::size_t Host = number(Key.Origin) - 1;
    send(From, Host, [this, Key, Action, From] {
      const auto Found = Requests.find(number(Key.Id));
      if (Found == Requests.end())
        return;
      if (std::holds_alternative<RefuseSlot>(Action)) {
        Out.Refused += 1;
        Requests.erase(Found);
        return;
      }
      if (const auto *Grant = std::get_if<GrantSlot>(&Action))
        dispatch(number(Key.Id), Grant->Target, From);
    });
  }

  void dispatch(std::uint64_t Id, TargetId Target, std::size_t GrantedBy) {
    Request &Sent = Requests.at(Id);
    if (Sent.Dispatched)
      return;
    Sent.Dispatched = true;
    const std::size_t Host = Sent.Host;
    const Duration SentAt = Now;
    after(milliseconds(1), [this, Target, Host] {
      Arrivals[Target].push_back({Now, Host, counts(Host, Target)});
    });
    const Duration Head = milliseconds(20) + draw(milliseconds(200));
    after(Head, [this, Host, Target, SentAt,
                 Incarnation = Hosts[Host].Incarnation] {
      if (Hosts[Host].Incarnation != Incarnation)
        return;
      TargetLimitNotice Notice{Target, IncarnationId{1}, limitNow(Target)};
      Notice.Age = Now - SentAt;
      applyChange(Host, Target, Hosts[Host].Limits.observe(Notice, at(Now)));
    });
    after(Head + draw(milliseconds(600)), [this, Id, GrantedBy, SentAt] {
      const auto Found = Requests.find(Id);
      if (Found == Requests.end())
        return;
      const Request Ended = Found->second;
      Requests.erase(Found);
      Out.Served += 1;
      Usage Used;
      Used.PromptTokens = 200;
      Used.OutputTokens = 20;
      Used.TimeToFirstToken = milliseconds(100);
      Used.Total = Now - SentAt;
      const SlotReleased Released{Ended.Wanted.Key, Used};
      if (!Ended.Arbiter)
        return stepLocalShare(Ended.Host, Released);
      send(Ended.Host, GrantedBy,
           [this, GrantedBy, Released] { stepPrimary(GrantedBy, Released); });
    });
  }

  /// Whether a request that \p Host sends now counts: hosts are bound by a
  /// limit half a second after they were told of it, and while in touch.
  bool counts(std::size_t Host, TargetId Target) const {
    constexpr Duration Grace = milliseconds(500);
    const auto Known = Hosts[Host].KnowsSince.find(Target);
    return Now - Hosts[Host].FaultEndedAt >= ContactTime &&
           Known != Hosts[Host].KnowsSince.end() &&
           Now - Known->second >= Grace;
  }

  void applyChange(std::size_t Host, TargetId Target, LimitChange Change) {
    if (Hosts[Host].Limits.limit(Target))
      Hosts[Host].KnowsSince.try_emplace(Target, Now);
    if (Change == LimitChange::None || !Scene.Pacing)
      return;
    if (Hosts[Host].Primary)
      stepPrimary(Host, TargetPaceChanged{Target, paceOf(Host, Target, false)});
    if (Hosts[Host].LocalShare)
      stepLocalShare(Host,
                     TargetPaceChanged{Target, paceOf(Host, Target, true)});
  }

  void learn(std::size_t Host, const std::vector<TargetLimitNotice> &Notices) {
    for (const TargetLimitNotice &Notice : Notices)
      applyChange(Host, Notice.Target,
                  Hosts[Host].Limits.merge(Notice, at(Now)));
  }

  void turn(std::size_t Index) {
    HostState &Host = Hosts[Index];
    if (isDown(Index))
      return;
    if (Now % milliseconds(50) == Duration(0)) {
      if (Host.Primary && Host.Primary->needsTicks())
        stepPrimary(Index, ArbiterTicked{});
      if (Host.LocalShare && Host.LocalShare->needsTicks())
        stepLocalShare(Index, ArbiterTicked{});
    }
    if (Now < Host.HeartbeatAt && !Host.Limits.changeUnsent())
      return;
    Host.HeartbeatAt = Now + Heartbeat;
    confirm(Index);
    const auto Unsent = Host.Limits.takeUnsent(RepeatedNotices, at(Now));
    for (std::size_t Hub = 0; Hub < std::min(Hubs, Hosts.size()); ++Hub)
      send(Index, Hub, [this, Index, Hub, Unsent] {
        learn(Hub, Unsent);
        const auto Notices = Hosts[Hub].Limits.nextNotices(16, at(Now));
        send(Hub, Index, [this, Index, Notices] { learn(Index, Notices); });
      });
  }

  /// Tells the arbiter which slots are in use; releases may have been lost.
  void confirm(std::size_t Index) {
    const auto Hub = arbiterOf(Index);
    if (!Hub)
      return;
    SlotsConfirmed Confirmed{HostId{Index + 1},
                             IncarnationId{Hosts[Index].Incarnation}};
    for (const auto &[Id, Known] : Requests)
      if (Known.Host == Index)
        Confirmed.ActiveRequests.insert(RequestId{Id});
    send(Index, *Hub, [this, Hub, Confirmed] {
      if (Hosts[*Hub].Primary)
        stepPrimary(*Hub, Confirmed);
    });
  }

  // ---- Limits ---------------------------------------------------------------

  std::optional<double> limitAt(TargetId Target, Duration When) const {
    if (number(Target) > Scene.LimitedTargets || When < LimitedFrom)
      return std::nullopt;
    return When < ChangedAt ? Scene.PerSecond : Scene.LaterPerSecond;
  }
  std::optional<double> limitNow(TargetId Target) const {
    return limitAt(Target, Now);
  }

  /// Measures a time in which a target's limit was known and did not change.
  void measurePeriod(TargetId Target, Duration From, Duration To,
                     double &Allowed, double &Got) {
    const std::vector<Arrival> &All = Arrivals[Target];
    const double Limit = *limitAt(Target, From);
    Allowed += Limit * toSeconds(To - From);
    for (auto First = All.begin(); First != All.end(); ++First) {
      if (First->At < From || First->At >= To)
        continue;
      Got += 1;
      const Duration End = std::min(First->At + Window, To);
      const auto Count =
          std::count_if(First, All.end(), [End](const Arrival &Each) {
            return Each.Counts && Each.At < End;
          });
      Out.WorstFill =
          std::max(Out.WorstFill, static_cast<double>(Count) / (6 * Limit + 5));
    }
  }

  void measure() {
    double Allowed = 0;
    double Got = 0;
    for (std::size_t Index = 1; Index <= Scene.LimitedTargets; ++Index) {
      measurePeriod(TargetId{Index}, LimitedFrom + ContactTime, ChangedAt,
                    Allowed, Got);
      measurePeriod(TargetId{Index}, ChangedAt + ContactTime, Length, Allowed,
                    Got);
    }
    Out.Used = Allowed == 0 ? 0 : Got / Allowed;
  }

  LimitedScenario Scene;
  SplitMix64 Random;
  std::vector<HostState> Hosts;
  std::vector<TargetInfo> Targets{};
  double TotalWeight = 0;
  Duration Now{};
  std::multimap<Duration, std::function<void()>> Due{};
  std::map<std::uint64_t, Request> Requests{};
  std::map<TargetId, std::vector<Arrival>> Arrivals{};
  std::uint64_t LastRequest = 0;
  double Owed = 0;
  LimitedResult Out{};
};

} // namespace marjorambay::test

#endif // MARJORAMBAY_TESTS_SUPPORT_LIMITED_POOL_H
