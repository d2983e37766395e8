/// Configuration synchronization: proposals, adoption, the platform watch, and
/// fetching from peers.
#include "marjorambay/coordination/config_sync.h"

#include "marjorambay/state/random.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace marjorambay {

namespace {

constexpr std::size_t MaxDeltaBytes = 64 << 10;
constexpr std::size_t MaxShownDifferences = 5;
constexpr std::size_t MaxShownLine = 80; ///< bytes

std::string partName(std::uint64_t Digest) {
  std::array<char, 40> Name{};
  std::snprintf(Name.data(), Name.size(), "config/parts/%016llx",
                static_cast<unsigned long long>(Digest));
  return Name.data();
}

std::map<std::uint64_t, std::string_view> partsOf(std::string_view Document) {
  std::map<std::uint64_t, std::string_view> Parts;
  for (std::string_view Part : splitDocument(Document))
    Parts.emplace(hash64(Part), Part);
  return Parts;
}

std::string_view popLine(std::string_view &Lines) {
  const std::size_t End = std::min(Lines.find('\n'), Lines.size());
  const std::string_view Line = Lines.substr(0, End);
  Lines.remove_prefix(std::min(End + 1, Lines.size()));
  return Line;
}

/// Returns the excerpt of \p Theirs around the first byte that differs from \p
/// Ours.
std::string excerpt(std::string_view Ours, std::string_view Theirs) {
  constexpr std::size_t Context = 30; ///< bytes shown before the difference
  const std::size_t Shorter = std::min(Ours.size(), Theirs.size());
  std::size_t Same = 0;
  while (Same < Shorter && Ours[Same] == Theirs[Same])
    ++Same;
  std::size_t Begin = Same > Context ? Same - Context : 0;
  Begin =
      std::min(std::max(Begin, Theirs.find_first_not_of(' ')), Theirs.size());
  return (Same > Context ? "..." : "") +
         std::string(Theirs.substr(Begin, MaxShownLine));
}

/// Describes the first lines of \p Theirs that differ from \p Ours, for an
/// operator.
std::string describeDifference(std::string_view Ours, std::string_view Theirs) {
  std::string Text;
  std::size_t Shown = 0;
  for (const DocumentEdit &Edit : diffDocuments(Ours, Theirs)) {
    std::string_view OurLines = Ours.substr(Edit.Offset, Edit.Removed);
    std::string_view TheirLines = Edit.Inserted;
    while (!OurLines.empty() || !TheirLines.empty()) {
      if (Shown++ == MaxShownDifferences)
        return Text + "; and more";
      const bool Removed = TheirLines.empty();
      const std::string_view OurLine = popLine(OurLines);
      Text += Text.empty() ? "" : "; ";
      Text += Removed ? "removed: " + excerpt("", OurLine)
                      : excerpt(OurLine, popLine(TheirLines));
    }
  }
  return Text;
}

} // namespace

ConfigSyncActions ConfigSync::step(const ConfigSyncEvent &Event,
                                   TimePoint Now) {
  Out.clear();
  if (!StartedAt)
    StartedAt = Now;
  std::visit([&](const auto &Typed) { on(Typed, Now); }, Event);
  return std::move(Out);
}

// ---- Calls to the platform --------------------------------------------------

PlatformCallId ConfigSync::newCall(CallKind Kind, std::uint64_t PartDigest) {
  const auto Id = static_cast<PlatformCallId>(++NextCall);
  Calls[Id] = {Kind, PartDigest};
  return Id;
}

std::optional<ConfigSync::Call> ConfigSync::popCall(PlatformCallId Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return std::nullopt;
  const Call Popped = Found->second;
  Calls.erase(Found);
  return Popped;
}

std::size_t ConfigSync::inFlight(CallKind Kind) const {
  return static_cast<std::size_t>(
      std::count_if(Calls.begin(), Calls.end(), [&](const auto &Entry) {
        return Entry.second.Kind == Kind;
      }));
}

void ConfigSync::readConfig(CallKind Kind) {
  Out.emplace_back(ReadObject{newCall(Kind), std::string(ConfigObjectName)});
}

