/// Messages between origins and the holders of intents.
///
/// Each shard has one holder in the region, so that a retry with the same key
/// finds its outcome at once. The choice of the holder affects latency only:
/// conditional updates at the platform keep two holders of one shard
/// consistent.
#include "actions.h"
#include "components.h"

#include "marjorambay/coordination/rendezvous.h"

namespace marjorambay {

namespace {

/// Time without a response of the holder after which this host records the
/// intent itself.
constexpr Duration HolderTimeout = milliseconds(500);
constexpr Duration HolderCheckInterval = milliseconds(100);
constexpr std::uint64_t HolderSalt = 0x1A7E;

HostId holderOf(const Daemon &D, const KeyHash &Key) {
  const std::uint32_t Shard = shardOf(Key, IntentLogSettings{}.Shards);
  RendezvousChoice<HostId> Choice(mixBits(HolderSalt + Shard));
  if (!D.Draining)
    Choice.consider(D.Self.Id);
  for (const auto &[Id, Peer] : D.Members.members()) {
    const bool SameRegion = Peer.Host.Region == D.Self.Region;
    if (SameRegion && Peer.State == HostState::Live && !Peer.Draining)
      Choice.consider(Id);
  }
  return Choice.found() ? Choice.best() : D.Self.Id;
}

template <typename Event>
void sendTo(Daemon &D, HostId To, const Event &Message) {
  if (To == D.Self.Id)
    post(D, IntentLogInput{Message});
  else
    sendToHost(D, To, Message);
}

/// Records intents on this host that a holder has not responded to and may not
/// have recorded. The record contains the request key, so both holders identify
/// it as the same request.
void recordOverdueIntents(Daemon &D) {
  const TimePoint Cutoff = D.Loop.now() - HolderTimeout;
  while (!D.PendingIntents.empty() &&
         D.PendingIntents.front().first <= Cutoff) {
    IntentRequested Event = D.PendingIntents.front().second;
    D.PendingIntents.pop_front();
    const auto Found = D.Calls.find(Event.Request.Id);
    if (Found == D.Calls.end() || Found->second.IntentSettled)
      continue;
    Found->second.IntentHolder = D.Self.Id;
    Event.TimeLeft = Found->second.Deadline - D.Loop.now();
    post(D, IntentLogInput{Event});
  }
}

} // namespace

void startIntentRouting(Daemon &D) {
  D.Subscriptions.push_back(
      D.Timers.every(HolderCheckInterval, [&D]() { recordOverdueIntents(D); }));
}

void performOrigin(Daemon &D, const RecordIntent &Action) {
  const IntentRequested Event{{D.Self.Id, D.Incarnation, Action.Id},
                              Action.Key,
                              Action.BodyHash,
                              Action.TimeLeft};
  const HostId Holder = holderOf(D, Action.Key);
  D.Calls.at(Action.Id).IntentHolder = Holder;
  if (Holder != D.Self.Id)
    D.PendingIntents.emplace_back(D.Loop.now(), Event);
  sendTo(D, Holder, Event);
}

void performOrigin(Daemon &D, const RecordOutcome &Action) {
  const OutcomeReported Event{{D.Self.Id, D.Incarnation, Action.Id},
                              Action.Key,
                              Action.Released,
                              Action.HttpStatus};
  const auto Found = D.Calls.find(Action.Id);
  const bool Known = Found != D.Calls.end();
  sendTo(D, Known ? Found->second.IntentHolder : holderOf(D, Action.Key),
         Event);
}

void performIntentLog(Daemon &D, const AnswerIntent &Action) {
  const RequestKey &Key = Action.Request;
  if (Key.Origin != D.Self.Id) {
    sendToHost(D, Key.Origin, Action);
    return;
  }
  if (Key.OriginIncarnation != D.Incarnation)
    return;
  const auto Found = D.Calls.find(Key.Id);
  if (Found != D.Calls.end())
    Found->second.IntentSettled = true;
  post(D, OriginEvent(
              IntentDecided{Key.Id, Action.Decision, Action.AppliedStatus}));
}

} // namespace marjorambay
