/// Events and actions of the intent log, which makes a non-idempotent call run
/// at most once without a store of our own.
///
/// Keys hash to shards. A shard's intents live in platform objects, segments of
/// bounded size, that are changed by conditional update only: a holder that was
/// paused or replaced fails the condition, whatever its clock says.
#ifndef MARJORAMBAY_COORDINATION_IDEMPOTENCY_H
#define MARJORAMBAY_COORDINATION_IDEMPOTENCY_H

#include "marjorambay/coordination/origin.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marjorambay {

/// Version of a platform object; 0 means that it does not exist.
using ObjectVersion = std::uint64_t;

/// Tells one platform call of the intent log from another.
enum class PlatformCallId : std::uint64_t {};

// ---- Events -----------------------------------------------------------------

/// A request, here or at another host, wants its intent recorded.
struct IntentRequested {
  RequestKey Request{};
  KeyHash Key{};
  std::uint64_t BodyHash = 0;
  Duration TimeLeft{};
};
struct OutcomeReported {
  RequestKey Request{};
  KeyHash Key{};
  bool Released = false;
  int HttpStatus = 0;
};
/// Answer to ReadObject. Found false: there is no such object.
struct ObjectRead {
  PlatformCallId Call{};
  bool Reachable = true; ///< false: the platform did not answer
  bool Found = false;
  ObjectVersion Version = 0;
  std::string Bytes{};
};
enum class WriteVerdict : std::uint8_t {
  Stood,    ///< the update took effect
  Conflict, ///< the condition failed; nothing was written
  Unknown,  ///< no answer: it may have taken effect
};
/// Answer to WriteObject.
struct ObjectWritten {
  PlatformCallId Call{};
  WriteVerdict Verdict = WriteVerdict::Unknown;
  ObjectVersion Version = 0; ///< the new one, when it stood
};
/// Time passed; sent at least every 10 ms while work is pending.
struct IntentLogTicked {
  /// Time since the Unix epoch. Stamps intents, so that every holder agrees on
  /// their age within the hosts' clock error.
  WallTime Wall{};
};

using IntentLogEvent = std::variant<IntentRequested, OutcomeReported,
                                    ObjectRead, ObjectWritten, IntentLogTicked>;

// ---- Actions ----------------------------------------------------------------

struct ReadObject {
  PlatformCallId Call{};
  std::string Name{};
};
/// Conditional update: takes effect only while the object has version IfVersion
/// (0: only if it does not exist).
struct WriteObject {
  PlatformCallId Call{};
  std::string Name{};
  ObjectVersion IfVersion = 0;
  std::string Bytes{};
};
struct AnswerIntent {
  RequestKey Request{};
  IntentVerdict Verdict = IntentVerdict::Unavailable;
  int AppliedStatus = 0;
};

using IntentLogAction = std::variant<ReadObject, WriteObject, AnswerIntent>;
using IntentLogActions = std::vector<IntentLogAction>;

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_IDEMPOTENCY_H