void ConfigSync::on(const ObjectRead &Event, TimePoint Now) {
  const std::optional<Call> Finished = popCall(Event.Call);
  if (!Finished)
    return;
  if (Finished->Kind == CallKind::FetchPart)
    return handlePart(*Finished, Event, Now);
  handleObject(Event, Now);
  if (Finished->Kind != CallKind::ReadProposal)
    return;
  if (Proposal *Active = proposalIn(Phase::ReadingBase))
    return handleBaseRead(*Active, Event, Now);
  if (Proposal *Active = proposalIn(Phase::ReadingBack))
    return handleReadBack(*Active, Event, Now);
}

void ConfigSync::on(const ObjectWritten &Event, TimePoint Now) {
  const std::optional<Call> Finished = popCall(Event.Call);
  if (!Finished)
    return;
  if (Finished->Kind == CallKind::WritePart)
    return handlePartWritten(Event.Result, Now);
  if (Finished->Kind == CallKind::WriteManifest)
    return handleManifestWritten(Event, Now);
}

// ---- Adoption ---------------------------------------------------------------

/// The only function that changes the revision in force; the revision only
/// increases.
void ConfigSync::adopt(Revision Rev, std::string NewDocument, TimePoint Now) {
  if (Rev <= Current)
    return;
  recordDelta(Rev, NewDocument);
  Current = Rev;
  Highest = std::max(Highest, Rev);
  Document = std::move(NewDocument);
  RequestFullDocument = false;
  UnansweredPeerRequests = 0;
  NextPeerRequestAt = Now;
  if (Assembling && Assembling->Rev <= Current)
    Assembling.reset();
  Out.emplace_back(AdoptConfig{Current, Document});
  updateReadiness(Now);
  if (Proposal *Active = proposalIn(Phase::AwaitingWinner))
    if (Current >= Active->CommittedRevision)
      finishProposal(conflictError(*Active), Now);
}

void ConfigSync::recordDelta(Revision Rev, const std::string &NewDocument) {
  if (number(Current) == 0)
    return;
  ConfigDelta Delta{Current, Rev, diffDocuments(Document, NewDocument)};
  if (approximateSize(Delta.Edits) > MaxDeltaBytes)
    return Deltas.clear(); // peers get the full document
  Deltas.push_back(std::move(Delta));
  if (Deltas.size() > Settings.MaxDeltas)
    Deltas.pop_front();
}

void ConfigSync::updateReadiness(TimePoint Now) {
  if (Ready || number(Current) == 0)
    return;
  const Duration Running = Now - *StartedAt;
  const bool HasHighest = Current >= Highest;
  Ready = (HasHighest && Running >= Settings.StartupGracePeriod) ||
          Running >= Settings.MaxStartupWait;
}

void ConfigSync::on(const ConfigTicked & /*Event*/, TimePoint Now) {
  updateReadiness(Now);
  requestFromPeer(Now);
  ensureWatch(Now);
  fetchAtStartup(Now);
  if (Assembling)
    continueAssembly(Now);
  expireProposal(Now);
  advanceProposal(Now);
}

// ---- Peers ------------------------------------------------------------------

void ConfigSync::on(const NewerConfigSeen &Event, TimePoint Now) {
  Highest = std::max(Highest, Event.Rev);
  if (Event.Rev <= Current)
    return;
  if (Holder != Event.Holder && UnansweredPeerRequests > 1)
    NextPeerRequestAt = Now; // the previous holder did not respond
  Holder = Event.Holder;
  requestFromPeer(Now);
}

/// Requests the configuration from the last known holder of a newer revision,
/// with backoff while it does not respond.
void ConfigSync::requestFromPeer(TimePoint Now) {
  if (Highest <= Current || number(Holder) == 0 || Now < NextPeerRequestAt)
    return;
  const Duration Wait =
      Settings.PeerRetryInterval * (1U << std::min(UnansweredPeerRequests, 8U));
  NextPeerRequestAt = Now + std::min(Wait, Settings.MaxPeerRetryInterval);
  ++UnansweredPeerRequests;
  const Revision KnownRevision = RequestFullDocument ? Revision(0) : Current;
  Out.emplace_back(FetchConfigFromPeer{Holder, Highest, KnownRevision});
}

