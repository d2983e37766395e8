/// Events, actions and state of configuration: one accepted revision, in force
/// on every host within seconds, never a lower one after a higher.
///
/// The revision of a configuration is the version of the platform object
/// config/fleet. Whatever revision a document states itself is not read: the
/// daemon prints proposals with revision 0, and sets the revision that
/// AdoptConfig names, so that two revisions differ only in what operators
/// changed.
#ifndef MARJORAMBAY_COORDINATION_CONFIG_SYNC_H
#define MARJORAMBAY_COORDINATION_CONFIG_SYNC_H

#include "marjorambay/coordination/document_delta.h"
#include "marjorambay/coordination/intent_log.h"
#include "marjorambay/state/config_manifest.h"
#include "marjorambay/state/error.h"
#include "marjorambay/state/ids.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marjorambay {

// ---- Events -----------------------------------------------------------------

/// An operator proposes a whole configuration on top of a revision it has read.
struct ConfigProposed {
  std::uint64_t ProposalId = 0; ///< tells the operator's calls apart
  Revision Base{};
  std::string Document{}; ///< JSON; valid, but for its revision
};
/// How to get from one revision to the next.
struct ConfigDelta {
  Revision From{};
  Revision To{};
  std::vector<DocumentEdit> Edits{};
};
/// A peer sent its configuration: the whole document, or deltas to apply in
/// order to the one that this host said it has.
struct ConfigReceived {
  Revision Rev{};
  std::string Document{};            ///< whole, when there are no deltas
  std::vector<ConfigDelta> Deltas{}; ///< oldest first
  std::uint64_t Digest = 0; ///< hash64() of the document at Rev; 0: not told
};
/// A peer asks for this host's configuration.
struct ConfigRequested {
  HostId From{};
  Revision KnownRevision{}; ///< what the peer has; 0: nothing
};
/// A peer or its heartbeat holds a newer revision.
struct NewerConfigSeen {
  HostId Holder{};
  Revision Rev{};
};
/// This host became, or ceased to be, the zone's watcher.
struct WatcherRoleChanged {
  bool Watching = false;
};
/// The watched object changed, or the waiting watch ended without a change
/// (Reachable, and not Found).
struct WatchReturned {
  ObjectRead Read{};
};
struct ConfigTicked {};

using ConfigSyncEvent =
    std::variant<ConfigProposed, ConfigReceived, ConfigRequested,
                 NewerConfigSeen, WatcherRoleChanged, WatchReturned, ObjectRead,
                 ObjectWritten, ConfigTicked>;

// ---- Actions ----------------------------------------------------------------

/// Puts a configuration in force on this host.
struct AdoptConfig {
  Revision Rev{};
  std::string Document{};
};
struct FetchConfigFromPeer {
  HostId Holder{};
  Revision AtLeast{};
  Revision KnownRevision{}; ///< told to the holder, which then sends deltas
};
/// Answers a peer's ConfigAsked; arrives there as ConfigReceived.
struct SendConfig {
  HostId To{};
  ConfigReceived Content{};
};
/// Waits at the platform for a version above Above.
struct WatchObject {
  PlatformCallId Call{};
  std::string Name{};
  ObjectVersion AfterVersion = 0;
};
/// Answers an operator: accepted under a revision, or why not.
struct AnswerProposal {
  std::uint64_t ProposalId = 0;
  Result<Revision> Outcome{Error{}};
};

using ConfigSyncAction =
    std::variant<AdoptConfig, FetchConfigFromPeer, SendConfig, WatchObject,
                 ReadObject, WriteObject, AnswerProposal>;
using ConfigSyncActions = std::vector<ConfigSyncAction>;

// ---- State ------------------------------------------------------------------

inline constexpr std::string_view ConfigObjectName = "config/fleet";

/// To and from the bytes of the platform object; bound by the daemon.
struct ConfigManifestCodec {
  Result<ConfigManifest> (*Parse)(std::string_view Bytes) = nullptr;
  std::string (*Print)(const ConfigManifest &Manifest) = nullptr;
};

struct ConfigSyncSettings {
  HostId Self{};
  IncarnationId Incarnation{};
  ConfigManifestCodec Codec{};
  std::size_t MaxInlineBytes = 16 << 10; ///< larger documents are split
  std::size_t MaxDeltas = 64;            ///< kept for peers that are behind
  std::size_t MaxProposals = 8;          ///< waiting at this host
  std::size_t MaxRecent = 32;            ///< records in the manifest
  Duration ProposalTimeout = seconds(30);
  Duration PlatformRetry = milliseconds(500);
  Duration PeerRetry = milliseconds(250); ///< silence of a peer; then doubled
  Duration MaxPeerRetry = seconds(4);
  Duration StartGrace = seconds(1);    ///< to hear of revisions before serving
  Duration MaxStartWait = seconds(10); ///< for a revision that can't be had
  Duration PlatformAtStart = seconds(3); ///< peers are asked before it
  std::uint32_t MaxPartReads = 8;        ///< in flight at once
};

/// Configuration as one host has it. Feed a ConfigTicked every 100 ms.
class ConfigSync {
public:
  explicit ConfigSync(ConfigSyncSettings Wanted) : Settings(Wanted) {}

  ConfigSyncActions step(const ConfigSyncEvent &Event, TimePoint Now);

