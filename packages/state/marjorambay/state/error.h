/// Error kinds, the HTTP status and exit code of each, and Result.
#ifndef MARJORAMBAY_STATE_ERROR_H
#define MARJORAMBAY_STATE_ERROR_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cassert>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace marjorambay {

enum class ErrorKind : std::uint8_t {
  // Rejected because of the request itself.
  BadRequest,
  Unauthenticated,
  UnknownRoute,
  UnknownModel,
  MissingIdempotencyKey,
  IdempotencyKeyReused,
  TooLarge,
  HeadersTooLarge,
  RequestTimeout,
  DeadlinePassed,
  AccountQueueFull,
  OverQuota,
  // Rejected because of the current state of the fleet.
  Overloaded,
  NoTarget,
  NotReady,
  ShuttingDown,
  PlatformUnavailable,
  TooManyConnections,
  // Failed after dispatch to a target.
  OutcomeUnknown,
  TargetFailed,
  AnswerCut,
  AnswerTimeout,
  CallerGone,
  // Returned to operators and between processes.
  BadSettings,
  BadConfig,
  Conflict,
  NotFound,
  LeaseLost,
  StaleRevision,
  RolloutRolledBack,
  Timeout,
  Internal,
  // Later kinds are appended: hosts of other builds know them by their number.
  CrashingRequest,    ///< targets crash under such requests
  AddressUnavailable, ///< taken by another process, or not there yet
  MemoryFull,         ///< no memory for the request's body
};

template <>
inline constexpr std::array
    NamesOf<ErrorKind> = std::to_array<std::string_view>({
        "bad_request",
        "unauthenticated",
        "unknown_route",
        "unknown_model",
        "missing_idempotency_key",
        "idempotency_key_reused",
        "too_large",
        "headers_too_large",
        "request_timeout",
        "deadline_passed",
        "account_queue_full",
        "over_quota",
        "overloaded",
        "no_target",
        "not_ready",
        "shutting_down",
        "platform_unavailable",
        "too_many_connections",
        "outcome_unknown",
        "target_failed",
        "answer_cut",
        "answer_timeout",
        "caller_gone",
        "bad_settings",
        "bad_config",
        "conflict",
        "not_found",
        "lease_lost",
        "stale_revision",
        "rollout_taken_back",
        "timeout",
        "internal",
        "crashing_request",
        "address_unavailable",
        "memory_full",
    });
inline constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(ErrorKind::MemoryFull) + 1;
static_assert(NamesOf<ErrorKind>.size() == ErrorKindCount);

/// Whether the request may have been executed by a target.
enum class MayHaveRun : std::uint8_t { No, Maybe };

/// Whether the caller should retry the request.
enum class RetryAdvice : std::uint8_t {
  Never,     ///< a retry would fail as well
  AfterWait, ///< retry after Retry-After
  NewKey,    ///< retry with a new key, after checking what the first call did
};

/// How one error kind is reported to callers and as an exit code.
struct ErrorTraits {
  ErrorKind Kind = ErrorKind::Internal;
  int HttpStatus = 500;
  MayHaveRun Ran = MayHaveRun::No;
  RetryAdvice Retry = RetryAdvice::Never;
  int ExitCode = 1; ///< of marjorambayctl and marjorambayd
};

/// Returns the traits of \p Kind.
const ErrorTraits &traitsOf(ErrorKind Kind);

/// One failure: its kind, a readable message, and the delay before a retry.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message{}; ///< says what to change; never has prompt text
  Duration RetryAfter = Duration(0); ///< 0 if unspecified
};

/// Either a value or an error.
template <typename T> using Result = std::variant<T, Error>;

/// Value type of a Result that carries no value.
using Done = std::monostate;

template <typename T> bool ok(const Result<T> &Outcome) {
  return Outcome.index() == 0;
}
template <typename T> T &value(Result<T> &Outcome) {
  assert(ok(Outcome) && "value() of a Result that holds an Error");
  return *std::get_if<0>(&Outcome);
}
template <typename T> const T &value(const Result<T> &Outcome) {
  assert(ok(Outcome) && "value() of a Result that holds an Error");
  return *std::get_if<0>(&Outcome);
}
template <typename T> const Error &error(const Result<T> &Outcome) {
  assert(!ok(Outcome) && "error() of a Result that holds a value");
  return *std::get_if<1>(&Outcome);
}

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_ERROR_H
