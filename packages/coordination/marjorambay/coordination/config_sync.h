/// Configuration synchronization: one accepted revision is in force on every
/// host within seconds, and no host ever goes back to a lower one.
///
/// The revision of a configuration is the version of the platform object
/// config/fleet. The revision field inside a document is ignored: the daemon
/// serializes proposals with revision 0 and sets the revision from AdoptConfig,
/// so that two revisions differ only in what operators changed.
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

/// An operator proposes a complete configuration based on a revision that the
/// operator has read.
struct ConfigProposed {
  std::uint64_t ProposalId = 0; ///< identifies the operator's call
  Revision Base{};
  std::string Document{}; ///< valid JSON, except for its revision field
};
/// Edits that turn one revision of the document into the next.
struct ConfigDelta {
  Revision From{};
  Revision To{};
  std::vector<DocumentEdit> Edits{};
};
/// A peer sent its configuration: the full document, or deltas to apply in
/// order to the revision that this host stated in its request.
struct ConfigReceived {
  Revision Rev{};
  std::string Document{}; ///< full document; empty if Deltas are sent
  std::vector<ConfigDelta> Deltas{}; ///< oldest first
  std::uint64_t Digest = 0; ///< hash64() of the document at Rev; 0 if unknown
};
/// A peer requests this host's configuration.
struct ConfigRequested {
  HostId From{};
  Revision KnownRevision{}; ///< revision that the peer has; 0 if none
};
/// A peer, or a heartbeat from it, reports a newer revision.
struct NewerConfigSeen {
  HostId Holder{};
  Revision Rev{};
};
/// This host became, or ceased to be, its availability zone's watcher of the
/// platform object.
struct WatcherRoleChanged {
  bool Watching = false;
};
/// The watched object changed, or the watch timed out without a change
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
  Revision MinRevision{};
  /// Revision in force here; the holder sends deltas from it.
  Revision KnownRevision{};
};
/// Answers a peer's ConfigRequested event; the peer receives it as
/// ConfigReceived.
struct SendConfig {
  HostId To{};
  ConfigReceived Content{};
};
/// Watches a platform object for a version higher than AfterVersion.
struct WatchObject {
  PlatformCallId Call{};
  std::string Name{};
  ObjectVersion AfterVersion = 0;
};
/// Answers an operator: the accepted revision, or the reason for a rejection.
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

/// Converts manifests to and from the bytes of the platform object; provided by
/// the daemon.
struct ConfigManifestCodec {
  Result<ConfigManifest> (*Parse)(std::string_view Bytes) = nullptr;
  std::string (*Print)(const ConfigManifest &Manifest) = nullptr;
};

struct ConfigSyncSettings {
  HostId Self{};
  IncarnationId Incarnation{};
  ConfigManifestCodec Codec{};
  /// Larger documents are stored in parts.
  std::size_t MaxInlineBytes = 16 << 10;
  std::size_t MaxDeltas = 64;   ///< retained for peers that are behind
  std::size_t MaxProposals = 8; ///< queued at this host
  /// Proposal records kept in the manifest.
  std::size_t MaxRecentProposals = 32;
  Duration ProposalTimeout = seconds(30);
  Duration PlatformRetryInterval = milliseconds(500);
  /// First retry; doubled for each further one.
  Duration PeerRetryInterval = milliseconds(250);
  Duration MaxPeerRetryInterval = seconds(4);
  /// Time to receive revisions from peers before serving.
  Duration StartupGracePeriod = seconds(1);
  /// Limit on waiting for a revision that cannot be fetched.
  Duration MaxStartupWait = seconds(10);
  /// Peers are asked first; the platform is read only after this delay.
  Duration PlatformReadDelay = seconds(3);
  std::uint32_t MaxPartReads = 8; ///< concurrent reads
};

/// Configuration state of one host. Must receive a ConfigTicked every 100 ms.
class ConfigSync {
public:
  explicit ConfigSync(ConfigSyncSettings InitialSettings)
      : Settings(InitialSettings) {}

  ConfigSyncActions step(const ConfigSyncEvent &Event, TimePoint Now);