  /// Returns the revision in force here; 0: none yet.
  Revision revision() const { return Current; }
  /// Returns the highest revision that any source has named.
  Revision highestSeen() const { return Highest; }
  const std::string &document() const { return Document; }
  /// Returns whether this host may serve. A fresh host may not before it has
  /// the highest revision that it hears of; once true, it stays true.
  bool ready() const { return Ready; }
  bool watching() const { return Watching; }

private:
  enum class CallKind : std::uint8_t {
    Fetch,         ///< reads config/fleet, to learn it
    FetchPart,     ///< reads a part of the manifest being assembled
    Watch,         ///< waits for a change of config/fleet
    WritePart,     ///< of the proposal in progress
    WriteManifest, ///< of the proposal in progress
    ReadProposal,  ///< config/fleet, before or after writing a proposal
  };
  struct Call {
    CallKind Kind = CallKind::Fetch;
    std::uint64_t PartDigest = 0;
  };
  /// A manifest whose parts are being read.
  struct Assembly {
    Revision Rev{};
    ConfigManifest Manifest{};
    std::map<std::uint64_t, std::string> Parts{}; ///< by digest
    TimePoint RetryAt{};
  };
  enum class Phase : std::uint8_t {
    ReadingBase,     ///< the manifest on which the proposal is made
    WritingParts,    ///< that the base does not have
    WritingManifest, ///< the update that decides
    ReadingBack,     ///< what stands, after a conflict or a lost answer
    Lost,            ///< waits for what stands, to tell what differs
  };
  struct Proposal {
    ConfigProposed Wanted{};
    std::uint64_t Id = 0;
    TimePoint Deadline{};
    Phase At = Phase::ReadingBase;
    ConfigManifest Manifest{};
    std::vector<std::string> PartsToWrite{};
    TimePoint RetryAt{};
    bool Waiting = false;        ///< for RetryAt; otherwise for a call's answer
    std::uint32_t Unsettled = 0; ///< manifest writes that may have taken effect
    Revision Standing{};         ///< in phase Lost
  };

  ConfigSyncSettings Settings;
  Revision Current{};
  Revision Highest{};
  std::string Document{};
  std::deque<ConfigDelta> Deltas{}; ///< oldest first, without a gap
  bool Ready = false;
  bool Watching = false;
  bool AskWhole = false; ///< the last deltas did not fit
  std::optional<TimePoint> StartedAt{};
  HostId Holder{}; ///< the last peer that showed a newer revision
  TimePoint AskPeerAt{};
  std::uint32_t PeerAsks = 0; ///< in a row without an answer
  TimePoint WatchAt{};        ///< when to watch next
  TimePoint FetchAt{};        ///< when to read the platform next
  std::optional<Assembly> Assembling{};
  std::deque<Proposal> Proposals{}; ///< the first is in progress
  std::map<PlatformCallId, Call> Calls{};
  std::uint64_t NextCall = 0;
  std::uint64_t NextProposalId = 0;
  ConfigSyncActions Out{};

  void on(const ConfigProposed &Event, TimePoint Now);
  void on(const ConfigReceived &Event, TimePoint Now);
  void on(const ConfigRequested &Event, TimePoint Now);
  void on(const NewerConfigSeen &Event, TimePoint Now);
  void on(const WatcherRoleChanged &Event, TimePoint Now);
  void on(const WatchReturned &Event, TimePoint Now);
  void on(const ObjectRead &Event, TimePoint Now);
  void on(const ObjectWritten &Event, TimePoint Now);
  void on(const ConfigTicked &Event, TimePoint Now);

  PlatformCallId newCall(CallKind Kind, std::uint64_t PartDigest = 0);
  std::optional<Call> takeCall(PlatformCallId Id);
  std::size_t inFlight(CallKind Kind) const;
  void readConfig(CallKind Kind);

  void adopt(Revision Rev, std::string NewDocument, TimePoint Now);
  void rememberDelta(Revision Rev, const std::string &NewDocument);
  bool applyDeltas(const ConfigReceived &Event, TimePoint Now);
  void considerReady(TimePoint Now);
  void askPeer(TimePoint Now);

  void learnObject(const ObjectRead &Read, TimePoint Now);
  void beginAssembly(Revision Rev, ConfigManifest Manifest, TimePoint Now);
  void continueAssembly(TimePoint Now);
  void learnPart(const Call &Which, const ObjectRead &Read, TimePoint Now);
  void keepWatching(TimePoint Now);
  void fetchAtStart(TimePoint Now);

  Proposal *proposalIn(Phase At);
  void startProposals(TimePoint Now);
  void enter(Proposal &Work, Phase At);
  void retryLater(Proposal &Work, Phase At, TimePoint Now);
  void baseRead(Proposal &Work, const ObjectRead &Read, TimePoint Now);
  void composeManifest(Proposal &Work, const ConfigManifest &Base);
  void partWritten(WriteResult Verdict, TimePoint Now);
  void manifestWritten(const ObjectWritten &Event, TimePoint Now);
  void standingRead(Proposal &Work, const ObjectRead &Read, TimePoint Now);
  void settle(Proposal &Work, const ObjectRead &Read,
              const ConfigManifest &Manifest, TimePoint Now);
  void advanceProposal(TimePoint Now);
  void expireProposal(TimePoint Now);
  void accept(Revision Rev, TimePoint Now);
  void lose(Proposal &Work, Revision Standing, TimePoint Now);
  void finishProposal(Result<Revision> Outcome, TimePoint Now);
  Error lostRace(const Proposal &Work) const;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_CONFIG_SYNC_H
