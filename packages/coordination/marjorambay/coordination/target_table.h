/// The targets of a pool: their slots in flight, and the choice between them.
#ifndef MARJORAMBAY_COORDINATION_TARGET_TABLE_H
#define MARJORAMBAY_COORDINATION_TARGET_TABLE_H

#include "marjorambay/coordination/arbiter_events.h"
#include "marjorambay/coordination/fair_queue.h"
#include "marjorambay/coordination/load_history.h"
#include "marjorambay/coordination/target_health.h"
#include "marjorambay/coordination/target_model.h"
#include "marjorambay/coordination/version_share.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjorambay {

/// A slot that an origin holds at a target.
struct Slot {
  Reservation Request{};
  TokenCost Cost{};
  double Work = 0; ///< charged to the account, in decode tokens
  TargetId Target{};
  VersionId Version{};
  TimePoint Granted{};
  TimePoint Deadline{};
  TimePoint ForgetAt{};     ///< no release is expected after this
  double PromptAhead = 0;   ///< uncached tokens that were before it
  double Streams = 0;       ///< at the target when it was granted
  std::uint32_t Tokens = 0; ///< at the last progress
  TimePoint TokensAt{};     ///< of the last progress, or epoch
};

/// What the choice of a target came to.
struct TargetChoice {
  bool AnyRoom = false; ///< some target could take a request, if not this one
  bool Found = false;
  std::size_t Roomy = 0; ///< targets with room, whatever their version's turn
  TargetId Target{};
  double FinishSeconds = 0; ///< expected, from now
};

struct TargetTableSettings {
  Duration FirstBackOff = milliseconds(200); ///< after a refusal
  Duration LongestBackOff = seconds(5);
  /// The declared slots are what a target runs at once: a wait for a first
  /// token says that prompts are read, not that requests queue.
  bool TrustDeclaredSlots = false;
  double TakeoverFraction = 0.125; ///< of a limit, before origins report
  std::size_t MaxPrefixes = 4096;  ///< remembered for cache affinity
};

/// All targets of one pool.
class TargetTable {
public:
  explicit TargetTable(TargetTableSettings Given = {}) : Settings(Given) {}

  void setTargets(const std::vector<TargetInfo> &Targets);
  void markLeft(TargetId Target, IncarnationId Life);
  void markRefused(TargetId Target, TimePoint Now);
  void mergeReport(const LoadReported &Report, TimePoint Now);

  /// Returns whether some target may serve \p Version (0: any), now or after a
  /// back-off.
  bool anyFor(VersionId Version, const VersionShare &Shares) const;

  /// Returns the target with the least expected finish that has room and is
  /// expected to meet the deadline. A target that likely caches the prompt's
  /// head is preferred only if it meets the deadline without that.
  TargetChoice choose(const Waiting &Entry, const VersionShare &Shares,
                      bool Takeover, TimePoint Now) const;

  /// Returns whether \p Target has room for one more request.
  bool hasRoom(TargetId Target, bool Takeover, TimePoint Now) const;

  /// Returns whether some target, busy or not, is expected to meet the
  /// deadline as it is loaded now.
  bool canMeet(const Waiting &Entry, const VersionShare &Shares,
               TimePoint Now) const;

  /// Counts from here on what is granted before all origins have reported.
  void startTakeover();

  /// Counts a slot that was granted, or that an origin reports. \p Takeover:
  /// granted before all origins have reported.
  void occupy(Slot &Held, bool Takeover, TimePoint Now);

  void vacate(const Slot &Held, TimePoint Now);

  void learnProgress(Slot &Held, std::uint32_t Tokens, TimePoint Now);
  void learnRelease(const Slot &Held, const Usage &Used, TimePoint Now);

  /// Returns whether the answers of \p Target, if it is known, are no reason to
  /// leave it out.
  bool usable(TargetId Target, TimePoint Now) const;

  /// Judges a target by how a request ended there.
  void judge(TargetId Target, DispatchOutcome End, TimePoint Now);

  /// Works out anew the figures that fastestSeconds() and capacity() give.
  void refresh(const VersionShare &Shares, TimePoint Now);

  /// Returns the seconds that \p Cost takes on the fastest available target,
  /// \p Busy: with a full batch, else while it serves nothing else.
  double fastestSeconds(const TokenCost &Cost, bool Busy) const;

  /// Returns the decode tokens a second of all available targets, each at its
  /// limit.
  double capacity() const { return Capacity; }

  /// Returns how long a prompt token holds a slot, in decode tokens; \p Guess
  /// before any speed is learned.
  double promptWeight(double Guess) const {
    return PromptWeight > 0 ? PromptWeight : Guess;
  }

  /// Returns the seconds that \p Cost takes on \p Target as it is now.
  double expectedSeconds(TargetId Target, const TokenCost &Cost,
                         TimePoint Now) const;

  /// Requests that all available targets may hold now, and that they declare.
  std::size_t slots(const VersionShare &Shares, TimePoint Now) const;
  std::size_t declaredSlots(const VersionShare &Shares) const;

  std::size_t size() const { return Entries.size(); }
  std::uint32_t inFlight(TargetId Target) const;
  std::uint32_t limit(TargetId Target, TimePoint Now) const;

private:
  struct Entry {
    TargetInfo Info{};
    bool Listed = false;
    bool Left = false;
    IncarnationId LeftLife{};
    TargetModel Model{};
    std::uint32_t InFlight = 0;
    std::uint64_t TokensInFlight = 0;
    std::uint32_t SinceTakeover = 0; ///< granted here before origins reported
    TimePoint PrefillUntil{};        ///< prompts granted so far are done then
    TimePoint BackOffUntil{};
    std::uint32_t Refusals = 0; ///< in a row
    LoadHistory History{};
    TargetHealth Health{};
  };

  /// How fast a target is, worked out at the last refresh; in seconds.
  struct SpeedLine {
    double First = 0;  ///< to the first token, without a prompt
    double Prompt = 0; ///< for each prompt token
    double BusyStep = 0;
    double AloneStep = 0;
  };

  std::uint32_t limitOf(const Entry &Each, TimePoint Now) const;
  void forgetUnlisted();
  static void learnOverdue(Entry &Each, const Slot &Held, const Usage &Used,
                           TimePoint Now);
  void learnFirstProgress(Entry &Each, const Slot &Held, std::uint32_t Tokens,
                          TimePoint Now);
  bool available(const Entry &Each, const VersionShare &Shares) const;
  bool hasRoom(const Entry &Each, bool Takeover, TimePoint Now) const;
  bool keptOut(const Entry &Each, TimePoint Now) const;
  void reviewEjections(TimePoint Now);
  double promptAhead(const Entry &Each, TimePoint Now) const;
  double streams(const Entry &Each, TimePoint Now) const;
  bool meetsAim(const Entry &Each, const Waiting &Entry, TimePoint Now) const;
  double finishSeconds(const Entry &Each, const TokenCost &Cost,
                       TimePoint Now) const;
  const Entry *find(TargetId Target) const;
  void rememberPrefix(std::uint64_t Prefix, TargetId Target);

  TargetTableSettings Settings;
  std::vector<Entry> Entries{};
  std::vector<SpeedLine> Lines{};
  PoolHealth Health{};
  bool MayEject = true; ///< enough of the others answer well
  double Capacity = 0;
  double PromptWeight = 0; ///< 0: not learned
  std::unordered_map<TargetId, std::size_t> Places{};
  std::unordered_map<std::uint64_t, TargetId> Prefixes{};
  std::vector<std::uint64_t> PrefixRing{}; ///< evicted in order of insertion
  std::size_t NextPrefix = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_TABLE_H