  /// Returns the revision in force on this host; 0 if there is none yet.
  Revision revision() const { return Current; }
  /// Returns the highest revision reported by any source.
  Revision highestSeen() const { return Highest; }
  const std::string &document() const { return Document; }
  /// Returns whether this host may serve. A starting host must first adopt the
  /// highest revision reported to it, or wait for MaxStartupWait. Never goes
  /// back to false.
  bool ready() const { return Ready; }
  bool watching() const { return Watching; }

private:
  enum class CallKind : std::uint8_t {
    Fetch,         ///< reads config/fleet to adopt it
    FetchPart,     ///< reads one part of the document being assembled
    Watch,         ///< watches config/fleet for a change
    WritePart,     ///< writes a part of the proposal in progress
    WriteManifest, ///< writes the manifest of the proposal
    ReadProposal,  ///< reads config/fleet before or after writing a proposal
  };
  struct Call {
    CallKind Kind = CallKind::Fetch;
    std::uint64_t PartDigest = 0;
  };
  /// A document whose parts are being read.
  struct Assembly {
    Revision Rev{};
    ConfigManifest Manifest{};
    std::map<std::uint64_t, std::string> Parts{}; ///< by digest
    TimePoint RetryAt{};
  };
  enum class Phase : std::uint8_t {
    ReadingBase,  ///< reads the manifest that the proposal is based on
    WritingParts, ///< writes the parts that the base manifest lacks
    /// Writes the manifest by the conditional update that commits the proposal.
    WritingManifest,
    /// Reads the committed manifest after a conflict or a lost response.
    ReadingBack,
    /// Waits for the committed document, to report how it differs.
    AwaitingWinner,
  };
  struct Proposal {
    ConfigProposed Request{};
    std::uint64_t Id = 0; ///< recorded in the manifest
    TimePoint Deadline{};
    Phase CurrentPhase = Phase::ReadingBase;
    ConfigManifest Manifest{};
    std::vector<std::string> PartsToWrite{};
    TimePoint RetryAt{};
    bool Waiting = false; ///< for RetryAt; otherwise for the response to a call
    /// Manifest writes whose result is unknown.
    std::uint32_t UnresolvedWrites = 0;
    /// Committed revision that the proposal conflicts with.
    Revision CommittedRevision{};
  };

  ConfigSyncSettings Settings;
  Revision Current{};
  Revision Highest{};
  std::string Document{};
  std::deque<ConfigDelta> Deltas{}; ///< oldest first, without gaps
  bool Ready = false;
  bool Watching = false;
  bool RequestFullDocument = false; ///< the last deltas could not be applied
  std::optional<TimePoint> StartedAt{};
  HostId Holder{}; ///< last peer that reported a newer revision
  TimePoint NextPeerRequestAt{};
  /// Consecutive requests without a response.
  std::uint32_t UnansweredPeerRequests = 0;
  TimePoint NextWatchAt{};
  TimePoint NextFetchAt{};
  std::optional<Assembly> Assembling{};
  std::deque<Proposal> Proposals{}; ///< the first one is in progress
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
  std::optional<Call> popCall(PlatformCallId Id);
  std::size_t inFlight(CallKind Kind) const;
  void readConfig(CallKind Kind);

  void adopt(Revision Rev, std::string NewDocument, TimePoint Now);
  void recordDelta(Revision Rev, const std::string &NewDocument);
  bool applyDeltas(const ConfigReceived &Event, TimePoint Now);
  void updateReadiness(TimePoint Now);
  void requestFromPeer(TimePoint Now);

  void handleObject(const ObjectRead &Read, TimePoint Now);
  void beginAssembly(Revision Rev, ConfigManifest Manifest, TimePoint Now);
  void continueAssembly(TimePoint Now);
  void handlePart(const Call &Finished, const ObjectRead &Read, TimePoint Now);
  void ensureWatch(TimePoint Now);
  void fetchAtStartup(TimePoint Now);

  Proposal *proposalIn(Phase ExpectedPhase);
  void startProposals(TimePoint Now);
  void enterPhase(Proposal &Active, Phase NewPhase);
  void scheduleRetry(Proposal &Active, Phase NewPhase, TimePoint Now);
  void handleBaseRead(Proposal &Active, const ObjectRead &Read, TimePoint Now);
  void composeManifest(Proposal &Active, const ConfigManifest &Base);
  void handlePartWritten(WriteResult Outcome, TimePoint Now);
  void handleManifestWritten(const ObjectWritten &Event, TimePoint Now);
  void handleReadBack(Proposal &Active, const ObjectRead &Read, TimePoint Now);
  void resolve(Proposal &Active, const ObjectRead &Read,
               const ConfigManifest &Manifest, TimePoint Now);
  void advanceProposal(TimePoint Now);
  void expireProposal(TimePoint Now);
  void accept(Revision Rev, TimePoint Now);
  void handleConflict(Proposal &Active, Revision CommittedRevision,
                      TimePoint Now);
  void finishProposal(Result<Revision> Outcome, TimePoint Now);
  Error conflictError(const Proposal &Active) const;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_CONFIG_SYNC_H
