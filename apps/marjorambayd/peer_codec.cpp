/// Encoding of peer messages as protobuf.
#include "peer_codec.h"

#include "marjorambay/protocol/peer.pb.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace marjorambay {

namespace {

// ---- Values -----------------------------------------------------------------

void put(const RequestKey &Key, peer::RequestKey *Out) {
  Out->set_origin(number(Key.Origin));
  Out->set_origin_life(number(Key.OriginIncarnation));
  Out->set_id(number(Key.Id));
}

RequestKey take(const peer::RequestKey &In) {
  return {HostId{In.origin()}, IncarnationId{In.origin_life()},
          RequestId{In.id()}};
}

void put(const KeyHash &Key, peer::KeyHash *Out) {
  Out->set_high(Key.High);
  Out->set_low(Key.Low);
}

KeyHash take(const peer::KeyHash &In) { return {In.high(), In.low()}; }

void put(const Reservation &Request, peer::Reservation *Out) {
  put(Request.Key, Out->mutable_key());
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
}

Reservation take(const peer::Reservation &In) {
  Reservation Request;
  Request.Key = take(In.key());
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
  return Request;
}

void put(const RolloutView &View, peer::RolloutView *Out) {
  Out->set_id(number(View.Id));
  Out->set_pool(number(View.Pool));
  Out->set_from(number(View.From));
  Out->set_to(number(View.To));
  Out->set_version(View.ObjectVersion);
  Out->set_phase(static_cast<std::uint32_t>(View.Phase));
  Out->set_share(View.Share);
  Out->set_deadline_us(View.Deadline.time_since_epoch().count());
  Out->set_to_name(View.ToName);
  Out->set_leader(number(View.Leader));
}

RolloutView take(const peer::RolloutView &In) {
  RolloutView View;
  View.Id = RolloutId{In.id()};
  View.Pool = PoolId{In.pool()};
  View.From = VersionId{In.from()};
  View.To = VersionId{In.to()};
  View.ObjectVersion = In.version();
  constexpr auto LastPhase =
      static_cast<std::uint32_t>(RolloutPhase::RolledBack);
  View.Phase = static_cast<RolloutPhase>(std::min(In.phase(), LastPhase));
  View.Share = In.share();
  View.Deadline = WallTime(Duration(In.deadline_us()));
  View.ToName = In.to_name();
  View.Leader = HostId{In.leader()};
  return View;
}

void put(const Usage &Used, peer::Usage *Out) {
  Out->set_end(static_cast<std::uint32_t>(Used.Outcome));
  Out->set_prompt_tokens(Used.PromptTokens);
  Out->set_cached_tokens(Used.CachedTokens);
  Out->set_output_tokens(Used.OutputTokens);
  Out->set_to_first_token_us(Used.TimeToFirstToken.count());
  Out->set_total_us(Used.Total.count());
}

Usage take(const peer::Usage &In) {
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
  return Used;
}

void put(const HostInfo &Host, peer::Host *Out) {
  Out->set_id(number(Host.Id));
  Out->set_address(Host.Address);
  Out->set_zone(number(Host.Zone));
  Out->set_region(number(Host.Region));
}

HostInfo take(const peer::Host &In) {
  return {HostId{In.id()}, In.address(), ZoneId{In.zone()},
          RegionId{In.region()}};
}

void put(const KnownHost &Known, peer::KnownHost *Out) {
  put(Known.Host, Out->mutable_host());
  Out->set_life(number(Known.Incarnation));
  Out->set_age_us(Known.Age.count());
  Out->set_draining(Known.Draining);
  Out->set_config_revision(number(Known.ConfigRevision));
}

KnownHost take(const peer::KnownHost &In) {
  return {take(In.host()), IncarnationId{In.life()}, Duration(In.age_us()),
          In.draining(), Revision{In.config_revision()}};
}

// ---- Origin to arbiter ------------------------------------------------------

void putEvent(const SlotRequested &Event, peer::Message *Out) {
  put(Event.Request, Out->mutable_reserve());
}
void putEvent(const SlotRequestCancelled &Event, peer::Message *Out) {
  put(Event.Key, Out->mutable_cancel()->mutable_key());
}
void putEvent(const SlotReleased &Event, peer::Message *Out) {
  put(Event.Key, Out->mutable_release()->mutable_key());
  put(Event.Used, Out->mutable_release()->mutable_used());
}
void putEvent(const SlotProgressed &Event, peer::Message *Out) {
  put(Event.Key, Out->mutable_progress()->mutable_key());
  Out->mutable_progress()->set_output_tokens(Event.OutputTokens);
}
void putEvent(const GrantsReported &Event, peer::Message *Out) {
  peer::GrantsReport *Report = Out->mutable_grants_report();
  for (const HeldGrant &Grant : Event.Grants) {
    peer::HeldGrant *Each = Report->add_grants();
    put(Grant.Request, Each->mutable_request());
    Each->set_target(number(Grant.Target));
  }
}
void putEvent(const TargetLeaving &Event, peer::Message *Out) {
  Out->mutable_target_sign()->set_target(number(Event.Target));
  Out->mutable_target_sign()->set_leaving(true);
  Out->mutable_target_sign()->set_life(number(Event.Incarnation));
}
void putEvent(const TargetRefused &Event, peer::Message *Out) {
  Out->mutable_target_sign()->set_target(number(Event.Target));
}
void putEvent(const SlotsConfirmed &Event, peer::Message *Out) {
  peer::SlotsHeld *Held = Out->mutable_slots_held();
  for (const RequestId Id : Event.ActiveRequests)
    Held->add_ids(number(Id));
}
template <typename LocalEvent>
void putEvent(const LocalEvent &, peer::Message *) {
  assert(false && "this event is local to the arbiter's host");
}

GrantsReported takeGrants(const peer::GrantsReport &In) {
  GrantsReported Report;
  for (const peer::HeldGrant &Each : In.grants())
    Report.Grants.push_back({take(Each.request()), TargetId{Each.target()}});
  return Report;
}

ArbiterEvent takeSign(const peer::TargetSign &In) {
  if (In.leaving())
    return TargetLeaving{TargetId{In.target()}, IncarnationId{In.life()}};
  return TargetRefused{TargetId{In.target()}};
}

// ---- Arbiter to origin ------------------------------------------------------

void putAction(const GrantSlot &Action, peer::Message *Out) {
  put(Action.Key, Out->mutable_grant()->mutable_key());
  Out->mutable_grant()->set_target(number(Action.Target));
  Out->mutable_grant()->set_version(number(Action.Version));
}
void putAction(const RefuseSlot &Action, peer::Message *Out) {
  peer::Refuse *Refusal = Out->mutable_refuse();
  put(Action.Key, Refusal->mutable_key());
  Refusal->set_kind(static_cast<std::uint32_t>(Action.Kind));
  Refusal->set_retry_after_us(Action.RetryAfter.count());
}
void putAction(const PreemptSlot &Action, peer::Message *Out) {
  put(Action.Key, Out->mutable_preempt()->mutable_key());
}

RefuseSlot takeRefusal(const peer::Refuse &In) {
  RefuseSlot Refusal;
  Refusal.Key = take(In.key());
  if (In.kind() < ErrorKindCount)
    Refusal.Kind = static_cast<ErrorKind>(In.kind());
  Refusal.RetryAfter = Duration(In.retry_after_us());
  return Refusal;
}

// ---- Messages ---------------------------------------------------------------

void putMessage(const ArbiterMessage &Message, peer::Message *Out) {
  Out->set_pool(number(Message.Pool));
  std::visit([Out](const auto &Event) { putEvent(Event, Out); }, Message.Event);
}
void putMessage(const OriginMessage &Message, peer::Message *Out) {
  Out->set_pool(number(Message.Pool));
  std::visit([Out](const auto &Action) { putAction(Action, Out); },
             Message.Action);
}
void putMessage(const Heartbeat &Beat, peer::Message *Out) {
  peer::Heartbeat *To = Out->mutable_heartbeat();
  put(Beat.Sender, To->mutable_sender());
  To->set_sequence(Beat.Sequence);
  To->set_config_revision(number(Beat.ConfigRevision));
  To->set_draining(Beat.Draining);
  To->set_signs_digest(Beat.NoticesDigest);
  To->set_hop(Beat.Hop);
  for (const LeavingNotice &Sign : Beat.LeavingNotices) {
    peer::Leaving *Each = To->add_leaving();
    Each->set_target(number(Sign.Target));
    Each->set_life(number(Sign.Incarnation));
    Each->set_back(Sign.Cleared);
  }
  for (const TrippedVersion &Trip : Beat.TrippedVersions) {
    peer::Trip *Each = To->add_tripped();
    Each->set_rollout(number(Trip.Rollout));
    Each->set_version(number(Trip.Version));
    Each->set_begun_us(Trip.RolloutStart.time_since_epoch().count());
  }
  for (const KnownHost &Host : Beat.KnownHosts)
    put(Host, To->add_known());
  for (const RolloutView &View : Beat.Rollouts)
    put(View, To->add_rollouts());
}
void putMessage(const EvidenceArrived &Arrived, peer::Message *Out) {
  peer::Evidence *To = Out->mutable_evidence();
  To->set_rollout(number(Arrived.Rollout));
  for (const EvidenceCell &Cell : Arrived.Cells) {
    peer::EvidenceCell *Each = To->add_cells();
    Each->set_route(number(Cell.Stratum.Route));
    Each->set_load(Cell.Stratum.Load);
    Each->set_speed_class(Cell.Stratum.SpeedClass);
    Each->set_kind(static_cast<std::uint32_t>(Cell.Kind));
    Each->set_old_answers(Cell.OldAnswers);
    Each->set_old_bad(Cell.OldBad);
    Each->set_new_answers(Cell.NewAnswers);
    Each->set_new_bad(Cell.NewBad);
  }
}
void putMessage(const FleetHeartbeat &Beat, peer::Message *Out) {
  peer::FleetBeat *To = Out->mutable_fleet_beat();
  put(Beat.Sender, To->mutable_sender());
  To->set_sequence(Beat.Sequence);
  To->set_config_version(Beat.ConfigVersion);
  To->set_draining(Beat.Draining);
  for (const AccountUsage &Use : Beat.AccountUsages) {
    peer::AccountUse *Each = To->add_uses();
    Each->set_account(number(Use.Account));
    Each->set_used(Use.Used);
  }
}
void putMessage(const FleetDigest &Digest, peer::Message *Out) {
  peer::FleetDigest *To = Out->mutable_fleet_digest();
  To->set_sequence(Digest.Sequence);
  To->set_config_version(Digest.ConfigVersion);
  To->set_ready(Digest.Ready);
  To->set_fresh(Digest.WatchHealthy);
  for (const std::uint64_t Position : Digest.FeedRevisions)
    To->add_positions(Position);
  for (const AccountLevel &Level : Digest.AccountLevels) {
    peer::AccountLevel *Each = To->add_levels();
    Each->set_account(number(Level.Account));
    Each->set_level(Level.Level);
    Each->set_others_rate(Level.OthersRate);
    Each->set_counted(Level.IncludedUsage);
  }
  for (const VersionDecision &Order : Digest.Decisions) {
    peer::VersionOrder *Each = To->add_orders();
    Each->set_pool(number(Order.Pool));
    Each->set_version(number(Order.Version));
    Each->set_stage(static_cast<std::uint32_t>(Order.Stage));
    Each->set_share(Order.Share);
    Each->set_age_us(Order.Age.count());
  }
}
void putMessage(const ReservationQueued &Queued, peer::Message *Out) {
  put(Queued.Key, Out->mutable_slot_queued()->mutable_key());
}
void putMessage(const ConfigRequested &Asked, peer::Message *Out) {
  Out->mutable_config_ask()->set_have(number(Asked.KnownRevision));
}
void putMessage(const ConfigReceived &Content, peer::Message *Out) {
  peer::Config *To = Out->mutable_config();
  To->set_revision(number(Content.Rev));
  To->set_document(Content.Document);
  To->set_digest(Content.Digest);
  for (const ConfigDelta &Delta : Content.Deltas) {
    peer::ConfigDelta *Each = To->add_deltas();
    Each->set_from(number(Delta.From));
    Each->set_to(number(Delta.To));
    for (const DocumentEdit &Edit : Delta.Edits) {
      peer::Edit *One = Each->add_edits();
      One->set_offset(Edit.Offset);
      One->set_removed(Edit.Removed);
      One->set_inserted(Edit.Inserted);
    }
  }
}
void putMessage(const IntentRequested &Event, peer::Message *Out) {
  peer::IntentRequest *To = Out->mutable_intent_request();
  put(Event.Request, To->mutable_request());
  put(Event.Key, To->mutable_key());
  To->set_body_hash(Event.BodyHash);
  To->set_time_left_us(Event.TimeLeft.count());
}
void putMessage(const AnswerIntent &Answer, peer::Message *Out) {
  peer::IntentAnswer *To = Out->mutable_intent_answer();
  put(Answer.Request, To->mutable_request());
  To->set_verdict(static_cast<std::uint32_t>(Answer.Decision));
  To->set_applied_status(Answer.AppliedStatus);
}
void putMessage(const OutcomeReported &Event, peer::Message *Out) {
  peer::Outcome *To = Out->mutable_outcome();
  put(Event.Request, To->mutable_request());
  put(Event.Key, To->mutable_key());
  To->set_released(Event.Released);
  To->set_http_status(Event.HttpStatus);
}

Heartbeat takeHeartbeat(const peer::Heartbeat &In, const PeerSender &Sender) {
  Heartbeat Beat;
  Beat.Sender = take(In.sender());
  Beat.Incarnation = Sender.Incarnation;
  Beat.Sequence = In.sequence();
  Beat.ConfigRevision = Revision{In.config_revision()};
  Beat.Draining = In.draining();
  Beat.NoticesDigest = In.signs_digest();
  Beat.Hop = static_cast<std::uint8_t>(In.hop());
  for (const peer::Leaving &Each : In.leaving())
    Beat.LeavingNotices.push_back(
        {TargetId{Each.target()}, IncarnationId{Each.life()}, Each.back()});
  for (const peer::Trip &Each : In.tripped())
    Beat.TrippedVersions.push_back({RolloutId{Each.rollout()},
                                    VersionId{Each.version()},
                                    WallTime(Duration(Each.begun_us()))});
  for (const peer::KnownHost &Each : In.known())
    Beat.KnownHosts.push_back(take(Each));
  for (const peer::RolloutView &Each : In.rollouts())
    Beat.Rollouts.push_back(take(Each));
  return Beat;
}

EvidenceArrived takeEvidence(const peer::Evidence &In) {
  EvidenceArrived Arrived;
  Arrived.Rollout = RolloutId{In.rollout()};
  for (const peer::EvidenceCell &Each : In.cells()) {
    EvidenceCell Cell;
    Cell.Stratum = {RouteId{Each.route()},
                    static_cast<std::uint8_t>(Each.load()),
                    static_cast<std::uint8_t>(Each.speed_class())};
    Cell.Kind = static_cast<FaultKind>(
        std::min<std::uint32_t>(Each.kind(), FaultKindCount - 1));
    Cell.OldAnswers = Each.old_answers();
    Cell.OldBad = Each.old_bad();
    Cell.NewAnswers = Each.new_answers();
    Cell.NewBad = Each.new_bad();
    Arrived.Cells.push_back(Cell);
  }
  return Arrived;
}

FleetHeartbeat takeBeat(const peer::FleetBeat &In) {
  FleetHeartbeat Beat;
  Beat.Sender = take(In.sender());
  Beat.Sequence = In.sequence();
  Beat.ConfigVersion = In.config_version();
  Beat.Draining = In.draining();
  for (const peer::AccountUse &Each : In.uses())
    Beat.AccountUsages.push_back({AccountId{Each.account()}, Each.used()});
  return Beat;
}

FleetDigest takeDigest(const peer::FleetDigest &In) {
  FleetDigest Digest;
  Digest.Sequence = In.sequence();
  Digest.ConfigVersion = In.config_version();
  Digest.Ready = In.ready();
  Digest.WatchHealthy = In.fresh();
  const auto Known = std::min<int>(In.positions_size(), ObjectKindCount);
  for (int Kind = 0; Kind < Known; ++Kind)
    Digest.FeedRevisions[static_cast<std::size_t>(Kind)] = In.positions(Kind);
  for (const peer::AccountLevel &Each : In.levels())
    Digest.AccountLevels.push_back({AccountId{Each.account()}, Each.level(),
                                    Each.others_rate(), Each.counted()});
  constexpr auto LastStage =
      static_cast<std::uint32_t>(VersionStage::RolledBack);
  for (const peer::VersionOrder &Each : In.orders())
    Digest.Decisions.push_back(
        {PoolId{Each.pool()}, VersionId{Each.version()},
         static_cast<VersionStage>(std::min(Each.stage(), LastStage)),
         Each.share(), Duration(Each.age_us())});
  return Digest;
}

SlotsConfirmed takeHeld(const peer::SlotsHeld &In, const PeerSender &Sender) {
  SlotsConfirmed Confirmed{Sender.Id, Sender.Incarnation};
  for (const std::uint64_t Id : In.ids())
    Confirmed.ActiveRequests.insert(RequestId{Id});
  return Confirmed;
}

ConfigReceived takeConfig(const peer::Config &In) {
  ConfigReceived Content;
  Content.Rev = Revision{In.revision()};
  Content.Document = In.document();
  Content.Digest = In.digest();
  for (const peer::ConfigDelta &Each : In.deltas()) {
    ConfigDelta Delta{Revision{Each.from()}, Revision{Each.to()}, {}};
    for (const peer::Edit &One : Each.edits())
      Delta.Edits.push_back({One.offset(), One.removed(), One.inserted()});
    Content.Deltas.push_back(std::move(Delta));
  }
  return Content;
}

IntentDecision takeVerdict(std::uint32_t Number) {
  if (Number > static_cast<std::uint32_t>(IntentDecision::Unavailable))
    return IntentDecision::Unavailable;
  return static_cast<IntentDecision>(Number);
}

std::optional<PeerMessage> takeMessage(const peer::Message &In,
                                       const PeerSender &Sender) {
  const PoolId Pool{In.pool()};
  switch (In.body_case()) {
  case peer::Message::kReserve:
    return ArbiterMessage{Pool, SlotRequested{take(In.reserve())}};
  case peer::Message::kCancel:
    return ArbiterMessage{Pool, SlotRequestCancelled{take(In.cancel().key())}};
  case peer::Message::kRelease:
    return ArbiterMessage{Pool, SlotReleased{take(In.release().key()),
                                             take(In.release().used())}};
  case peer::Message::kProgress:
    return ArbiterMessage{Pool, SlotProgressed{take(In.progress().key()),
                                               In.progress().output_tokens()}};
  case peer::Message::kGrantsReport: {
    GrantsReported Report = takeGrants(In.grants_report());
    Report.Origin = Sender.Id;
    Report.OriginIncarnation = Sender.Incarnation;
    return ArbiterMessage{Pool, std::move(Report)};
  }
  case peer::Message::kTargetSign:
    return ArbiterMessage{Pool, takeSign(In.target_sign())};
  case peer::Message::kGrant:
    return OriginMessage{Pool, GrantSlot{take(In.grant().key()),
                                         TargetId{In.grant().target()},
                                         VersionId{In.grant().version()}}};
  case peer::Message::kRefuse:
    return OriginMessage{Pool, takeRefusal(In.refuse())};
  case peer::Message::kPreempt:
    return OriginMessage{Pool, PreemptSlot{take(In.preempt().key())}};
  case peer::Message::kHeartbeat:
    return takeHeartbeat(In.heartbeat(), Sender);
  case peer::Message::kConfigAsk:
    return ConfigRequested{Sender.Id, Revision{In.config_ask().have()}};
  case peer::Message::kConfig:
    return takeConfig(In.config());
  case peer::Message::kIntentRequest:
    return IntentRequested{take(In.intent_request().request()),
                           take(In.intent_request().key()),
                           In.intent_request().body_hash(),
                           Duration(In.intent_request().time_left_us())};
  case peer::Message::kIntentAnswer:
    return AnswerIntent{take(In.intent_answer().request()),
                        takeVerdict(In.intent_answer().verdict()),
                        In.intent_answer().applied_status()};
  case peer::Message::kOutcome:
    return OutcomeReported{take(In.outcome().request()),
                           take(In.outcome().key()), In.outcome().released(),
                           In.outcome().http_status()};
  case peer::Message::kEvidence:
    return takeEvidence(In.evidence());
  case peer::Message::kFleetBeat:
    return takeBeat(In.fleet_beat());
  case peer::Message::kFleetDigest:
    return takeDigest(In.fleet_digest());
  case peer::Message::kSlotsHeld:
    return ArbiterMessage{Pool, takeHeld(In.slots_held(), Sender)};
  case peer::Message::kSlotQueued:
    return ReservationQueued{take(In.slot_queued().key())};
  case peer::Message::BODY_NOT_SET:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace

namespace {

/// Returns the request key of a message to an arbiter, or nullptr. The origin
/// of most requests is the sender, whom the envelope names already, so it can
/// be omitted there.
peer::RequestKey *requestKey(peer::Message &Message) {
  switch (Message.body_case()) {
  case peer::Message::kReserve:
    return Message.mutable_reserve()->mutable_key();
  case peer::Message::kCancel:
    return Message.mutable_cancel()->mutable_key();
  case peer::Message::kRelease:
    return Message.mutable_release()->mutable_key();
  case peer::Message::kProgress:
    return Message.mutable_progress()->mutable_key();
  default:
    return nullptr;
  }
}

void omitOwnOrigin(peer::Envelope &Envelope) {
  for (peer::Message &Each : *Envelope.mutable_messages()) {
    peer::RequestKey *Key = requestKey(Each);
    const bool IsOwn = Key && Key->origin() == Envelope.sender() &&
                       Key->origin_life() == Envelope.sender_life();
    if (!IsOwn)
      continue;
    Key->clear_origin();
    Key->clear_origin_life();
  }
}

void restoreOwnOrigin(peer::Envelope &Envelope) {
  for (peer::Message &Each : *Envelope.mutable_messages()) {
    peer::RequestKey *Key = requestKey(Each);
    if (!Key || Key->origin() != 0)
      continue;
    Key->set_origin(Envelope.sender());
    Key->set_origin_life(Envelope.sender_life());
  }
}

} // namespace

struct EnvelopeWriter::State {
  peer::Envelope Envelope{};
};

EnvelopeWriter::EnvelopeWriter() : Data(std::make_unique<State>()) {}
EnvelopeWriter::~EnvelopeWriter() = default;
EnvelopeWriter::EnvelopeWriter(EnvelopeWriter &&) noexcept = default;
EnvelopeWriter &EnvelopeWriter::operator=(EnvelopeWriter &&) noexcept = default;

void EnvelopeWriter::add(const PeerMessage &Message) {
  peer::Message *Out = Data->Envelope.add_messages();
  std::visit([Out](const auto &Known) { putMessage(Known, Out); }, Message);
}

bool EnvelopeWriter::empty() const {
  return Data->Envelope.messages_size() == 0;
}

std::string EnvelopeWriter::serialize(const PeerSender &Sender) {
  Data->Envelope.set_sender(number(Sender.Id));
  Data->Envelope.set_sender_life(number(Sender.Incarnation));
  Data->Envelope.set_sender_address(Sender.Address);
  omitOwnOrigin(Data->Envelope);
  std::string Bytes = Data->Envelope.SerializeAsString();
  Data->Envelope.Clear();
  return Bytes;
}

std::string serializeFeed(const ObjectFeed &Feed) {
  peer::ObjectFeed Out;
  Out.set_at(Feed.Revision);
  Out.set_whole(Feed.IsSnapshot);
  Out.set_settling_us(Feed.SettlingTime.count());
  for (const ObjectRecord &Record : Feed.Records) {
    peer::ObjectRecord *Each = Out.add_records();
    Each->set_name(Record.Name);
    Each->set_revision(Record.Revision);
    Each->set_removed(Record.Removed);
    Each->set_text(Record.Text);
  }
  return Out.SerializeAsString();
}

Result<ObjectFeed> parseFeed(std::string_view Bytes) {
  peer::ObjectFeed In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return Error{ErrorKind::BadRequest, "a peer sent a malformed feed"};
  ObjectFeed Feed;
  Feed.Revision = In.at();
  Feed.IsSnapshot = In.whole();
  Feed.SettlingTime = Duration(In.settling_us());
  for (const peer::ObjectRecord &Each : In.records())
    Feed.Records.push_back(
        {Each.name(), Each.revision(), Each.removed(), Each.text()});
  return Feed;
}

Result<ReceivedEnvelope> parseEnvelope(std::string_view Bytes) {
  peer::Envelope In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return Error{ErrorKind::BadRequest, "a peer sent a malformed envelope"};
  restoreOwnOrigin(In);
  ReceivedEnvelope Out;
  Out.Sender = {HostId{In.sender()}, IncarnationId{In.sender_life()},
                In.sender_address()};
  for (const peer::Message &Each : In.messages())
    if (auto Message = takeMessage(Each, Out.Sender))
      Out.Messages.push_back(std::move(*Message));
  return Out;
}

} // namespace marjorambay
