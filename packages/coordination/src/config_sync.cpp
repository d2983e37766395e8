/// Proposals, adoption, the platform watch, and fetching from peers.
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

std::string_view takeLine(std::string_view &Lines) {
  const std::size_t End = std::min(Lines.find('\n'), Lines.size());
  const std::string_view Line = Lines.substr(0, End);
  Lines.remove_prefix(std::min(End + 1, Lines.size()));
  return Line;
}

/// Returns the piece of \p Theirs around the first byte that \p Ours lacks.
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

/// Returns the first lines of \p Theirs that differ from \p Ours, for a person.
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
      const std::string_view OurLine = takeLine(OurLines);
      Text += Text.empty() ? "" : "; ";
      Text += Removed ? "without " + excerpt("", OurLine)
                      : excerpt(OurLine, takeLine(TheirLines));
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
  std::visit([&](const auto &Kind) { on(Kind, Now); }, Event);
  return std::move(Out);
}

// ---- Calls to the platform --------------------------------------------------

PlatformCallId ConfigSync::newCall(CallKind Kind, std::uint64_t PartDigest) {
  const auto Id = static_cast<PlatformCallId>(++NextCall);
  Calls[Id] = {Kind, PartDigest};
  return Id;
}

std::optional<ConfigSync::Call> ConfigSync::takeCall(PlatformCallId Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return std::nullopt;
  const Call Taken = Found->second;
  Calls.erase(Found);
  return Taken;
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
  const std::optional<Call> Answered = takeCall(Event.Call);
  if (!Answered)
    return;
  if (Answered->Kind == CallKind::FetchPart)
    return learnPart(*Answered, Event, Now);
  learnObject(Event, Now);
  if (Answered->Kind != CallKind::ReadProposal)
    return;
  if (Proposal *Work = proposalIn(Phase::ReadingBase))
    return baseRead(*Work, Event, Now);
  if (Proposal *Work = proposalIn(Phase::ReadingBack))
    return standingRead(*Work, Event, Now);
}

void ConfigSync::on(const ObjectWritten &Event, TimePoint Now) {
  const std::optional<Call> Answered = takeCall(Event.Call);
  if (!Answered)
    return;
  if (Answered->Kind == CallKind::WritePart)
    return partWritten(Event.Result, Now);
  if (Answered->Kind == CallKind::WriteManifest)
    return manifestWritten(Event, Now);
}

// ---- Adoption ---------------------------------------------------------------

/// The only place that changes the revision in force: it only ever rises.
void ConfigSync::adopt(Revision Rev, std::string NewDocument, TimePoint Now) {
  if (Rev <= Current)
    return;
  rememberDelta(Rev, NewDocument);
  Current = Rev;
  Highest = std::max(Highest, Rev);
  Document = std::move(NewDocument);
  AskWhole = false;
  PeerAsks = 0;
  AskPeerAt = Now;
  if (Assembling && Assembling->Rev <= Current)
    Assembling.reset();
  Out.emplace_back(AdoptConfig{Current, Document});
  considerReady(Now);
  if (Proposal *Work = proposalIn(Phase::Lost))
    if (Current >= Work->Standing)
      finishProposal(lostRace(*Work), Now);
}

void ConfigSync::rememberDelta(Revision Rev, const std::string &NewDocument) {
  if (number(Current) == 0)
    return;
  ConfigDelta Delta{Current, Rev, diffDocuments(Document, NewDocument)};
  if (sizeOf(Delta.Edits) > MaxDeltaBytes)
    return Deltas.clear(); // peers get the whole document
  Deltas.push_back(std::move(Delta));
  if (Deltas.size() > Settings.MaxDeltas)
    Deltas.pop_front();
}

void ConfigSync::considerReady(TimePoint Now) {
  if (Ready || number(Current) == 0)
    return;
  const Duration Running = Now - *StartedAt;
  const bool HasHighest = Current >= Highest;
  Ready = (HasHighest && Running >= Settings.StartGrace) ||
          Running >= Settings.MaxStartWait;
}

