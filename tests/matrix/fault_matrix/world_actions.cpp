/// What the world does on the actions of origins, intent logs and arbiters.
#include "world.h"

namespace marjorambay::matrix {

void World::act(Node At, const RequestSlot &Todo) {
  toArbiter(At, "slot_requested", SlotRequested{Todo.Request});
}

void World::act(Node At, const CancelSlotRequest &Todo) {
  toArbiter(At, "slot_cancelled", SlotRequestCancelled{keyOf(At, Todo.Id)});
}

void World::act(Node At, const ReleaseSlot &Todo) {
  toArbiter(At, "slot_released", SlotReleased{keyOf(At, Todo.Id), Todo.Used});
}

void World::act(Node At, const ReportProgress &Todo) {
  toArbiter(At, "slot_progressed",
            SlotProgressed{keyOf(At, Todo.Id), Todo.OutputTokens});
}

void World::act(Node At, const ReportTargetUnavailable &Todo) {
  if (!Todo.Leaving)
    return toArbiter(At, "target_refused", TargetRefused{Todo.Target});
  learnSign(At, Todo.Target);
  toArbiter(At, "target_left", TargetLeaving{Todo.Target});
}

Node World::holderOf(Node At) const {
  return Hosts[At].View.empty() ? At : *Hosts[At].View.rbegin();
}

void World::act(Node At, const RecordIntent &Todo) {
  Hosts[At].Recording[Todo.Id] = Todo;
  sendIntent(At, holderOf(At), Todo);
  if (holderOf(At) == At)
    return;
  post(Link::Timer, At, At, Now + HolderTimeout, "holder silent",
       [this, At, Todo] {
         if (Hosts[At].Recording.count(Todo.Id) != 0)
           sendIntent(At, At, Todo);
       });
}

void World::sendIntent(Node At, Node Holder, const RecordIntent &Todo) {
  IntentRequested Event{keyOf(At, Todo.Id), Todo.Key, Todo.BodyHash,
                        Todo.TimeLeft};
  toPeer(At, Holder, "intent_requested",
         [this, Holder, Event] { stepLog(Holder, Event); });
}

void World::act(Node At, const RecordOutcome &Todo) {
  const Node Holder = holderOf(At);
  OutcomeReported Event{keyOf(At, Todo.Id), Todo.Key, Todo.Released,
                        Todo.HttpStatus};
  toPeer(At, Holder, "outcome_reported",
         [this, Holder, Event] { stepLog(Holder, Event); });
}

void World::act(Node At, const FailRequest &Todo) {
  Check.failed(keyOf(At, Todo.Id), Todo.Ran);
  Hosts[At].Recording.erase(Todo.Id);
  callerEnds(At, Todo.Id);
}

void World::act(Node At, const CompleteRequest &Todo) {
  Check.finished(keyOf(At, Todo.Id));
  callerEnds(At, Todo.Id);
}

void World::act(Node At, const ReplayOutcome &Todo) {
  const Ask &What = Hosts[At].Asked[Todo.Id];
  Check.replayed(keyOf(At, Todo.Id), {What.KeyNumber, What.KeyNumber});
  Hosts[At].Recording.erase(Todo.Id);
  callerEnds(At, Todo.Id);
}

void World::act(Node At, const Dispatch &Todo) {
  const RequestKey Key = keyOf(At, Todo.Id);
  const Node Target = nodeOf(Todo.Target);
  Hosts[At].Open[Todo.Id] = {Target, Todo.Attempt};
  if (Make.ChecksNotAfter && Now > Todo.NotAfter)
    return connectionFailed(At, Key, Todo.Attempt, true);
  const auto Sign = Hosts[At].Signs.find(Todo.Target);
  Check.wrote(Key, Now,
              Sign == Hosts[At].Signs.end() ? std::nullopt
                                            : std::optional(Sign->second));
  const auto Asked = Hosts[At].Asked.find(Todo.Id);
  const Ask What = Asked == Hosts[At].Asked.end() ? Ask{} : Asked->second;
  Delivery Run{Now + PeerLatency, ++LastOrder, Link::TargetRun, At, Target};
  Run.What = "run";
  Run.Key = Key;
  Run.Attempt = Todo.Attempt;
  Run.Run = [this, At, Target, Key, Attempt = Todo.Attempt, What] {
    runAt(Target, At, Key, Attempt, What);
  };
  Queue.push(std::move(Run));
}

void World::act(Node At, const CancelDispatch &Todo) {
  Hosts[At].Open.erase(Todo.Id);
  if (Hosts[At].Draining && Injections.empty())
    Check.drainCut(keyOf(At, Todo.Id));
}

void World::runAt(Node Place, Node At, const RequestKey &Key,
                  std::uint32_t Attempt, const Ask &What) {
  Target &Server = targetAt(Place);
  const TargetMood Mood = std::exchange(Server.NextMood, TargetMood::Serves);
  Server.Leaving = Server.Leaving || Mood == TargetMood::Declines;
  if (Server.Leaving)
    return answer(Place, At, Key, Attempt, PeerLatency, "declined", [=] {
      TargetDeclined Event;
      Event.Id = Key.Id;
      Event.Leaving = true;
      Event.Attempt = Attempt;
      return OriginEvent{Event};
    });
  Check.ran(Key);
  if (What.Once)
    Check.applied({What.KeyNumber, What.KeyNumber}, Key);
  Duration After = PeerLatency;
  for (std::uint32_t Part = 0; Part < AnswerParts; ++Part) {
    if (Mood == TargetMood::Breaks && Part > 0)
      return answer(Place, At, Key, Attempt, After, "broken", [=] {
        return OriginEvent{AnswerInterrupted{Key.Id, Attempt}};
      });
    answerPart(Place, At, Key, Attempt, After, Part);
    After += Mood == TargetMood::Slow ? DispatchTimeout + seconds(1)
                                      : milliseconds(5);
  }
  answer(Place, At, Key, Attempt, After, "completed", [=] {
    AnswerCompleted Event;
    Event.Id = Key.Id;
    Event.OutputTokens = AnswerParts;
    Event.Attempt = Attempt;
    return OriginEvent{Event};
  });
}

void World::answerPart(Node Place, Node At, const RequestKey &Key,
                       std::uint32_t Attempt, Duration After,
                       std::uint32_t Part) {
  answer(Place, At, Key, Attempt, After, "part", [=, this] {
    Check.relayed(Key, Key, Part);
    return OriginEvent{AnswerProgressed{Key.Id, 1, Attempt}};
  });
}

bool World::connected(Node At, const RequestKey &Key,
                      std::uint32_t Attempt) const {
  const auto Found = Hosts[At].Open.find(Key.Id);
  return Found != Hosts[At].Open.end() && Found->second.Attempt == Attempt &&
         Hosts[At].Life == number(Key.OriginIncarnation);
}

void World::finishAnswer(Node At, const RequestKey &Key,
                         const OriginEvent &Event) {
  if (!std::holds_alternative<AnswerProgressed>(Event))
    Hosts[At].Open.erase(Key.Id);
  stepOrigin(At, Event);
}

void World::connectionFailed(Node At, const RequestKey &Key,
                             std::uint32_t Attempt, bool NotSent) {
  post(Link::Timer, At, At, Now + PeerLatency, "connection failed",
       [this, At, Key, Attempt, NotSent] {
         if (!connected(At, Key, Attempt))
           return;
         if (NotSent)
           finishAnswer(At, Key, DispatchNotSent{Key.Id, Attempt});
         else
           finishAnswer(At, Key, AnswerInterrupted{Key.Id, Attempt});
       });
}

void World::act(Node At, const ReadObject &Todo) {
  ObjectRead Lost;
  Lost.Call = Todo.Call;
  Lost.Reachable = false;
  callPlatform(At, Todo, Link::PlatformRead, "read", Lost);
}

void World::act(Node At, const WriteObject &Todo) {
  callPlatform(At, Todo, Link::PlatformWrite, "write",
               ObjectWritten{Todo.Call, WriteResult::Unknown, 0});
}

void World::answerPlatform(Node At, std::uint64_t Life,
                           const ReadObject &Todo) {
  const bool Stale = std::exchange(StaleNextRead, false);
  sendPlatformAnswer(At, Life, Platform.read(Todo, Stale ? 1 : 0));
}

void World::answerPlatform(Node At, std::uint64_t Life,
                           const WriteObject &Todo) {
  const ObjectWritten Answer = Platform.write(Todo);
  if (!std::exchange(LoseNextAnswer, false))
    sendPlatformAnswer(At, Life, Answer);
}

void World::act(Node At, const AnswerIntent &Todo) {
  const RequestKey Key = Todo.Request;
  const Node To = nodeOf(Key.Origin);
  toPeer(At, To, "intent_settled", [this, To, Key, Todo] {
    if (Hosts[To].Life != number(Key.OriginIncarnation))
      return;
    Hosts[To].Recording.erase(Key.Id);
    stepOrigin(To, IntentDecided{Key.Id, Todo.Decision, Todo.AppliedStatus});
  });
}

void World::act(Node At, const GrantSlot &Todo) {
  toOrigin(At, Todo.Key, "slot_granted",
           SlotGranted{Todo.Key.Id, Todo.Target, ThePool});
}

void World::act(Node At, const RefuseSlot &Todo) {
  toOrigin(At, Todo.Key, "slot_refused",
           SlotRefused{Todo.Key.Id, Todo.Kind, Todo.RetryAfter});
}

void World::act(Node At, const PreemptSlot &Todo) {
  toOrigin(At, Todo.Key, "slot_preempted", SlotPreempted{Todo.Key.Id});
}

} // namespace marjorambay::matrix