void ConfigSync::on(const ConfigRequested &Event, TimePoint /*Now*/) {
  if (Event.KnownRevision >= Current)
    return;
  ConfigReceived Content{Current, {}, {}, hash64(Document)};
  const auto First =
      std::find_if(Deltas.begin(), Deltas.end(), [&](const auto &Delta) {
        return Delta.From == Event.KnownRevision;
      });
  if (First == Deltas.end())
    Content.Document = Document;
  else
    Content.Deltas.assign(First, Deltas.end());
  Out.emplace_back(SendConfig{Event.From, std::move(Content)});
}

void ConfigSync::on(const ConfigReceived &Event, TimePoint Now) {
  UnansweredPeerRequests = 0;
  NextPeerRequestAt = Now;
  if (Event.Rev <= Current)
    return;
  if (!Event.Deltas.empty()) {
    RequestFullDocument = !applyDeltas(Event, Now);
    return;
  }
  if (Event.Digest != 0 && Event.Digest != hash64(Event.Document))
    return;
  adopt(Event.Rev, Event.Document, Now);
}

/// Returns false if the deltas do not lead from the document in force to the
/// peer's document.
bool ConfigSync::applyDeltas(const ConfigReceived &Event, TimePoint Now) {
  std::string Changed = Document;
  Revision Reached = Current;
  for (const ConfigDelta &Delta : Event.Deltas) {
    if (Delta.To <= Reached)
      continue;
    std::optional<std::string> Next = applyEdits(Changed, Delta.Edits);
    if (Delta.From != Reached || !Next)
      return false;
    Changed = std::move(*Next);
    Reached = Delta.To;
  }
  if (Reached != Event.Rev || hash64(Changed) != Event.Digest)
    return false;
  adopt(Event.Rev, std::move(Changed), Now);
  return true;
}

// ---- The platform -----------------------------------------------------------

void ConfigSync::handleObject(const ObjectRead &Read, TimePoint Now) {
  const auto Rev = static_cast<Revision>(Read.Version);
  if (!Read.Reachable || !Read.Found || Rev <= Current)
    return;
  Result<ConfigManifest> Parsed = Settings.Codec.Parse(Read.Bytes);
  if (!ok(Parsed))
    return; // keeps the revision in force; the daemon reports the invalid
            // document
  Highest = std::max(Highest, Rev);
  if (value(Parsed).Parts.empty())
    return adopt(Rev, std::move(value(Parsed).Document), Now);
  beginAssembly(Rev, std::move(value(Parsed)), Now);
}

void ConfigSync::beginAssembly(Revision Rev, ConfigManifest Manifest,
                               TimePoint Now) {
  if (Assembling && Assembling->Rev >= Rev)
    return;
  Assembly Next{Rev, std::move(Manifest)};
  const auto LocalParts = partsOf(Document);
  for (const ConfigPart &Part : Next.Manifest.Parts) {
    const auto Found = LocalParts.find(Part.Digest);
    if (Found != LocalParts.end())
      Next.Parts.emplace(Part.Digest, Found->second);
  }
  if (Assembling)
    Next.Parts.merge(Assembling->Parts);
  Assembling = std::move(Next);
  continueAssembly(Now);
}

/// Reads missing parts, at most MaxPartReads at a time; adopts the document
/// when none is missing.
void ConfigSync::continueAssembly(TimePoint Now) {
  if (Now < Assembling->RetryAt)
    return;
  bool Complete = true;
  std::set<std::uint64_t> Reading;
  for (const auto &[Id, PendingCall] : Calls)
    if (PendingCall.Kind == CallKind::FetchPart)
      Reading.insert(PendingCall.PartDigest);
  for (const ConfigPart &Part : Assembling->Manifest.Parts) {
    if (Assembling->Parts.contains(Part.Digest))
      continue;
    Complete = false;
    if (Reading.size() >= Settings.MaxPartReads)
      return;
    if (!Reading.insert(Part.Digest).second)
      continue;
    Out.emplace_back(ReadObject{newCall(CallKind::FetchPart, Part.Digest),
                                partName(Part.Digest)});
  }
  if (!Complete)
    return;
  std::string FullDocument;
  for (const ConfigPart &Part : Assembling->Manifest.Parts)
    FullDocument += Assembling->Parts[Part.Digest];
  adopt(Assembling->Rev, std::move(FullDocument), Now);
}

