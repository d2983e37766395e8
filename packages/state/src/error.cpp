/// HTTP status, retry advice and exit code of each error kind.
#include "marjorambay/state/error.h"

namespace marjorambay {

namespace {

using enum ErrorKind;
using enum RetryAdvice;

constexpr MayHaveRun NotRun = MayHaveRun::No;
constexpr MayHaveRun MaybeRun = MayHaveRun::Maybe;

// Exit codes: 1 failure, 2 usage, 3 bad input, 4 conflict, 5 unavailable,
// 6 timed out, 7 rolled back.
constexpr auto Traits = std::to_array<ErrorTraits>({
    {BadRequest, 400, NotRun, Never, 3},
    {Unauthenticated, 401, NotRun, Never, 3},
    {UnknownRoute, 404, NotRun, Never, 3},
    {UnknownModel, 404, NotRun, Never, 3},
    {MissingIdempotencyKey, 400, NotRun, Never, 3},
    {IdempotencyKeyReused, 422, NotRun, Never, 3},
    {TooLarge, 413, NotRun, Never, 3},
    {HeadersTooLarge, 431, NotRun, Never, 3},
    {RequestTimeout, 408, NotRun, AfterWait, 6},
    {DeadlinePassed, 504, NotRun, Never, 6},
    {AccountQueueFull, 429, NotRun, AfterWait, 5},
    {OverQuota, 429, NotRun, AfterWait, 5},
    {Overloaded, 503, NotRun, AfterWait, 5},
    {NoTarget, 503, NotRun, AfterWait, 5},
    {NotReady, 503, NotRun, AfterWait, 5},
    {ShuttingDown, 503, NotRun, AfterWait, 5},
    {PlatformUnavailable, 503, NotRun, AfterWait, 5},
    {TooManyConnections, 503, NotRun, AfterWait, 5},
    {OutcomeUnknown, 502, MaybeRun, NewKey, 1},
    {TargetFailed, 502, MaybeRun, NewKey, 1},
    {AnswerCut, 502, MaybeRun, NewKey, 1},
    {AnswerTimeout, 504, MaybeRun, NewKey, 6},
    {CallerGone, 499, MaybeRun, Never, 1},
    {BadSettings, 500, NotRun, Never, 3},
    {BadConfig, 422, NotRun, Never, 3},
    {Conflict, 409, NotRun, AfterWait, 4},
    {NotFound, 404, NotRun, Never, 3},
    {LeaseLost, 409, NotRun, AfterWait, 4},
    {StaleRevision, 409, NotRun, AfterWait, 4},
    {RolloutRolledBack, 409, NotRun, Never, 7},
    {Timeout, 504, NotRun, AfterWait, 6},
    {Internal, 500, MaybeRun, NewKey, 1},
    {CrashingRequest, 503, NotRun, AfterWait, 5},
    {AddressUnavailable, 503, NotRun, AfterWait, 5},
    {MemoryFull, 503, NotRun, AfterWait, 5},
});
static_assert(Traits.size() == ErrorKindCount);

constexpr bool rowsInOrder() {
  for (std::size_t Row = 0; Row < Traits.size(); ++Row)
    if (static_cast<std::size_t>(Traits[Row].Kind) != Row)
      return false;
  return true;
}
static_assert(rowsInOrder(), "rows must follow the order of ErrorKind");

} // namespace

const ErrorTraits &traitsOf(ErrorKind Kind) {
  return Traits[static_cast<std::size_t>(Kind)];
}

} // namespace marjorambay