void ConfigSync::on(const ConfigTicked & /*Event*/, TimePoint Now) {
  considerReady(Now);
  askPeer(Now);
  keepWatching(Now);
  fetchAtStart(Now);
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
  if (Holder != Event.Holder && PeerAsks > 1)
    AskPeerAt = Now; // the other one did not answer
  Holder = Event.Holder;
  askPeer(Now);
}

/// Asks the last known holder of a newer revision; again while it is silent.
void ConfigSync::askPeer(TimePoint Now) {
  if (Highest <= Current || number(Holder) == 0 || Now < AskPeerAt)
    return;
  const Duration Wait = Settings.PeerRetry * (1U << std::min(PeerAsks, 8U));
  AskPeerAt = Now + std::min(Wait, Settings.MaxPeerRetry);
  ++PeerAsks;
  const Revision Have = AskWhole ? Revision(0) : Current;
  Out.emplace_back(FetchConfigFromPeer{Holder, Highest, Have});
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
  PeerAsks = 0;
  AskPeerAt = Now;
  if (Event.Rev <= Current)
    return;
  if (!Event.Deltas.empty()) {
    AskWhole = !applyDeltas(Event, Now);
    return;
  }
  if (Event.Digest != 0 && Event.Digest != hash64(Event.Document))
    return;
  adopt(Event.Rev, Event.Document, Now);
}

/// Returns false when the deltas don't lead from here to the peer's document.
bool ConfigSync::applyDeltas(const ConfigReceived &Event, TimePoint Now) {
  std::string Changed = Document;
  Revision At = Current;
  for (const ConfigDelta &Delta : Event.Deltas) {
    if (Delta.To <= At)
      continue;
    std::optional<std::string> Next = applyEdits(Changed, Delta.Edits);
    if (Delta.From != At || !Next)
      return false;
    Changed = std::move(*Next);
    At = Delta.To;
  }
  if (At != Event.Rev || hash64(Changed) != Event.Digest)
    return false;
  adopt(Event.Rev, std::move(Changed), Now);
  return true;
}

// ---- The platform -----------------------------------------------------------

void ConfigSync::learnObject(const ObjectRead &Read, TimePoint Now) {
  const auto Rev = static_cast<Revision>(Read.Version);
  if (!Read.Reachable || !Read.Found || Rev <= Current)
    return;
  Result<ConfigManifest> Parsed = Settings.Codec.Parse(Read.Bytes);
  if (!ok(Parsed))
    return; // stays with what is in force; the daemon reports the document
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
  const auto Held = partsOf(Document);
  for (const ConfigPart &Part : Next.Manifest.Parts) {
    const auto Found = Held.find(Part.Digest);
    if (Found != Held.end())
      Next.Parts.emplace(Part.Digest, Found->second);
  }
  if (Assembling)
    Next.Parts.merge(Assembling->Parts);
  Assembling = std::move(Next);
  continueAssembly(Now);
}

/// Reads parts that are missing, a few at a time; adopts when none is.
void ConfigSync::continueAssembly(TimePoint Now) {
  if (Now < Assembling->RetryAt)
    return;
  bool Complete = true;
  std::set<std::uint64_t> Reading;
  for (const auto &[Id, Flying] : Calls)
    if (Flying.Kind == CallKind::FetchPart)
      Reading.insert(Flying.PartDigest);
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
  std::string Whole;
  for (const ConfigPart &Part : Assembling->Manifest.Parts)
    Whole += Assembling->Parts[Part.Digest];
  adopt(Assembling->Rev, std::move(Whole), Now);
}