void ConfigSync::handlePart(const Call &Finished, const ObjectRead &Read,
                            TimePoint Now) {
  if (!Assembling)
    return;
  if (Read.Found && hash64(Read.Bytes) == Finished.PartDigest)
    Assembling->Parts[Finished.PartDigest] = Read.Bytes;
  else
    Assembling->RetryAt = Now + Settings.PlatformRetryInterval;
  continueAssembly(Now);
}

void ConfigSync::on(const WatcherRoleChanged &Event, TimePoint Now) {
  Watching = Event.Watching;
  ensureWatch(Now);
}

void ConfigSync::ensureWatch(TimePoint Now) {
  if (!Watching || inFlight(CallKind::Watch) > 0 || Now < NextWatchAt)
    return;
  const Revision AfterRevision = Assembling ? Assembling->Rev : Current;
  Out.emplace_back(WatchObject{newCall(CallKind::Watch),
                               std::string(ConfigObjectName),
                               number(AfterRevision)});
}

void ConfigSync::on(const WatchReturned &Event, TimePoint Now) {
  if (!popCall(Event.Read.Call))
    return;
  const bool IsNewer = Event.Read.Reachable && Event.Read.Found &&
                       static_cast<Revision>(Event.Read.Version) > Current;
  NextWatchAt = IsNewer ? Now : Now + Settings.PlatformRetryInterval;
  handleObject(Event.Read, Now);
  ensureWatch(Now);
}

/// Reads the platform if no peer has provided a configuration after startup.
void ConfigSync::fetchAtStartup(TimePoint Now) {
  const bool Waits = Now - *StartedAt < Settings.PlatformReadDelay;
  if (number(Current) != 0 || Waits || Now < NextFetchAt || Assembling)
    return;
  if (inFlight(CallKind::Fetch) > 0)
    return;
  NextFetchAt = Now + Settings.PlatformRetryInterval;
  readConfig(CallKind::Fetch);
}

// ---- Proposals --------------------------------------------------------------

ConfigSync::Proposal *ConfigSync::proposalIn(Phase ExpectedPhase) {
  const bool Found =
      !Proposals.empty() && Proposals.front().CurrentPhase == ExpectedPhase;
  return Found ? &Proposals.front() : nullptr;
}

void ConfigSync::on(const ConfigProposed &Event, TimePoint Now) {
  if (Proposals.size() >= Settings.MaxProposals) {
    const Error Busy{ErrorKind::Overloaded,
                     "too many configuration proposals are queued at this host",
                     seconds(1)};
    Out.emplace_back(AnswerProposal{Event.ProposalId, Busy});
    return;
  }
  Proposal Active{Event};
  Active.Id = mixBits(number(Settings.Self) ^
                      mixBits(number(Settings.Incarnation) + ++NextProposalId));
  Active.Deadline = Now + Settings.ProposalTimeout;
  Proposals.push_back(std::move(Active));
  if (Proposals.size() == 1)
    startProposals(Now);
}

/// Starts the first proposal whose base is still current; rejects those before
/// it.
void ConfigSync::startProposals(TimePoint Now) {
  while (!Proposals.empty() && Proposals.front().Request.Base < Current) {
    Proposal &Active = Proposals.front();
    Active.CommittedRevision = Current;
    Out.emplace_back(
        AnswerProposal{Active.Request.ProposalId, conflictError(Active)});
    Proposals.pop_front();
  }
  if (Proposals.empty())
    return;
  Proposals.front().Deadline = Now + Settings.ProposalTimeout;
  enterPhase(Proposals.front(), Phase::ReadingBase);
}

void ConfigSync::enterPhase(Proposal &Active, Phase NewPhase) {
  Active.CurrentPhase = NewPhase;
  Active.Waiting = false;
  if (NewPhase == Phase::ReadingBase || NewPhase == Phase::ReadingBack)
    return readConfig(CallKind::ReadProposal);
  if (NewPhase == Phase::WritingParts && !Active.PartsToWrite.empty()) {
    const std::string &Part = Active.PartsToWrite.back();
    Out.emplace_back(WriteObject{newCall(CallKind::WritePart),
                                 partName(hash64(Part)), 0, Part});
    return;
  }
  if (NewPhase == Phase::AwaitingWinner)
    return;
  Active.CurrentPhase = Phase::WritingManifest;
  ++Active.UnresolvedWrites;
  Out.emplace_back(WriteObject{
      newCall(CallKind::WriteManifest), std::string(ConfigObjectName),
      number(Active.Request.Base), Settings.Codec.Print(Active.Manifest)});
}

