/// Shares of a process's memory, and reservations for request bodies.
#include "marjorambay/coordination/memory_budget.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Assumed for a process that is not told its limit.
constexpr std::uint64_t DefaultLimitBytes = 128'000'000;
/// What the program needs with all its connections and a large fleet's objects.
constexpr std::uint64_t ProgramBytes = 26'000'000;
/// Part of the limit that stays free: buffers that grow are held twice for a
/// moment, and the allocator keeps some memory.
constexpr double FreeFraction = 0.1;
/// Parts of what the program leaves; request bodies get the rest.
constexpr double WaitingFraction = 0.1;
constexpr double ResponseFraction = 0.2; ///< buffered; the same for unsent ones
constexpr std::uint64_t MaxWaitingShare = 32 << 20;
constexpr std::uint64_t MaxResponseShare = 24 << 20;
/// Least memory to divide, however small the limit is.
constexpr std::uint64_t MinDivided = 16 << 20;

constexpr std::uint64_t MebibyteBytes = 1 << 20;

std::uint64_t fractionOf(std::uint64_t Bytes, double Fraction) {
  return static_cast<std::uint64_t>(static_cast<double>(Bytes) * Fraction);
}

} // namespace

MemoryShares divideMemory(std::uint64_t LimitBytes) {
  const std::uint64_t Limit = LimitBytes == 0 ? DefaultLimitBytes : LimitBytes;
  const std::uint64_t Taken = ProgramBytes + fractionOf(Limit, FreeFraction);
  const std::uint64_t Divided =
      std::max(Limit - std::min(Limit, Taken), MinDivided);
  const std::uint64_t Waiting =
      std::min(fractionOf(Divided, WaitingFraction), MaxWaitingShare);
  const std::uint64_t Responses =
      std::min(fractionOf(Divided, ResponseFraction), MaxResponseShare);
  return {ProgramBytes, Divided - Waiting - 2 * Responses, Waiting, Responses,
          Responses};
}

std::uint64_t MemoryBudget::heldBy(BodyId Id) const {
  const auto Found = Reserved.find(Id);
  return Found == Reserved.end() ? 0 : Found->second;
}

std::uint64_t MemoryBudget::usableBy(std::uint64_t Bytes) const {
  const std::uint64_t Share = share(MemoryOwner::RequestBodies);
  return isShort(Bytes) ? Share
                        : Share - fractionOf(Share, Settings.ShortReserve);
}

bool MemoryBudget::fits(BodyId Id, std::uint64_t Bytes) const {
  return Held - heldBy(Id) + Bytes <= usableBy(Bytes);
}

void MemoryBudget::reserve(BodyId Id, std::uint64_t Bytes) {
  std::uint64_t &Current = Reserved[Id];
  Held += Bytes - Current;
  Current = Bytes;
}

std::set<MemoryBudget::QueueKey> &MemoryBudget::queueOf(const Wait &Entry) {
  return isShort(Entry.Bytes) ? ShortQueue : LongQueue;
}

void MemoryBudget::endWait(BodyId Id) {
  const auto Found = Waiting.find(Id);
  if (Found == Waiting.end())
    return;
  queueOf(Found->second).erase({Found->second.Order, Id});
  Waiting.erase(Found);
}

bool MemoryBudget::tryAdmit(BodyId Id, std::uint64_t Bytes) {
  const bool Queued = isShort(Bytes) ? !ShortQueue.empty() : !LongQueue.empty();
  if (Queued || !fits(Id, Bytes))
    return false;
  reserve(Id, Bytes);
  return true;
}

BodyDecision MemoryBudget::request(const BodyRequest &Request, TimePoint Now) {
  if (tryAdmit(Request.Id, Request.Bytes))
    return BodyDecision::Admitted;
  const Duration Delay =
      Settings.DelayPerTier * number(Request.Tier) +
      Settings.DelayPerMebibyte *
          static_cast<std::int64_t>(Request.Bytes / MebibyteBytes);
  const auto MaxWait = std::min<Duration>(
      Settings.MaxWait, std::chrono::duration_cast<Duration>(
                            Request.TimeLeft * Settings.MaxWaitFraction));
  const Wait Entry{Request.Bytes, Now + Delay, Now + MaxWait};
  const bool Full = waitingBytes() + Settings.WaitingBytes >
                    share(MemoryOwner::WaitingRequests);
  const bool DisplacesLast =
      Full && !LongQueue.empty() &&
      (isShort(Request.Bytes) || Entry.Order < LongQueue.rbegin()->first);
  const bool NeverFits = Request.Bytes > usableBy(Request.Bytes);
  if (!MayWait || NeverFits || MaxWait <= Duration(0) ||
      (Full && !DisplacesLast)) {
    ++Refused;
    return BodyDecision::Refused;
  }
  if (DisplacesLast) {
    const BodyId Last = LongQueue.rbegin()->second;
    endWait(Last);
    Displaced.push_back(Last);
  }
  Waiting.emplace(Request.Id, Entry);
  queueOf(Entry).emplace(Entry.Order, Request.Id);
  ++Delayed;
  return BodyDecision::Waiting;
}

void MemoryBudget::release(BodyId Id) {
  endWait(Id);
  std::erase(Displaced, Id);
  const auto Found = Reserved.find(Id);
  if (Found == Reserved.end())
    return;
  Held -= Found->second;
  Reserved.erase(Found);
}

void MemoryBudget::admitFrom(std::set<QueueKey> &Queue, Changes &Result) {
  while (!Queue.empty()) {
    const BodyId First = Queue.begin()->second;
    const std::uint64_t Bytes = Waiting.at(First).Bytes;
    // A shorter one does not overtake, so that none waits for ever.
    if (!fits(First, Bytes))
      return;
    endWait(First);
    reserve(First, Bytes);
    Result.Admitted.push_back(First);
  }
}

MemoryBudget::Changes MemoryBudget::review(TimePoint Now) {
  Changes Result;
  Result.Refused.swap(Displaced);
  std::vector<BodyId> Ended;
  for (const auto &[Id, Entry] : Waiting)
    if (!MayWait || Now >= Entry.Until)
      Ended.push_back(Id);
  for (const BodyId Id : Ended) {
    endWait(Id);
    Result.Refused.push_back(Id);
  }
  Refused += Result.Refused.size();
  admitFrom(ShortQueue, Result);
  admitFrom(LongQueue, Result);
  return Result;
}

} // namespace marjorambay
