/// Encoding of the messages between origins and arbiters.
#include "peer_codec_parts.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marjorambay::peer_codec {

// ---- Values -----------------------------------------------------------------

void encode(const RequestKey &Key, peer::RequestKey *Out) {
  Out->set_origin(number(Key.Origin));
  Out->set_origin_life(number(Key.OriginIncarnation));
  Out->set_id(number(Key.Id));
}

RequestKey decode(const peer::RequestKey &In) {
  return {HostId{In.origin()}, IncarnationId{In.origin_life()},
          RequestId{In.id()}};
}

/// Marks a key that is a request as a whole. Hosts of earlier versions take
/// it for one more segment.
constexpr std::uint64_t RequestMark = 1ULL << 63;

std::uint64_t encodeKey(const CrashKey &Key) {
  return Key.Kind == CrashKeyKind::Request ? Key.Value | RequestMark
                                           : Key.Value;
}

CrashKey decodeKey(std::uint64_t In) {
  return {(In & RequestMark) != 0 ? CrashKeyKind::Request
                                  : CrashKeyKind::Segment,
          In & ~RequestMark};
}

namespace {

// Named here, since the overloads below hide them.
using peer_codec::decode;
using peer_codec::encode;

void encode(const Reservation &Request, peer::Reservation *Out) {
  encode(Request.Key, Out->mutable_key());
  Out->set_account(number(Request.Account));
  Out->set_tier(number(Request.Tier));
  Out->set_pool(number(Request.Pool));
  Out->set_model(number(Request.Model));
  Out->set_version(number(Request.Version));
  Out->set_prompt_tokens(Request.Cost.Prompt);
  Out->set_output_tokens(Request.Cost.Output);
  Out->set_prefix_hash(Request.PrefixHash);
  Out->set_remaining_us(Request.Remaining.count());
  Out->set_route(number(Request.Route));
  Out->set_max_output_tokens(Request.Cost.MaxOutput);
  Out->set_first_within_us(Request.FirstTokenObjective.count());
  for (const TargetId Target : Request.ClosedTargets)
    Out->add_closed_targets(number(Target));
  for (const ZoneId Zone : Request.ClosedZones)
    Out->add_closed_zones(number(Zone));
  for (const CrashKey &Key : Request.CrashKeys)
    Out->add_segments(encodeKey(Key));
  Out->set_repeat(Request.Repeat);
  Out->set_redirected(Request.Redirected);
}

Reservation decode(const peer::Reservation &In) {
  Reservation Request;
  Request.Key = decode(In.key());
  Request.Account = AccountId{In.account()};
  Request.Tier = TierRank{static_cast<std::uint8_t>(In.tier())};
  Request.Pool = PoolId{In.pool()};
  Request.Model = ModelId{In.model()};
  Request.Version = VersionId{In.version()};
  Request.Cost = {In.prompt_tokens(), In.output_tokens(),
                  In.max_output_tokens()};
  Request.PrefixHash = In.prefix_hash();
  Request.Remaining = Duration(In.remaining_us());
  Request.Route = RouteId{In.route()};
  Request.FirstTokenObjective = Duration(In.first_within_us());
  for (const std::uint64_t Target : In.closed_targets())
    Request.ClosedTargets.push_back(TargetId{Target});
  for (const std::uint64_t Zone : In.closed_zones())
    Request.ClosedZones.push_back(ZoneId{Zone});
  for (const std::uint64_t Segment : In.segments())
    Request.CrashKeys.push_back(decodeKey(Segment));
  Request.Repeat = In.repeat();
  Request.Redirected = In.redirected();
  return Request;
}

void encode(const Usage &Used, peer::Usage *Out) {
  Out->set_end(static_cast<std::uint32_t>(Used.Outcome));
  Out->set_prompt_tokens(Used.PromptTokens);
  Out->set_cached_tokens(Used.CachedTokens);
  Out->set_output_tokens(Used.OutputTokens);
  Out->set_to_first_token_us(Used.TimeToFirstToken.count());
  Out->set_total_us(Used.Total.count());
  Out->set_answer_began(Used.AnswerBegan);
  Out->set_connection_lost(Used.ConnectionLost);
}

Usage decode(const peer::Usage &In) {
  Usage Used;
  Used.Outcome =
      In.end() <= static_cast<std::uint32_t>(DispatchOutcome::Cancelled)
          ? static_cast<DispatchOutcome>(In.end())
          : DispatchOutcome::Failed;
  Used.PromptTokens = In.prompt_tokens();
  Used.CachedTokens = In.cached_tokens();
  Used.OutputTokens = In.output_tokens();
  Used.TimeToFirstToken = Duration(In.to_first_token_us());
  Used.Total = Duration(In.total_us());
  Used.AnswerBegan = In.answer_began();
  Used.ConnectionLost = In.connection_lost();
  return Used;
}

// ---- Origin to arbiter ------------------------------------------------------

void encodeEvent(const SlotRequested &Event, peer::Message *Out) {
  encode(Event.Request, Out->mutable_reserve());
}
void encodeEvent(const SlotRequestCancelled &Event, peer::Message *Out) {
  encode(Event.Key, Out->mutable_cancel()->mutable_key());
}
void encodeEvent(const SlotReleased &Event, peer::Message *Out) {
  encode(Event.Key, Out->mutable_release()->mutable_key());
  encode(Event.Used, Out->mutable_release()->mutable_used());
}
void encodeEvent(const SlotProgressed &Event, peer::Message *Out) {
  encode(Event.Key, Out->mutable_progress()->mutable_key());
  Out->mutable_progress()->set_output_tokens(Event.OutputTokens);
}
void encodeEvent(const GrantsReported &Event, peer::Message *Out) {
  peer::GrantsReport *Report = Out->mutable_grants_report();
  for (const HeldGrant &Grant : Event.Grants) {
    peer::HeldGrant *Entry = Report->add_grants();
    encode(Grant.Request, Entry->mutable_request());
    Entry->set_target(number(Grant.Target));
  }
}
void encodeEvent(const TargetLeaving &Event, peer::Message *Out) {
  Out->mutable_target_sign()->set_target(number(Event.Target));
  Out->mutable_target_sign()->set_leaving(true);
  Out->mutable_target_sign()->set_life(number(Event.Incarnation));
}
void encodeEvent(const TargetRefused &Event, peer::Message *Out) {
  Out->mutable_target_sign()->set_target(number(Event.Target));
  Out->mutable_target_sign()->set_unreachable(Event.Unreachable);
}
void encodeEvent(const AttemptLost &Event, peer::Message *Out) {
  peer::AttemptLost *Lost = Out->mutable_attempt_lost();
  for (const CrashKey &Key : Event.Keys)
    Lost->add_keys(encodeKey(Key));
  Lost->set_target(number(Event.Target));
  Lost->set_age_us(Event.Age.count());
  Lost->set_answered_age_us(Event.AnsweredAge.count());
  Lost->set_lost_age_us(Event.LostAge.count());
  Lost->set_passed_on(Event.PassedOn);
  Lost->set_proven(Event.Proven);
}
void encodeEvent(const CrashKeysAnswered &Event, peer::Message *Out) {
  for (const CrashKey &Key : Event.Keys)
    Out->mutable_keys_answered()->add_keys(encodeKey(Key));
}
void encodeEvent(const AnswerBegan &Event, peer::Message *Out) {
  encode(Event.Key, Out->mutable_answering()->mutable_key());
}
void encodeEvent(const SlotsConfirmed &Event, peer::Message *Out) {
  peer::SlotsHeld *Held = Out->mutable_slots_held();
  for (const RequestId Id : Event.ActiveRequests)
    Held->add_ids(number(Id));
}
template <typename LocalEvent>
void encodeEvent(const LocalEvent &, peer::Message *) {
  assert(false && "this event is local to the arbiter's host");
}

GrantsReported decodeGrants(const peer::GrantsReport &In,
                            const PeerSender &Sender) {
  GrantsReported Report;
  Report.Origin = Sender.Id;
  Report.OriginIncarnation = Sender.Incarnation;
  for (const peer::HeldGrant &Entry : In.grants())
    Report.Grants.push_back(
        {decode(Entry.request()), TargetId{Entry.target()}});
  return Report;
}

ArbiterEvent decodeTargetSign(const peer::TargetSign &In) {
  if (In.leaving())
    return TargetLeaving{TargetId{In.target()}, IncarnationId{In.life()}};
  return TargetRefused{TargetId{In.target()}, In.unreachable()};
}

AttemptLost decodeAttemptLost(const peer::AttemptLost &In) {
  AttemptLost Lost;
  for (const std::uint64_t Key : In.keys())
    Lost.Keys.push_back(decodeKey(Key));
  Lost.Target = TargetId{In.target()};
  Lost.Age = Duration(In.age_us());
  Lost.AnsweredAge = Duration(In.answered_age_us());
  Lost.LostAge = Duration(In.lost_age_us());
  Lost.PassedOn = In.passed_on();
  Lost.Proven = In.proven();
  return Lost;
}

CrashKeysAnswered decodeKeysAnswered(const peer::KeysAnswered &In) {
  CrashKeysAnswered Answered;
  for (const std::uint64_t Key : In.keys())
    Answered.Keys.push_back(decodeKey(Key));
  return Answered;
}

// ---- Arbiter to origin ------------------------------------------------------

void encodeAction(const GrantSlot &Action, peer::Message *Out) {
  encode(Action.Key, Out->mutable_grant()->mutable_key());
  Out->mutable_grant()->set_target(number(Action.Target));
  Out->mutable_grant()->set_version(number(Action.Version));
  Out->mutable_grant()->set_watch_answers(Action.WatchAnswers);
  Out->mutable_grant()->set_paced(Action.IsPaced);
  Out->mutable_grant()->set_heard_sequence(Action.HeardSequence);
}
void encodeAction(const RefuseSlot &Action, peer::Message *Out) {
  peer::Refuse *Refusal = Out->mutable_refuse();
  encode(Action.Key, Refusal->mutable_key());
  Refusal->set_kind(static_cast<std::uint32_t>(Action.Kind));
  Refusal->set_retry_after_us(Action.RetryAfter.count());
}
void encodeAction(const PreemptSlot &Action, peer::Message *Out) {
  encode(Action.Key, Out->mutable_preempt()->mutable_key());
}
void encodeAction(const RedirectSlot &Action, peer::Message *Out) {
  encode(Action.Key, Out->mutable_redirect()->mutable_key());
  Out->mutable_redirect()->set_zone(number(Action.Zone));
}

RefuseSlot decodeRefusal(const peer::Refuse &In) {
  RefuseSlot Refusal;
  Refusal.Key = decode(In.key());
  if (In.kind() < ErrorKindCount)
    Refusal.Kind = static_cast<ErrorKind>(In.kind());
  Refusal.RetryAfter = Duration(In.retry_after_us());
  return Refusal;
}

SlotsConfirmed decodeSlotsHeld(const peer::SlotsHeld &In,
                               const PeerSender &Sender) {
  SlotsConfirmed Confirmed{Sender.Id, Sender.Incarnation};
  for (const std::uint64_t Id : In.ids())
    Confirmed.ActiveRequests.insert(RequestId{Id});
  return Confirmed;
}

// ---- Between the arbiters of a divided pool ---------------------------------

ZoneAggregateMessage decodeAggregate(const peer::Message &In) {
  const peer::ZoneAggregate &Body = In.zone_aggregate();
  ZoneAggregateMessage Message{PoolId{In.pool()}, ZoneId{In.zone()}};
  Message.Aggregate.Zone = ZoneId{Body.zone()};
  Message.Aggregate.FreeSlots = Body.free_slots();
  Message.Aggregate.DeclaredSlots = Body.declared_slots();
  Message.Aggregate.Queued = Body.queued();
  Message.Aggregate.SlotsPerSecond = Body.slots_per_second();
  const auto Known = std::min<int>(Body.expected_wait_us_size(), MaxTiers);
  for (int Tier = 0; Tier < Known; ++Tier)
    Message.Aggregate.ExpectedWait[static_cast<std::size_t>(Tier)] =
        Duration(static_cast<std::int64_t>(Body.expected_wait_us(Tier)));
  Message.Age = Duration(Body.age_us());
  Message.Working = Body.working();
  return Message;
}

} // namespace

