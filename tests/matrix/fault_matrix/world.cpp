/// The deliveries, ticks and hosts of the world.
#include "world.h"

namespace marjorambay::matrix {

void World::ask(Duration At, Node Host, Ask What) {
  post(Link::Command, Host, Host, Now + At, "request",
       [this, Host, What] { arrive(Host, What); });
}

void World::drain(Duration At, Node Host) {
  post(Link::Command, Host, Host, Now + At, "drain", [this, Host] {
    Hosts[Host].Draining = true;
    stepOrigin(Host, DrainStarted{});
  });
}

void World::leaveTarget(Duration At, Node Target) {
  post(Link::Command, 1, 1, Now + At, "target leaves", [this, Target] {
    learnSign(1, targetId(Target));
    Listed.emplace(Now + PlatformListLag, targetId(Target));
  });
}

RunReport World::run() {
  const TimePoint End = Now + Horizon;
  TimePoint NextTick = Now;
  while (Now < End) {
    const TimePoint Next = Queue.empty() ? End : Queue.top().At;
    if (NextTick <= Next) {
      Now = NextTick;
      NextTick += TickPeriod;
      tick();
      if (quiet())
        break;
      continue;
    }
    Delivery Due = Queue.top();
    Queue.pop();
    Now = std::max(Now, Due.At);
    deliver(std::move(Due));
    Check.afterStep(Steps.empty() ? 0 : Steps.size() - 1, Now);
  }
  Check.atEnd(Injections.empty());
  return {Steps, Check.takeViolations(), Injected};
}

bool World::cut(Node A, Node B) const {
  const int ZoneA = zoneOf(A);
  const int ZoneB = zoneOf(B);
  return Now < CutUntil && ZoneA != 0 && ZoneB != 0 && ZoneA != ZoneB;
}

RequestKey World::keyOf(Node At, RequestId Id) const {
  return {hostId(At), IncarnationId{Hosts[At].Life}, Id};
}

void World::post(Link Kind, Node From, Node To, TimePoint At, std::string What,
                 std::function<void()> Run) {
  Delivery Next{At, ++LastOrder, Kind, From, To};
  Next.What = std::move(What);
  Next.Run = std::move(Run);
  if (Kind == Link::Timer)
    Next.Life = Hosts[To].Life;
  Queue.push(std::move(Next));
}

void World::putOff(Delivery Late, TimePoint At) {
  Late.At = At;
  Queue.push(std::move(Late));
}

TimePoint World::pausedUntil(Node Place) const {
  if (isHost(Place))
    return Hosts[Place].PausedUntil;
  if (Place >= FirstTarget)
    return Targets[Place - FirstTarget].PausedUntil;
  return TimePoint{};
}

TimePoint World::stalledUntil(const Delivery &Due) const {
  if (Due.Kind != Link::TargetAnswer ||
      !connected(Due.To, Due.Key, Due.Attempt))
    return TimePoint{};
  return Hosts[Due.To].Open.at(Due.Key.Id).StalledUntil;
}

void World::delay(const Delivery &Due, Duration By) {
  if (Due.Kind == Link::TargetAnswer && connected(Due.To, Due.Key, Due.Attempt))
    Hosts[Due.To].Open.at(Due.Key.Id).StalledUntil = Now + By;
  putOff(Due, Now + By);
}

bool World::gone(const Delivery &Due) const {
  if (!isHost(Due.To))
    return false;
  const Host &Receiver = Hosts[Due.To];
  return !Receiver.Alive || (Due.Life != 0 && Due.Life != Receiver.Life);
}

void World::deliver(Delivery Due) {
  if (pausedUntil(Due.To) > Now)
    return putOff(Due, pausedUntil(Due.To));
  if (Due.Kind == Link::Command && !Hosts[Due.To].Alive)
    return putOff(std::move(Due), Now + milliseconds(100));
  if (Due.Kind == Link::TargetAnswer && pausedUntil(Due.From) > Now)
    return putOff(Due, pausedUntil(Due.From));
  if (gone(Due))
    return;
  if (stalledUntil(Due) > Now)
    return putOff(Due, stalledUntil(Due));
  if (cut(Due.From, Due.To) || refused(Due))
    return lost(Due);
  if (Due.Kind != Link::Timer && !Due.Counted) {
    Due.Counted = true;
    Steps.push_back({Due.What + " " + std::to_string(Due.From) + ">" +
                         std::to_string(Due.To),
                     fits(Due)});
    const std::size_t Step = Steps.size() - 1;
    for (const Injection &Fault : Injections)
      if (Fault.Step == Step && fits(Due).test(bit(Fault.Kind))) {
        ++Injected;
        if (!inject(Fault.Kind, Due))
          return;
      }
  }
  Due.Run();
}

void World::startHost(Node At) {
  Host &Fresh = Hosts[At];
  const std::uint64_t Life = Fresh.Life;
  Fresh = Host{};
  Fresh.Life = Life;
  OriginSettings Origin;
  Origin.Self = hostId(At);
  Origin.Incarnation = IncarnationId{Life};
  Origin.MaxDeadline = seconds(5);
  Origin.DispatchTimeout = DispatchTimeout;
  Origin.ReservationResendDelay = milliseconds(300);
  Origin.Retention = Retention;
  Fresh.Origin = Make.Origin(Origin, SplitMix64(At + 1));
  IntentLogSettings Log;
  Log.Self = hostId(At);
  Log.Incarnation = IncarnationId{Life};
  Log.Shards = 1;
  Log.SegmentBytes = 200;
  Log.WritesPerSecond = 100;
  Log.Retention = Retention;
  Log.IntentTimeout = seconds(2);
  Log.OutcomeBatchDelay = milliseconds(50);
  Fresh.Log = Make.Log(Log);
  for (Node Peer = 0; Peer < HostCount; ++Peer) {
    Fresh.Heard[Peer] = Now;
    Fresh.LifeSeen[Peer] = Hosts[Peer].Life;
  }
  Fresh.Origin->step(LocalTargetsChanged{ThePool, targetsOf(At), hostsIn(At)},
                     Now);
}

std::vector<TargetInfo> World::targetsOf(Node At) const {
  std::vector<TargetInfo> List;
  for (Node Place = FirstTarget; Place < NodeCount; ++Place) {
    if (zoneOf(Place) != zoneOf(At))
      continue;
    TargetInfo Info;
    Info.Id = targetId(Place);
    Info.Pool = ThePool;
    Info.MaxRequestsInFlight = SlotsPerTarget;
    Info.MaxTokensInFlight = 100000;
    Info.Leaving = Hosts[At].Signs.count(Info.Id) != 0;
    List.push_back(Info);
  }
  return List;
}

void World::tick() {
  for (const auto &[At, Place] : std::vector(Restarts))
    if (At <= Now)
      restart(Place);
  std::erase_if(Restarts, [&](const auto &Due) { return Due.first <= Now; });
  const bool ViewDue = Now.time_since_epoch() % ViewPeriod == Duration(0);
  for (Node At = 0; At < HostCount; ++At) {
    if (!running(At))
      continue;
    if (ViewDue)
      updateView(At);
    if (ViewDue && running(At))
      spreadSigns(At);
    if (Hosts[At].Origin->wakeAt() <= Now)
      stepOrigin(At, OriginTicked{});
    if (!running(At))
      continue;
    stepLog(At, IntentLogTicked{WallTime(Now.time_since_epoch() + UnixOffset)});
    if (Hosts[At].Arbiter)
      stepArbiter(At, ArbiterTicked{});
  }
}

bool World::running(Node At) const {
  return Hosts[At].Alive && Hosts[At].PausedUntil <= Now;
}

void World::restart(Node Place) {
  if (!isHost(Place)) {
    targetAt(Place).Alive = true;
    return;
  }
  ++Hosts[Place].Life;
  startHost(Place);
  updateView(Place);
}

bool World::quiet() const {
  if (!Queue.empty() || !Restarts.empty() || !Check.allEnded())
    return false;
  return std::all_of(Hosts.begin(), Hosts.end(), [this](const Host &Each) {
    return Each.PausedUntil <= Now && Each.Origin->idle() && !Each.Log->busy();
  });
}

void World::updateView(Node At) {
  Host &Self = Hosts[At];
  for (Node Peer = 0; Peer < HostCount; ++Peer) {
    if (Peer != At && running(Peer) && !cut(At, Peer))
      Self.Heard[Peer] = Now;
    if (Peer == At)
      Self.Heard[Peer] = Now;
    if (Self.Heard[Peer] == Now && Self.LifeSeen[Peer] != Hosts[Peer].Life)
      noticeRestart(At, Peer);
  }
  Self.View.clear();
  for (Node Peer = 0; Peer < HostCount; ++Peer)
    if (Now - Self.Heard[Peer] < LostAfter)
      Self.View.insert(Peer);
  chooseArbiter(At);
}

void World::spreadSigns(Node At) {
  for (const auto &[Since, Target] : Listed)
    if (Since <= Now && Now >= PlatformDownUntil)
      learnSign(At, Target);
  for (Node Peer = 0; Peer < HostCount; ++Peer)
    if (Peer != At && running(Peer) && !cut(At, Peer))
      for (const auto &[Target, Since] : std::map(Hosts[Peer].Signs))
        learnSign(At, Target);
  stepOrigin(At, LocalTargetsChanged{ThePool, targetsOf(At), hostsIn(At)});
}

void World::learnSign(Node At, TargetId Target) {
  if (!Hosts[At].Signs.try_emplace(Target, Now).second)
    return;
  if (Hosts[At].Arbiter)
    stepArbiter(At, TargetLeaving{Target});
}

void World::noticeRestart(Node At, Node Peer) {
  Host &Self = Hosts[At];
  if (Self.Arbiter)
    stepArbiter(At,
                OriginLost{hostId(Peer), IncarnationId{Hosts[Peer].Life - 1}});
  Self.LifeSeen[Peer] = Hosts[Peer].Life;
}

void World::chooseArbiter(Node At) {
  Host &Self = Hosts[At];
  Node Chosen = At;
  for (const Node Peer : Self.View)
    if (zoneOf(Peer) == zoneOf(At))
      Chosen = std::max(Chosen, Peer);
  const bool Suspect = Now - Self.Heard[Chosen] >= SuspectAfter;
  if (Chosen == Self.ArbiterAt && Suspect == Self.ArbiterSuspect)
    return;
  const bool Moved = Chosen != Self.ArbiterAt;
  Self.ArbiterAt = Chosen;
  Self.ArbiterSuspect = Suspect;
  if (Moved && Chosen == At)
    becomeArbiter(At);
  if (Moved && Chosen != At && Self.Arbiter) {
    Self.Arbiter.reset();
    Check.arbiterGone(hostId(At));
  }
  if (Moved)
    reportGrants(At);
  stepOrigin(At, ArbiterChanged{ThePool, !Suspect});
}

void World::becomeArbiter(Node At) {
  Host &Self = Hosts[At];
  Self.Arbiter = Make.Arbiter();
  stepArbiter(At, TargetsChanged{targetsOf(At)});
  TakeoverStarted Takeover;
  for (const Node Peer : Self.View)
    if (zoneOf(Peer) == zoneOf(At))
      Takeover.Origins.push_back(hostId(Peer));
  if (Now != TimePoint{})
    stepArbiter(At, Takeover);
}

void World::reportGrants(Node At) {
  Host &Self = Hosts[At];
  GrantsReported Report{hostId(At), IncarnationId{Self.Life},
                        Self.Origin->heldGrants(ThePool, Now)};
  toArbiter(At, "grants_reported", std::move(Report));
}

void World::toPeer(Node From, Node To, std::string What,
                   std::function<void()> Run) {
  if (From == To)
    return Run();
  post(Link::Peer, From, To, Now + PeerLatency, std::move(What),
       std::move(Run));
}

void World::toArbiter(Node From, std::string What, ArbiterEvent Event) {
  const Node To = Hosts[From].ArbiterAt;
  toPeer(From, To, std::move(What), [this, To, Event = std::move(Event)] {
    if (Hosts[To].Arbiter)
      stepArbiter(To, Event);
  });
}

void World::toOrigin(Node From, const RequestKey &Key, std::string What,
                     OriginEvent Event) {
  const Node To = nodeOf(Key.Origin);
  toPeer(From, To, std::move(What), [this, To, Key, Event = std::move(Event)] {
    if (Hosts[To].Life == number(Key.OriginIncarnation))
      stepOrigin(To, Event);
  });
}

void World::stepOrigin(Node At, const OriginEvent &Event) {
  perform(At, Hosts[At].Origin->step(Event, Now));
}

void World::stepLog(Node At, const IntentLogEvent &Event) {
  perform(At, Hosts[At].Log->step(Event, Now));
}

void World::stepArbiter(Node At, const ArbiterEvent &Event) {
  if (const auto *Wanted = std::get_if<SlotRequested>(&Event))
    Check.slotWanted(hostId(At), Wanted->Request);
  if (const auto *Dropped = std::get_if<SlotRequestCancelled>(&Event))
    Check.slotDropped(hostId(At), Dropped->Key);
  if (const auto *Reported = std::get_if<GrantsReported>(&Event))
    for (const HeldGrant &Grant : Reported->Grants)
      Check.slotHeld(hostId(At), Grant.Request.Key);
  if (const auto *Released = std::get_if<SlotReleased>(&Event))
    Check.slotReleased(hostId(At), Released->Key);
  if (const auto *Lost = std::get_if<OriginLost>(&Event))
    Check.originLost(hostId(At), Lost->Origin, Lost->LastIncarnation);
  ArbiterActions Todo = Hosts[At].Arbiter->step(Event, Now);
  for (const ArbiterAction &Each : Todo) {
    if (const auto *Grant = std::get_if<GrantSlot>(&Each))
      Check.slotGranted(hostId(At), Grant->Key);
    if (const auto *Refusal = std::get_if<RefuseSlot>(&Each))
      Check.slotDropped(hostId(At), Refusal->Key);
  }
  perform(At, std::move(Todo));
}

void World::arrive(Node At, const Ask &What) {
  Host &Self = Hosts[At];
  const RequestId Id{++Self.LastRequest};
  CallerRequested Call;
  Call.Id = Id;
  Call.Kind = What.Once ? RouteKind::NonIdempotentCall : RouteKind::Completions;
  Call.Account = AccountId{1ULL + What.Tier};
  Call.Tier = TierRank{What.Tier};
  Call.Pool = ThePool;
  Call.PromptTokens = 10;
  Call.MaxOutputTokens = 3;
  Call.TimeLeft = What.Deadline;
  if (What.Once) {
    Call.Key = {What.KeyNumber, What.KeyNumber};
    Call.BodyHash = What.Body;
  }
  Self.Asked[Id] = What;
  Check.requested(keyOf(At, Id), Now, What.Deadline, What.Contends);
  stepOrigin(At, Call);
  if (What.Leaves)
    post(Link::Command, At, At, Now + milliseconds(4), "caller leaves",
         [this, At, Id] { leave(At, Id); });
}

void World::leave(Node At, RequestId Id) {
  const auto Found = Hosts[At].Asked.find(Id);
  if (Found == Hosts[At].Asked.end())
    return;
  const Ask What = Found->second;
  Hosts[At].Asked.erase(Found);
  Check.callerGone(keyOf(At, Id));
  askAgain(What);
  stepOrigin(At, CallerDisconnected{Id});
}

void World::askAgain(Ask What) {
  if (What.Repeats-- <= 0)
    return;
  What.Leaves = false;
  ask(milliseconds(300), What.RepeatAt, What);
}

void World::callerEnds(Node At, RequestId Id) {
  const auto Found = Hosts[At].Asked.find(Id);
  if (Found == Hosts[At].Asked.end())
    return;
  const Ask What = Found->second;
  Hosts[At].Asked.erase(Found);
  askAgain(What);
}

} // namespace marjorambay::matrix
