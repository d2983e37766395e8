/// What each fault does to the world.
#include "world.h"

namespace marjorambay::matrix {

bool World::refused(const Delivery &Due) const {
  if (Due.To == PlatformNode)
    return Now < PlatformDownUntil;
  return Due.Kind == Link::TargetRun && !Targets[Due.To - FirstTarget].Alive;
}

void World::lost(const Delivery &Due) {
  if (Due.Kind == Link::TargetRun)
    connectionFailed(Due.From, Due.Key, Due.Attempt, true);
  if (Due.Kind != Link::TargetAnswer ||
      !connected(Due.To, Due.Key, Due.Attempt))
    return;
  Hosts[Due.To].Open.at(Due.Key.Id).Broken = true;
  connectionFailed(Due.To, Due.Key, Due.Attempt, false);
}

bool World::inject(Fault Kind, const Delivery &Due) {
  switch (Kind) {
  case Fault::Crash:
    crash(Due.To);
    lost(Due);
    return false;
  case Fault::Pause:
    pause(Due.To);
    putOff(Due, pausedUntil(Due.To));
    return false;
  case Fault::FreezeBeforeWrite:
    Hosts[Due.To].FreezeNext = true;
    return true;
  case Fault::Drop:
    lost(Due);
    return false;
  case Fault::ShortDelay:
    delay(Due, milliseconds(1200));
    return false;
  case Fault::LongDelay:
    delay(Due, seconds(8));
    return false;
  case Fault::Duplicate: {
    Delivery Copy = Due;
    Copy.Order = ++LastOrder;
    putOff(std::move(Copy), Now + milliseconds(30));
    return true;
  }
  case Fault::Reorder:
    putOff(Due, Now + 3 * PlatformLatency);
    return false;
  case Fault::CutZones:
    CutUntil = Now + OutageLength;
    if (!cut(Due.From, Due.To))
      return true;
    lost(Due);
    return false;
  case Fault::PlatformDown:
    PlatformDownUntil = Now + OutageLength;
    return Due.To != PlatformNode;
  case Fault::LostAnswer:
    LoseNextAnswer = true;
    return true;
  case Fault::StaleRead:
    StaleNextRead = true;
    return true;
  case Fault::OperatorRace:
    raceOperators();
    return true;
  case Fault::SlowTarget:
    targetAt(Due.To).NextMood = TargetMood::Slow;
    return true;
  case Fault::BadVersion:
    targetAt(Due.To).NextMood = TargetMood::Breaks;
    return true;
  case Fault::LeavingTarget:
    targetAt(Due.To).NextMood = TargetMood::Declines;
    return true;
  }
  return true;
}

void World::crash(Node Place) {
  if (!isHost(Place))
    return crashTarget(Place);
  Host &Dead = Hosts[Place];
  Dead.Alive = false;
  Check.arbiterGone(hostId(Place));
  std::vector<Ask> Lost;
  for (const auto &[Id, What] : Dead.Asked) {
    Check.callerGone(keyOf(Place, Id));
    Lost.push_back(What);
  }
  Dead.Asked.clear();
  for (const Ask &What : Lost)
    askAgain(What);
  Restarts.emplace_back(Now + RestartDelay, Place);
}

void World::crashTarget(Node Place) {
  Target &Dead = targetAt(Place);
  Dead.Alive = false;
  for (Node At = 0; At < HostCount; ++At)
    for (const auto &[Id, Conn] : std::map(Hosts[At].Open))
      if (Conn.Target == Place)
        connectionFailed(At, keyOf(At, Id), Conn.Attempt, false);
  Restarts.emplace_back(Now + RestartDelay, Place);
}

void World::pause(Node Place) {
  const TimePoint Until = Now + PauseLength;
  if (!isHost(Place)) {
    targetAt(Place).PausedUntil = Until;
    return;
  }
  Hosts[Place].PausedUntil = Until;
  Check.hostPaused(hostId(Place), Until);
}

void World::raceOperators() {
  for (Node At = 0; At < HostCount; ++At) {
    if (!Hosts[At].Arbiter)
      continue;
    for (const bool Second : {false, true})
      post(Link::Timer, At, At, Now + milliseconds(Second ? 40 : 20), "targets",
           [this, At, Second] {
             if (!Hosts[At].Arbiter)
               return; // it moved away meanwhile
             std::vector<TargetInfo> List = targetsOf(At);
             List.front().Leaving = (At == 1) != Second;
             stepArbiter(At, TargetsChanged{List});
           });
  }
}

} // namespace marjorambay::matrix