void ConfigSync::learnPart(const Call &Which, const ObjectRead &Read,
                           TimePoint Now) {
  if (!Assembling)
    return;
  if (Read.Found && hash64(Read.Bytes) == Which.PartDigest)
    Assembling->Parts[Which.PartDigest] = Read.Bytes;
  else
    Assembling->RetryAt = Now + Settings.PlatformRetry;
  continueAssembly(Now);
}

void ConfigSync::on(const WatcherRoleChanged &Event, TimePoint Now) {
  Watching = Event.Watching;
  keepWatching(Now);
}

void ConfigSync::keepWatching(TimePoint Now) {
  if (!Watching || inFlight(CallKind::Watch) > 0 || Now < WatchAt)
    return;
  const Revision Above = Assembling ? Assembling->Rev : Current;
  Out.emplace_back(WatchObject{newCall(CallKind::Watch),
                               std::string(ConfigObjectName), number(Above)});
}

void ConfigSync::on(const WatchReturned &Event, TimePoint Now) {
  if (!takeCall(Event.Read.Call))
    return;
  const bool IsNews = Event.Read.Reachable && Event.Read.Found &&
                      static_cast<Revision>(Event.Read.Version) > Current;
  WatchAt = IsNews ? Now : Now + Settings.PlatformRetry;
  learnObject(Event.Read, Now);
  keepWatching(Now);
}

/// A host that no peer has told of a configuration reads the platform itself.
void ConfigSync::fetchAtStart(TimePoint Now) {
  const bool Waits = Now - *StartedAt < Settings.PlatformAtStart;
  if (number(Current) != 0 || Waits || Now < FetchAt || Assembling)
    return;
  if (inFlight(CallKind::Fetch) > 0)
    return;
  FetchAt = Now + Settings.PlatformRetry;
  readConfig(CallKind::Fetch);
}

// ---- Proposals --------------------------------------------------------------

ConfigSync::Proposal *ConfigSync::proposalIn(Phase At) {
  const bool Found = !Proposals.empty() && Proposals.front().At == At;
  return Found ? &Proposals.front() : nullptr;
}

void ConfigSync::on(const ConfigProposed &Event, TimePoint Now) {
  if (Proposals.size() >= Settings.MaxProposals) {
    const Error Busy{ErrorKind::Overloaded,
                     "too many configuration changes wait at this host",
                     seconds(1)};
    Out.emplace_back(AnswerProposal{Event.ProposalId, Busy});
    return;
  }
  Proposal Work{Event};
  Work.Id = mixBits(number(Settings.Self) ^
                    mixBits(number(Settings.Incarnation) + ++NextProposalId));
  Work.Deadline = Now + Settings.ProposalTimeout;
  Proposals.push_back(std::move(Work));
  if (Proposals.size() == 1)
    startProposals(Now);
}

/// Starts the first proposal that may still win; refuses those that can't.
void ConfigSync::startProposals(TimePoint Now) {
  while (!Proposals.empty() && Proposals.front().Wanted.Base < Current) {
    Proposal &Work = Proposals.front();
    Work.Standing = Current;
    Out.emplace_back(AnswerProposal{Work.Wanted.ProposalId, lostRace(Work)});
    Proposals.pop_front();
  }
  if (Proposals.empty())
    return;
  Proposals.front().Deadline = Now + Settings.ProposalTimeout;
  enter(Proposals.front(), Phase::ReadingBase);
}

/// Enters a phase and makes its call.
void ConfigSync::enter(Proposal &Work, Phase At) {
  Work.At = At;
  Work.Waiting = false;
  if (At == Phase::ReadingBase || At == Phase::ReadingBack)
    return readConfig(CallKind::ReadProposal);
  if (At == Phase::WritingParts && !Work.PartsToWrite.empty()) {
    const std::string &Part = Work.PartsToWrite.back();
    Out.emplace_back(WriteObject{newCall(CallKind::WritePart),
                                 partName(hash64(Part)), 0, Part});
    return;
  }
  if (At == Phase::Lost)
    return;
  Work.At = Phase::WritingManifest;
  ++Work.Unsettled;
  Out.emplace_back(WriteObject{
      newCall(CallKind::WriteManifest), std::string(ConfigObjectName),
      number(Work.Wanted.Base), Settings.Codec.Print(Work.Manifest)});
}