void encodeMessage(const ArbiterMessage &Message, peer::Message *Out) {
  Out->set_pool(number(Message.Pool));
  Out->set_zone(number(Message.Zone));
  std::visit([Out](const auto &Event) { encodeEvent(Event, Out); },
             Message.Event);
}

void encodeMessage(const OriginMessage &Message, peer::Message *Out) {
  Out->set_pool(number(Message.Pool));
  Out->set_zone(number(Message.Zone));
  std::visit([Out](const auto &Action) { encodeAction(Action, Out); },
             Message.Action);
  if (Out->has_redirect())
    Out->mutable_redirect()->set_arbiter(number(Message.RedirectHost));
}

void encodeMessage(const ZoneBeat &Beat, peer::Message *Out) {
  Out->mutable_zone_beat()->set_reply(Beat.Reply);
  Out->mutable_zone_beat()->set_ready(Beat.Ready);
}

void encodeMessage(const ZoneAggregateMessage &Message, peer::Message *Out) {
  Out->set_pool(number(Message.Pool));
  Out->set_zone(number(Message.To));
  peer::ZoneAggregate *Body = Out->mutable_zone_aggregate();
  Body->set_zone(number(Message.Aggregate.Zone));
  Body->set_free_slots(Message.Aggregate.FreeSlots);
  Body->set_declared_slots(Message.Aggregate.DeclaredSlots);
  Body->set_queued(Message.Aggregate.Queued);
  Body->set_slots_per_second(Message.Aggregate.SlotsPerSecond);
  for (const Duration Wait : Message.Aggregate.ExpectedWait)
    Body->add_expected_wait_us(static_cast<std::uint64_t>(Wait.count()));
  Body->set_age_us(Message.Age.count());
  Body->set_working(Message.Working);
}