void ConfigSync::scheduleRetry(Proposal &Active, Phase NewPhase,
                               TimePoint Now) {
  Active.CurrentPhase = NewPhase;
  Active.Waiting = true;
  Active.RetryAt = Now + Settings.PlatformRetryInterval;
}

void ConfigSync::advanceProposal(TimePoint Now) {
  if (Proposals.empty())
    return;
  Proposal &Active = Proposals.front();
  if (Active.Waiting && Now >= Active.RetryAt)
    enterPhase(Active, Active.CurrentPhase);
}

void ConfigSync::handleBaseRead(Proposal &Active, const ObjectRead &Read,
                                TimePoint Now) {
  const auto CommittedRevision = static_cast<Revision>(Read.Version);
  const bool Stale = Read.Found && CommittedRevision < Active.Request.Base;
  const bool Missing = !Read.Found && number(Active.Request.Base) != 0;
  if (!Read.Reachable || Stale || Missing)
    return scheduleRetry(Active, Phase::ReadingBase, Now);
  if (CommittedRevision > Active.Request.Base)
    return handleConflict(Active, CommittedRevision, Now);
  ConfigManifest Base;
  if (Read.Found) {
    Result<ConfigManifest> Parsed = Settings.Codec.Parse(Read.Bytes);
    if (ok(Parsed))
      Base = std::move(value(Parsed));
  }
  composeManifest(Active, Base);
  enterPhase(Active, Phase::WritingParts);
}

void ConfigSync::composeManifest(Proposal &Active, const ConfigManifest &Base) {
  Active.Manifest = {};
  Active.Manifest.RecentProposals = Base.RecentProposals;
  Active.Manifest.RecentProposals.push_back({Active.Id, Active.Request.Base});
  if (Active.Manifest.RecentProposals.size() > Settings.MaxRecentProposals)
    Active.Manifest.RecentProposals.erase(
        Active.Manifest.RecentProposals.begin());
  if (Active.Request.Document.size() <= Settings.MaxInlineBytes) {
    Active.Manifest.Document = Active.Request.Document;
    return;
  }
  for (std::string_view Part : splitDocument(Active.Request.Document)) {
    const ConfigPart Entry{hash64(Part),
                           static_cast<std::uint32_t>(Part.size())};
    const bool AlreadyStored = std::find(Base.Parts.begin(), Base.Parts.end(),
                                         Entry) != Base.Parts.end();
    if (!AlreadyStored)
      Active.PartsToWrite.emplace_back(Part);
    Active.Manifest.Parts.push_back(Entry);
  }
}

void ConfigSync::handlePartWritten(WriteResult Outcome, TimePoint Now) {
  Proposal *Active = proposalIn(Phase::WritingParts);
  if (!Active)
    return;
  // A conflict means that the part exists already: its name is the hash of its
  // bytes.
  if (Outcome == WriteResult::Unknown)
    return scheduleRetry(*Active, Phase::WritingParts, Now);
  Active->PartsToWrite.pop_back();
  enterPhase(*Active, Phase::WritingParts);
}

void ConfigSync::handleManifestWritten(const ObjectWritten &Event,
                                       TimePoint Now) {
  Proposal *Active = proposalIn(Phase::WritingManifest);
  if (!Active)
    return;
  if (Event.Result == WriteResult::Unknown)
    return enterPhase(*Active, Phase::ReadingBack);
  --Active->UnresolvedWrites;
  if (Event.Result == WriteResult::Committed)
    return accept(static_cast<Revision>(Event.Version), Now);
  enterPhase(*Active, Phase::ReadingBack);
}

