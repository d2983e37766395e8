/// Encoding of peer messages as protobuf.
#include "peer_codec_parts.h"

#include <algorithm>
#include <utility>

namespace marjorambay {

namespace {

// Named here, since the overloads below hide them.
using peer_codec::decode;
using peer_codec::decodeArbiterMessage;
using peer_codec::decodeKey;
using peer_codec::encode;
using peer_codec::encodeKey;
using peer_codec::encodeMessage;

// ---- Values -----------------------------------------------------------------

void encode(const KeyHash &Key, peer::KeyHash *Out) {
  Out->set_high(Key.High);
  Out->set_low(Key.Low);
}

KeyHash decode(const peer::KeyHash &In) { return {In.high(), In.low()}; }

void encode(const RolloutView &View, peer::RolloutView *Out) {
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

RolloutView decode(const peer::RolloutView &In) {
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

void encode(const HostInfo &Host, peer::Host *Out) {
  Out->set_id(number(Host.Id));
  Out->set_address(Host.Address);
  Out->set_zone(number(Host.Zone));
  Out->set_region(number(Host.Region));
}

HostInfo decode(const peer::Host &In) {
  return {HostId{In.id()}, In.address(), ZoneId{In.zone()},
          RegionId{In.region()}};
}

void encode(const KnownHost &Known, peer::KnownHost *Out) {
  encode(Known.Host, Out->mutable_host());
  Out->set_life(number(Known.Incarnation));
  Out->set_age_us(Known.Age.count());
  Out->set_draining(Known.Draining);
  Out->set_config_revision(number(Known.ConfigRevision));
}

KnownHost decode(const peer::KnownHost &In) {
  return {decode(In.host()), IncarnationId{In.life()}, Duration(In.age_us()),
          In.draining(), Revision{In.config_revision()}};
}

void encodeMessage(const Heartbeat &Message, peer::Message *Out) {
  peer::Heartbeat *Body = Out->mutable_heartbeat();
  encode(Message.Sender, Body->mutable_sender());
  Body->set_sequence(Message.Sequence);
  Body->set_config_revision(number(Message.ConfigRevision));
  Body->set_draining(Message.Draining);
  Body->set_signs_digest(Message.NoticesDigest);
  Body->set_hop(Message.Hop);
  for (const LeavingNotice &Sign : Message.LeavingNotices) {
    peer::Leaving *Entry = Body->add_leaving();
    Entry->set_target(number(Sign.Target));
    Entry->set_life(number(Sign.Incarnation));
    Entry->set_back(Sign.Cleared);
  }
  for (const TrippedVersion &Trip : Message.TrippedVersions) {
    peer::Trip *Entry = Body->add_tripped();
    Entry->set_rollout(number(Trip.Rollout));
    Entry->set_version(number(Trip.Version));
    Entry->set_begun_us(Trip.RolloutStart.time_since_epoch().count());
  }
  for (const KnownHost &Host : Message.KnownHosts)
    encode(Host, Body->add_known());
  for (const RolloutView &View : Message.Rollouts)
    encode(View, Body->add_rollouts());
}
void encodeMessage(const EvidenceArrived &Arrived, peer::Message *Out) {
  peer::Evidence *Body = Out->mutable_evidence();
  Body->set_rollout(number(Arrived.Rollout));
  for (const EvidenceCell &Cell : Arrived.Cells) {
    peer::EvidenceCell *Entry = Body->add_cells();
    Entry->set_route(number(Cell.Stratum.Route));
    Entry->set_load(Cell.Stratum.Load);
    Entry->set_speed_class(Cell.Stratum.SpeedClass);
    Entry->set_kind(static_cast<std::uint32_t>(Cell.Kind));
    Entry->set_old_answers(Cell.OldAnswers);
    Entry->set_old_bad(Cell.OldBad);
    Entry->set_new_answers(Cell.NewAnswers);
    Entry->set_new_bad(Cell.NewBad);
    Entry->set_shared_bad(Cell.SharedBad);
  }
  for (const LatencyCell &Cell : Arrived.Latencies) {
    peer::LatencyCell *Entry = Body->add_latencies();
    Entry->set_route(number(Cell.Route));
    Entry->set_kind(static_cast<std::uint32_t>(Cell.Kind));
    Entry->set_bin(Cell.Bin);
    Entry->set_old_answers(Cell.OldAnswers);
    Entry->set_new_answers(Cell.NewAnswers);
    Entry->set_target(number(Cell.Target));
  }
  for (const PaceSample &Sample : Arrived.Paces) {
    peer::PaceSample *Entry = Body->add_paces();
    Entry->set_target(number(Sample.Target));
    Entry->set_is_new(Sample.IsNew);
    Entry->set_pace_us(static_cast<std::uint32_t>(
        std::chrono::duration_cast<microseconds>(Sample.Pace).count()));
  }
}
void encode(const TargetLimitNotice &Notice, peer::TargetLimit *Out) {
  Out->set_target(number(Notice.Target));
  Out->set_incarnation(number(Notice.Incarnation));
  Out->set_limited(Notice.PerSecond.has_value());
  Out->set_per_second(Notice.PerSecond.value_or(0));
  Out->set_age_us(Notice.Age.count());
}
/// To earlier builds, a statement on warm-up is an old notice without a limit,
/// which changes nothing.
void encode(const TargetWarmupNotice &Notice, peer::TargetLimit *Out) {
  constexpr Duration LongAgo = hours(1);
  Out->set_target(number(Notice.Target));
  Out->set_incarnation(number(Notice.Incarnation));
  Out->set_age_us(LongAgo.count());
  Out->set_warmup_source(1 + static_cast<std::uint32_t>(Notice.Source));
  Out->set_warmup_awaits_response(Notice.AwaitsResponse);
  Out->set_warmup_left_us(Notice.Left.count());
  Out->set_warmup_age_us(Notice.Age.count());
}
void encodeMessage(const FleetHeartbeat &Message, peer::Message *Out) {
  peer::FleetBeat *Body = Out->mutable_fleet_beat();
  encode(Message.Sender, Body->mutable_sender());
  Body->set_sequence(Message.Sequence);
  Body->set_config_version(Message.ConfigVersion);
  Body->set_draining(Message.Draining);
  Body->set_uptime_us(Message.Uptime.count());
  for (const TargetLimitNotice &Notice : Message.TargetLimits)
    encode(Notice, Body->add_target_limits());
  for (const TargetWarmupNotice &Notice : Message.TargetWarmups)
    encode(Notice, Body->add_target_limits());
  for (const PoolId Pool : Message.PledgedPools)
    Body->add_pledged_pools(number(Pool));
  Body->set_digest_sequence(Message.DigestSequence);
  for (const AccountUsage &Use : Message.AccountUsages) {
    peer::AccountUse *Entry = Body->add_uses();
    Entry->set_account(number(Use.Account));
    Entry->set_used(Use.Used);
    if (Use.Level)
      Entry->set_level(*Use.Level);
  }
}
void encodeMessage(const FleetDigest &Digest, peer::Message *Out) {
  peer::FleetDigest *Body = Out->mutable_fleet_digest();
  Body->set_sequence(Digest.Sequence);
  Body->set_config_version(Digest.ConfigVersion);
  Body->set_ready(Digest.Ready);
  Body->set_fresh(Digest.WatchHealthy);
  Body->set_platform_contact_us(Digest.PlatformContact.count());
  for (std::size_t Kind = 0; Kind < ObjectKindCount; ++Kind) {
    const StorePosition &Position = Digest.FeedPositions[Kind];
    const bool Optional =
        static_cast<ObjectKind>(Kind) == ObjectKind::Evacuations;
    if (Optional && Position.Revision == 0)
      continue; // the last kind: a host that doesn't mirror it sends no
                // position
    Body->add_positions(Position.Revision);
    Body->add_eras(Position.Era);
  }
  if (Digest.WatchHealthy)
    for (const std::uint32_t Hash : Digest.ContentHashes)
      Body->add_content_hashes(Hash);
  for (const AccountLevel &Level : Digest.AccountLevels) {
    peer::AccountLevel *Entry = Body->add_levels();
    Entry->set_account(number(Level.Account));
    Entry->set_level(Level.Level);
    Entry->set_others_rate(Level.OthersRate);
    Entry->set_counted(Level.IncludedUsage);
  }
  for (const VersionDecision &Order : Digest.Decisions) {
    peer::VersionOrder *Entry = Body->add_orders();
    Entry->set_pool(number(Order.Pool));
    Entry->set_version(number(Order.Version));
    Entry->set_stage(static_cast<std::uint32_t>(Order.Stage));
    Entry->set_share(Order.Share);
    Entry->set_age_us(Order.Age.count());
  }
  for (const auto &[Pool, Hold] : Digest.CrashHolds) {
    peer::SegmentHold *Entry = Body->add_segment_holds();
    Entry->set_pool(number(Pool));
    Entry->set_segment(encodeKey(Hold.Key));
    Entry->set_confirmations(Hold.Confirmations);
    Entry->set_cleared(Hold.Cleared);
    Entry->set_remaining_us(Hold.Remaining.count());
  }
  for (const TargetLimitNotice &Notice : Digest.TargetLimits)
    encode(Notice, Body->add_target_limits());
  for (const TargetWarmupNotice &Notice : Digest.TargetWarmups)
    encode(Notice, Body->add_target_limits());
  Body->set_knows_cold_targets(Digest.KnowsColdTargets);
}
void encodeMessage(const ReservationQueued &Queued, peer::Message *Out) {
  encode(Queued.Key, Out->mutable_slot_queued()->mutable_key());
}
void encodeMessage(const ConfigRequested &Asked, peer::Message *Out) {
  Out->mutable_config_ask()->set_have(number(Asked.KnownRevision));
}
void encodeMessage(const ConfigReceived &Content, peer::Message *Out) {
  peer::Config *Body = Out->mutable_config();
  Body->set_revision(number(Content.Rev));
  Body->set_document(Content.Document);
  Body->set_digest(Content.Digest);
  for (const ConfigDelta &Delta : Content.Deltas) {
    peer::ConfigDelta *Entry = Body->add_deltas();
    Entry->set_from(number(Delta.From));
    Entry->set_to(number(Delta.To));
    for (const DocumentEdit &Edit : Delta.Edits) {
      peer::Edit *EditEntry = Entry->add_edits();
      EditEntry->set_offset(Edit.Offset);
      EditEntry->set_removed(Edit.Removed);
      EditEntry->set_inserted(Edit.Inserted);
    }
  }
}
void encodeMessage(const IntentRequested &Event, peer::Message *Out) {
  peer::IntentRequest *Body = Out->mutable_intent_request();
  encode(Event.Request, Body->mutable_request());
  encode(Event.Key, Body->mutable_key());
  Body->set_body_hash(Event.BodyHash);
  Body->set_time_left_us(Event.TimeLeft.count());
}
void encodeMessage(const AnswerIntent &Answer, peer::Message *Out) {
  peer::IntentAnswer *Body = Out->mutable_intent_answer();
  encode(Answer.Request, Body->mutable_request());
  Body->set_verdict(static_cast<std::uint32_t>(Answer.Decision));
  Body->set_applied_status(Answer.AppliedStatus);
}
void encodeMessage(const OutcomeReported &Event, peer::Message *Out) {
  peer::Outcome *Body = Out->mutable_outcome();
  encode(Event.Request, Body->mutable_request());
  encode(Event.Key, Body->mutable_key());
  Body->set_released(Event.Released);
  Body->set_http_status(Event.HttpStatus);
}

Heartbeat decodeHeartbeat(const peer::Heartbeat &In, const PeerSender &Sender) {
  Heartbeat Message;
  Message.Sender = decode(In.sender());
  Message.Incarnation = Sender.Incarnation;
  Message.Sequence = In.sequence();
  Message.ConfigRevision = Revision{In.config_revision()};
  Message.Draining = In.draining();
  Message.NoticesDigest = In.signs_digest();
  Message.Hop = static_cast<std::uint8_t>(In.hop());
  for (const peer::Leaving &Entry : In.leaving())
    Message.LeavingNotices.push_back(
        {TargetId{Entry.target()}, IncarnationId{Entry.life()}, Entry.back()});
  for (const peer::Trip &Entry : In.tripped())
    Message.TrippedVersions.push_back({RolloutId{Entry.rollout()},
                                       VersionId{Entry.version()},
                                       WallTime(Duration(Entry.begun_us()))});
  for (const peer::KnownHost &Entry : In.known())
    Message.KnownHosts.push_back(decode(Entry));
  for (const peer::RolloutView &Entry : In.rollouts())
    Message.Rollouts.push_back(decode(Entry));
  return Message;
}

EvidenceArrived decodeEvidence(const peer::Evidence &In) {
  EvidenceArrived Arrived;
  Arrived.Rollout = RolloutId{In.rollout()};
  for (const peer::EvidenceCell &Entry : In.cells()) {
    EvidenceCell Cell;
    Cell.Stratum = {RouteId{Entry.route()},
                    static_cast<std::uint8_t>(Entry.load()),
                    static_cast<std::uint8_t>(Entry.speed_class())};
    Cell.Kind = static_cast<FaultKind>(
        std::min<std::uint32_t>(Entry.kind(), FaultKindCount - 1));
    Cell.OldAnswers = Entry.old_answers();
    Cell.OldBad = Entry.old_bad();
    Cell.NewAnswers = Entry.new_answers();
    Cell.NewBad = Entry.new_bad();
    Cell.SharedBad = Entry.shared_bad();
    Arrived.Cells.push_back(Cell);
  }
  for (const peer::LatencyCell &Entry : In.latencies()) {
    if (Entry.kind() >= LatencyKindCount || Entry.bin() >= LatencyBinCount)
      continue; // of a later version
    Arrived.Latencies.push_back(
        {RouteId{Entry.route()}, static_cast<LatencyKind>(Entry.kind()),
         static_cast<std::uint8_t>(Entry.bin()), Entry.old_answers(),
         Entry.new_answers(), TargetId{Entry.target()}});
  }
  for (const peer::PaceSample &Entry : In.paces())
    Arrived.Paces.push_back({TargetId{Entry.target()}, Entry.is_new(),
                             microseconds(Entry.pace_us())});
  return Arrived;
}

TargetLimitNotice decode(const peer::TargetLimit &In) {
  TargetLimitNotice Notice{TargetId{In.target()},
                           IncarnationId{In.incarnation()}};
  if (In.limited())
    Notice.PerSecond = In.per_second();
  Notice.Age = Duration(In.age_us());
  return Notice;
}

/// Adds a received notice to those of its kind.
void decode(const peer::TargetLimit &In, std::vector<TargetLimitNotice> &Limits,
            std::vector<TargetWarmupNotice> &Warmups) {
  // Limit on received durations, so that sums do not overflow.
  constexpr Duration MaxTime = hours(24);
  const std::uint32_t Source = In.warmup_source();
  if (Source == 0)
    return Limits.push_back(decode(In));
  if (Source > NamesOf<WarmupSource>.size())
    return;
  Warmups.push_back(
      {TargetId{In.target()}, IncarnationId{In.incarnation()},
       static_cast<WarmupSource>(Source - 1), In.warmup_awaits_response(),
       std::clamp(Duration(In.warmup_left_us()), Duration(0), MaxTime),
       std::clamp(Duration(In.warmup_age_us()), Duration(0), MaxTime)});
}

FleetHeartbeat decodeFleetHeartbeat(const peer::FleetBeat &In) {
  FleetHeartbeat Message;
  Message.Sender = decode(In.sender());
  Message.Sequence = In.sequence();
  Message.ConfigVersion = In.config_version();
  Message.Draining = In.draining();
  Message.Uptime = Duration(In.uptime_us());
  for (const peer::TargetLimit &Entry : In.target_limits())
    decode(Entry, Message.TargetLimits, Message.TargetWarmups);
  for (const std::uint64_t Pool : In.pledged_pools())
    Message.PledgedPools.push_back(PoolId{Pool});
  Message.DigestSequence = In.digest_sequence();
  for (const peer::AccountUse &Entry : In.uses()) {
    AccountUsage Use{AccountId{Entry.account()}, Entry.used()};
    if (Entry.has_level())
      Use.Level = Entry.level();
    Message.AccountUsages.push_back(Use);
  }
  return Message;
}

FleetDigest decodeDigest(const peer::FleetDigest &In) {
  FleetDigest Digest;
  Digest.Sequence = In.sequence();
  Digest.ConfigVersion = In.config_version();
  Digest.Ready = In.ready();
  Digest.WatchHealthy = In.fresh();
  Digest.PlatformContact = Duration(In.platform_contact_us());
  const auto Known = std::min<int>(In.positions_size(), ObjectKindCount);
  for (int Kind = 0; Kind < Known; ++Kind)
    Digest.FeedPositions[static_cast<std::size_t>(Kind)] = {
        Kind < In.eras_size() ? In.eras(Kind) : 0, In.positions(Kind)};
  const auto Hashed = std::min<int>(In.content_hashes_size(), ObjectKindCount);
  std::copy_n(In.content_hashes().begin(), Hashed,
              Digest.ContentHashes.begin());
  for (const peer::AccountLevel &Entry : In.levels())
    Digest.AccountLevels.push_back({AccountId{Entry.account()}, Entry.level(),
                                    Entry.others_rate(), Entry.counted()});
  constexpr auto LastStage =
      static_cast<std::uint32_t>(VersionStage::RolledBack);
  for (const peer::VersionOrder &Entry : In.orders())
    Digest.Decisions.push_back(
        {PoolId{Entry.pool()}, VersionId{Entry.version()},
         static_cast<VersionStage>(std::min(Entry.stage(), LastStage)),
         Entry.share(), Duration(Entry.age_us())});
  for (const peer::SegmentHold &Entry : In.segment_holds())
    Digest.CrashHolds.push_back(
        {PoolId{Entry.pool()},
         {decodeKey(Entry.segment()), Entry.confirmations(), Entry.cleared(),
          Duration(Entry.remaining_us())}});
  for (const peer::TargetLimit &Entry : In.target_limits())
    decode(Entry, Digest.TargetLimits, Digest.TargetWarmups);
  Digest.KnowsColdTargets = In.knows_cold_targets();
  return Digest;
}

ConfigReceived decodeConfig(const peer::Config &In) {
  ConfigReceived Content;
  Content.Rev = Revision{In.revision()};
  Content.Document = In.document();
  Content.Digest = In.digest();
  for (const peer::ConfigDelta &Entry : In.deltas()) {
    ConfigDelta Delta{Revision{Entry.from()}, Revision{Entry.to()}, {}};
    for (const peer::Edit &EditEntry : Entry.edits())
      Delta.Edits.push_back(
          {EditEntry.offset(), EditEntry.removed(), EditEntry.inserted()});
    Content.Deltas.push_back(std::move(Delta));
  }
  return Content;
}

IntentDecision decodeDecision(std::uint32_t Number) {
  if (Number > static_cast<std::uint32_t>(IntentDecision::Unavailable))
    return IntentDecision::Unavailable;
  return static_cast<IntentDecision>(Number);
}

std::optional<PeerMessage> decodeMessage(const peer::Message &In,
                                         const PeerSender &Sender) {
  switch (In.body_case()) {
  case peer::Message::kHeartbeat:
    return decodeHeartbeat(In.heartbeat(), Sender);
  case peer::Message::kConfigAsk:
    return ConfigRequested{Sender.Id, Revision{In.config_ask().have()}};
  case peer::Message::kConfig:
    return decodeConfig(In.config());
  case peer::Message::kIntentRequest:
    return IntentRequested{decode(In.intent_request().request()),
                           decode(In.intent_request().key()),
                           In.intent_request().body_hash(),
                           Duration(In.intent_request().time_left_us())};
  case peer::Message::kIntentAnswer:
    return AnswerIntent{decode(In.intent_answer().request()),
                        decodeDecision(In.intent_answer().verdict()),
                        In.intent_answer().applied_status()};
  case peer::Message::kOutcome:
    return OutcomeReported{decode(In.outcome().request()),
                           decode(In.outcome().key()), In.outcome().released(),
                           In.outcome().http_status()};
  case peer::Message::kEvidence:
    return decodeEvidence(In.evidence());
  case peer::Message::kFleetBeat:
    return decodeFleetHeartbeat(In.fleet_beat());
  case peer::Message::kFleetDigest:
    return decodeDigest(In.fleet_digest());
  case peer::Message::kSlotQueued:
    return ReservationQueued{decode(In.slot_queued().key())};
  default:
    return decodeArbiterMessage(In, Sender);
  }
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

void omitSenderOrigin(peer::Envelope &Envelope) {
  for (peer::Message &Entry : *Envelope.mutable_messages()) {
    peer::RequestKey *Key = requestKey(Entry);
    const bool IsOwn = Key && Key->origin() == Envelope.sender() &&
                       Key->origin_life() == Envelope.sender_life();
    if (!IsOwn)
      continue;
    Key->clear_origin();
    Key->clear_origin_life();
  }
}

void restoreSenderOrigin(peer::Envelope &Envelope) {
  for (peer::Message &Entry : *Envelope.mutable_messages()) {
    peer::RequestKey *Key = requestKey(Entry);
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
  std::visit([Out](const auto &Known) { encodeMessage(Known, Out); }, Message);
}

bool EnvelopeWriter::empty() const {
  return Data->Envelope.messages_size() == 0;
}

std::string EnvelopeWriter::serialize(const PeerSender &Sender) {
  Data->Envelope.set_sender(number(Sender.Id));
  Data->Envelope.set_sender_life(number(Sender.Incarnation));
  Data->Envelope.set_sender_address(Sender.Address);
  omitSenderOrigin(Data->Envelope);
  std::string Bytes = Data->Envelope.SerializeAsString();
  Data->Envelope.Clear();
  return Bytes;
}

std::string serializeFeed(const ObjectFeed &Feed) {
  peer::ObjectFeed Out;
  Out.set_at(Feed.At.Revision);
  Out.set_era(Feed.At.Era);
  Out.set_whole(Feed.IsSnapshot);
  Out.set_settling_us(Feed.SettlingTime.count());
  for (const ObjectRecord &Record : Feed.Records) {
    peer::ObjectRecord *Entry = Out.add_records();
    Entry->set_name(Record.Name);
    Entry->set_revision(Record.At.Revision);
    Entry->set_era(Record.At.Era);
    Entry->set_removed(Record.Removed);
    Entry->set_provisional(Record.Provisional);
    Entry->set_text(Record.Text);
  }
  return Out.SerializeAsString();
}

Result<ObjectFeed> parseFeed(std::string_view Bytes) {
  peer::ObjectFeed In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return Error{ErrorKind::BadRequest, "a peer sent a malformed feed"};
  ObjectFeed Feed;
  Feed.At = {In.era(), In.at()};
  Feed.IsSnapshot = In.whole();
  Feed.SettlingTime = Duration(In.settling_us());
  for (const peer::ObjectRecord &Entry : In.records())
    Feed.Records.push_back({Entry.name(),
                            {Entry.era(), Entry.revision()},
                            Entry.removed(),
                            Entry.text(),
                            Entry.provisional()});
  return Feed;
}

Result<ReceivedEnvelope> parseEnvelope(std::string_view Bytes) {
  peer::Envelope In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return Error{ErrorKind::BadRequest, "a peer sent a malformed envelope"};
  restoreSenderOrigin(In);
  ReceivedEnvelope Out;
  Out.Sender = {HostId{In.sender()}, IncarnationId{In.sender_life()},
                In.sender_address()};
  for (const peer::Message &Entry : In.messages())
    if (auto Message = decodeMessage(Entry, Out.Sender))
      Out.Messages.push_back(std::move(*Message));
  return Out;
}

} // namespace marjorambay