void ConfigSync::retryLater(Proposal &Work, Phase At, TimePoint Now) {
  Work.At = At;
  Work.Waiting = true;
  Work.RetryAt = Now + Settings.PlatformRetry;
}

void ConfigSync::advanceProposal(TimePoint Now) {
  if (Proposals.empty())
    return;
  Proposal &Work = Proposals.front();
  if (Work.Waiting && Now >= Work.RetryAt)
    enter(Work, Work.At);
}

void ConfigSync::baseRead(Proposal &Work, const ObjectRead &Read,
                          TimePoint Now) {
  const auto Standing = static_cast<Revision>(Read.Version);
  const bool Stale = Read.Found && Standing < Work.Wanted.Base;
  const bool Missing = !Read.Found && number(Work.Wanted.Base) != 0;
  if (!Read.Reachable || Stale || Missing)
    return retryLater(Work, Phase::ReadingBase, Now);
  if (Standing > Work.Wanted.Base)
    return lose(Work, Standing, Now);
  ConfigManifest Base;
  if (Read.Found) {
    Result<ConfigManifest> Parsed = Settings.Codec.Parse(Read.Bytes);
    if (ok(Parsed))
      Base = std::move(value(Parsed));
  }
  composeManifest(Work, Base);
  enter(Work, Phase::WritingParts);
}

void ConfigSync::composeManifest(Proposal &Work, const ConfigManifest &Base) {
  Work.Manifest = {};
  Work.Manifest.RecentProposals = Base.RecentProposals;
  Work.Manifest.RecentProposals.push_back({Work.Id, Work.Wanted.Base});
  if (Work.Manifest.RecentProposals.size() > Settings.MaxRecent)
    Work.Manifest.RecentProposals.erase(Work.Manifest.RecentProposals.begin());
  if (Work.Wanted.Document.size() <= Settings.MaxInlineBytes) {
    Work.Manifest.Document = Work.Wanted.Document;
    return;
  }
  for (std::string_view Part : splitDocument(Work.Wanted.Document)) {
    const ConfigPart Entry{hash64(Part),
                           static_cast<std::uint32_t>(Part.size())};
    const bool Held = std::find(Base.Parts.begin(), Base.Parts.end(), Entry) !=
                      Base.Parts.end();
    if (!Held)
      Work.PartsToWrite.emplace_back(Part);
    Work.Manifest.Parts.push_back(Entry);
  }
}

void ConfigSync::partWritten(WriteResult Verdict, TimePoint Now) {
  Proposal *Work = proposalIn(Phase::WritingParts);
  if (!Work)
    return;
  // A conflict says that the part exists, with the bytes that its name tells.
  if (Verdict == WriteResult::Unknown)
    return retryLater(*Work, Phase::WritingParts, Now);
  Work->PartsToWrite.pop_back();
  enter(*Work, Phase::WritingParts);
}

void ConfigSync::manifestWritten(const ObjectWritten &Event, TimePoint Now) {
  Proposal *Work = proposalIn(Phase::WritingManifest);
  if (!Work)
    return;
  if (Event.Result == WriteResult::Unknown)
    return enter(*Work, Phase::ReadingBack);
  --Work->Unsettled;
  if (Event.Result == WriteResult::Committed)
    return accept(static_cast<Revision>(Event.Version), Now);
  enter(*Work, Phase::ReadingBack);
}