std::optional<PeerMessage> decodeArbiterMessage(const peer::Message &In,
                                                const PeerSender &Sender) {
  ArbiterMessage ToArbiter{PoolId{In.pool()}, {}, ZoneId{In.zone()}};
  OriginMessage ToOrigin{PoolId{In.pool()}, {}, ZoneId{In.zone()}};
  switch (In.body_case()) {
  case peer::Message::kReserve:
    ToArbiter.Event = SlotRequested{decode(In.reserve())};
    return ToArbiter;
  case peer::Message::kCancel:
    ToArbiter.Event = SlotRequestCancelled{decode(In.cancel().key())};
    return ToArbiter;
  case peer::Message::kRelease:
    ToArbiter.Event =
        SlotReleased{decode(In.release().key()), decode(In.release().used())};
    return ToArbiter;
  case peer::Message::kProgress:
    ToArbiter.Event = SlotProgressed{decode(In.progress().key()),
                                     In.progress().output_tokens()};
    return ToArbiter;
  case peer::Message::kGrantsReport:
    ToArbiter.Event = decodeGrants(In.grants_report(), Sender);
    return ToArbiter;
  case peer::Message::kTargetSign:
    ToArbiter.Event = decodeTargetSign(In.target_sign());
    return ToArbiter;
  case peer::Message::kAttemptLost:
    ToArbiter.Event = decodeAttemptLost(In.attempt_lost());
    return ToArbiter;
  case peer::Message::kSlotsHeld:
    ToArbiter.Event = decodeSlotsHeld(In.slots_held(), Sender);
    return ToArbiter;
  case peer::Message::kAnswering:
    ToArbiter.Event = AnswerBegan{decode(In.answering().key())};
    return ToArbiter;
  case peer::Message::kGrant:
    ToOrigin.Action =
        GrantSlot{decode(In.grant().key()), TargetId{In.grant().target()},
                  VersionId{In.grant().version()}, In.grant().watch_answers(),
                  In.grant().paced()};
    std::get<GrantSlot>(ToOrigin.Action).HeardSequence =
        In.grant().heard_sequence();
    return ToOrigin;
  case peer::Message::kRefuse:
    ToOrigin.Action = decodeRefusal(In.refuse());
    return ToOrigin;
  case peer::Message::kPreempt:
    ToOrigin.Action = PreemptSlot{decode(In.preempt().key())};
    return ToOrigin;
  case peer::Message::kRedirect:
    ToOrigin.Action =
        RedirectSlot{decode(In.redirect().key()), ZoneId{In.redirect().zone()}};
    ToOrigin.RedirectHost = HostId{In.redirect().arbiter()};
    return ToOrigin;
  case peer::Message::kKeysAnswered:
    ToArbiter.Event = decodeKeysAnswered(In.keys_answered());
    return ToArbiter;
  case peer::Message::kZoneBeat:
    return ZoneBeat{In.zone_beat().reply(), In.zone_beat().ready()};
  case peer::Message::kZoneAggregate:
    return decodeAggregate(In);
  default:
    return std::nullopt;
  }
}

} // namespace marjorambay::peer_codec