/// Resolves a proposal after a conflict or a lost response. While the base is
/// still the committed revision, an earlier write may yet arrive; repeating the
/// write is safe, since at most one update of a base takes effect.
void ConfigSync::handleReadBack(Proposal &Active, const ObjectRead &Read,
                                TimePoint Now) {
  const auto CommittedRevision = static_cast<Revision>(Read.Version);
  if (!Read.Reachable)
    return scheduleRetry(Active, Phase::ReadingBack, Now);
  if (!Read.Found || CommittedRevision <= Active.Request.Base)
    return scheduleRetry(Active, Phase::WritingManifest, Now);
  Result<ConfigManifest> Parsed = Settings.Codec.Parse(Read.Bytes);
  resolve(Active, Read, ok(Parsed) ? value(Parsed) : ConfigManifest{}, Now);
}

/// Only one update of each base takes effect, and it records its proposal id in
/// the manifest: the record with this proposal's base names the winner.
void ConfigSync::resolve(Proposal &Active, const ObjectRead &Read,
                         const ConfigManifest &Manifest, TimePoint Now) {
  const auto &Recent = Manifest.RecentProposals;
  const auto Winner =
      std::find_if(Recent.begin(), Recent.end(), [&](const auto &Record) {
        return Record.Base == Active.Request.Base;
      });
  const auto CommittedRevision = static_cast<Revision>(Read.Version);
  if (Winner != Recent.end() && Winner->Id == Active.Id) {
    const auto Next = std::next(Winner);
    return accept(Next == Recent.end() ? CommittedRevision : Next->Base, Now);
  }
  if (Winner == Recent.end() && Active.UnresolvedWrites > 0)
    return finishProposal(
        Error{ErrorKind::OutcomeUnknown,
              "the platform's response was lost and many changes followed; "
              "compare the configuration in force with yours"},
        Now);
  handleConflict(Active, CommittedRevision, Now);
}

void ConfigSync::accept(Revision Rev, TimePoint Now) {
  adopt(Rev, std::move(Proposals.front().Request.Document), Now);
  finishProposal(Rev, Now);
}

void ConfigSync::handleConflict(Proposal &Active, Revision CommittedRevision,
                                TimePoint Now) {
  Active.CommittedRevision = CommittedRevision;
  if (Current >= CommittedRevision)
    return finishProposal(conflictError(Active), Now);
  enterPhase(Active, Phase::AwaitingWinner);
  Active.Deadline = std::min(Active.Deadline, Now + Duration(seconds(2)));
}

void ConfigSync::expireProposal(TimePoint Now) {
  if (Proposals.empty() || Now < Proposals.front().Deadline)
    return;
  const Proposal &Active = Proposals.front();
  if (Active.CurrentPhase == Phase::AwaitingWinner)
    return finishProposal(conflictError(Active), Now);
  if (Active.UnresolvedWrites > 0)
    return finishProposal(
        Error{
            ErrorKind::OutcomeUnknown,
            "the platform does not respond; the change may have been accepted, "
            "or may be accepted later: compare when the platform is back"},
        Now);
  finishProposal(Error{ErrorKind::PlatformUnavailable,
                       "the platform does not respond; nothing was changed",
                       seconds(5)},
                 Now);
}

void ConfigSync::finishProposal(Result<Revision> Outcome, TimePoint Now) {
  const std::uint64_t Id = Proposals.front().Request.ProposalId;
  Out.emplace_back(AnswerProposal{Id, std::move(Outcome)});
  Proposals.pop_front();
  // Late responses to calls of the finished proposal must not be attributed to
  // the next one.
  std::erase_if(Calls, [](const auto &Entry) {
    const CallKind Kind = Entry.second.Kind;
    return Kind == CallKind::WritePart || Kind == CallKind::WriteManifest ||
           Kind == CallKind::ReadProposal;
  });
  startProposals(Now);
}

Error ConfigSync::conflictError(const Proposal &Active) const {
  std::string Message =
      "revision " + std::to_string(number(Active.CommittedRevision)) +
      " is committed, but yours is based on " +
      std::to_string(number(Active.Request.Base)) + ": read it and try again";
  if (Current >= Active.CommittedRevision) {
    const std::string Lines =
        describeDifference(Active.Request.Document, Document);
    Message += Lines.empty() ? "; its content is identical to yours"
                             : "; it differs from yours in: " + Lines;
  }
  return Error{ErrorKind::Conflict, Message};
}

} // namespace marjorambay