/// Settles a proposal after a conflict or a lost answer. While the base still
/// stands, an earlier write may yet arrive: writing the same again is safe,
/// since at most one update of one base takes effect.
void ConfigSync::standingRead(Proposal &Work, const ObjectRead &Read,
                              TimePoint Now) {
  const auto Standing = static_cast<Revision>(Read.Version);
  if (!Read.Reachable)
    return retryLater(Work, Phase::ReadingBack, Now);
  if (!Read.Found || Standing <= Work.Wanted.Base)
    return retryLater(Work, Phase::WritingManifest, Now);
  Result<ConfigManifest> Parsed = Settings.Codec.Parse(Read.Bytes);
  settle(Work, Read, ok(Parsed) ? value(Parsed) : ConfigManifest{}, Now);
}

/// One update of each base takes effect, and records its id: the record of our
/// base says who won it.
void ConfigSync::settle(Proposal &Work, const ObjectRead &Read,
                        const ConfigManifest &Manifest, TimePoint Now) {
  const auto &Recent = Manifest.RecentProposals;
  const auto Winner =
      std::find_if(Recent.begin(), Recent.end(), [&](const auto &Record) {
        return Record.Base == Work.Wanted.Base;
      });
  const auto Standing = static_cast<Revision>(Read.Version);
  if (Winner != Recent.end() && Winner->Id == Work.Id) {
    const auto Next = std::next(Winner);
    return accept(Next == Recent.end() ? Standing : Next->Base, Now);
  }
  if (Winner == Recent.end() && Work.Unsettled > 0)
    return finishProposal(
        Error{ErrorKind::OutcomeUnknown,
              "the platform lost the answer and many changes followed; compare "
              "the configuration in force with yours"},
        Now);
  lose(Work, Standing, Now);
}

void ConfigSync::accept(Revision Rev, TimePoint Now) {
  adopt(Rev, std::move(Proposals.front().Wanted.Document), Now);
  finishProposal(Rev, Now);
}

void ConfigSync::lose(Proposal &Work, Revision Standing, TimePoint Now) {
  Work.Standing = Standing;
  if (Current >= Standing)
    return finishProposal(lostRace(Work), Now);
  enter(Work, Phase::Lost);
  Work.Deadline = std::min(Work.Deadline, Now + Duration(seconds(2)));
}

void ConfigSync::expireProposal(TimePoint Now) {
  if (Proposals.empty() || Now < Proposals.front().Deadline)
    return;
  const Proposal &Work = Proposals.front();
  if (Work.At == Phase::Lost)
    return finishProposal(lostRace(Work), Now);
  if (Work.Unsettled > 0)
    return finishProposal(
        Error{ErrorKind::OutcomeUnknown,
              "the platform does not answer; the change may have been accepted "
              "or may yet be: compare once it is back"},
        Now);
  finishProposal(Error{ErrorKind::PlatformUnavailable,
                       "the platform does not answer; nothing was changed",
                       seconds(5)},
                 Now);
}

void ConfigSync::finishProposal(Result<Revision> Outcome, TimePoint Now) {
  const std::uint64_t Id = Proposals.front().Wanted.ProposalId;
  Out.emplace_back(AnswerProposal{Id, std::move(Outcome)});
  Proposals.pop_front();
  // Answers still to come belong to no proposal, and least to the next one.
  std::erase_if(Calls, [](const auto &Entry) {
    const CallKind Kind = Entry.second.Kind;
    return Kind == CallKind::WritePart || Kind == CallKind::WriteManifest ||
           Kind == CallKind::ReadProposal;
  });
  startProposals(Now);
}

Error ConfigSync::lostRace(const Proposal &Work) const {
  std::string Message = "revision " + std::to_string(number(Work.Standing)) +
                        " stands and yours was made on " +
                        std::to_string(number(Work.Wanted.Base)) +
                        ": read it and try again";
  if (Current >= Work.Standing) {
    const std::string Lines =
        describeDifference(Work.Wanted.Document, Document);
    Message += Lines.empty() ? "; it says the same as yours"
                             : "; it differs from yours in: " + Lines;
  }
  return Error{ErrorKind::Conflict, Message};
}

} // namespace marjorambay
