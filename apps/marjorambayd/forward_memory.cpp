/// The account of this process's memory: admission of request bodies, log lines
/// and metrics.
#include "forward_memory.h"

#include "forward_host.h"

#include <charconv>
#include <fstream>
#include <unistd.h>

namespace marjorambay {

namespace {

constexpr std::uint64_t BytesPerMegabyte = 1'000'000;
/// Memory counts as sufficient again after this time without a request that
/// waits or is refused. Bounds the rate of the log lines.
constexpr Duration PressureEndsAfter = seconds(5);

/// Resident bytes of this process; 0 if the system does not tell.
std::uint64_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t bufferedBytes(const ForwardHost &H) {
  std::uint64_t Bytes = 0;
  for (const auto &[Id, Call] : H.Calls)
    Bytes += Call.BufferedBody.capacity();
  return Bytes;
}

BodyMemory::Terms termsOf(const ForwardHost &H, const HttpHead &Head) {
  const Duration TimeLeft = requestedTime(H, Head);
  if (!H.Table)
    return {TierRank{}, TimeLeft};
  const std::string_view Path = std::string_view(Head.RequestTarget)
                                    .substr(0, Head.RequestTarget.find('?'));
  const ForwardRoute *Route = H.Table->match(Head.header("host"), Path);
  if (Route == nullptr)
    return {TierRank{}, TimeLeft}; // refused once it has been read
  const std::string Key(Head.header(H.HeaderNames.AccountKey));
  return {H.Table->tierOf(H.Table->accountByKey(Key), *Route),
          std::min(TimeLeft, Route->Timeout)};
}

void reviewBodies(ForwardHost &H) {
  MemoryBudget &Budget = H.Memory.Budget;
  const TimePoint Now = H.Loop.now();
  const MemoryBudget::Changes Changes = Budget.review(Now);
  for (const BodyId Id : Changes.Refused)
    H.Callers.refuseBody(static_cast<CallerBodyId>(Id));
  for (const BodyId Id : Changes.Admitted)
    H.Callers.admitBody(static_cast<CallerBodyId>(Id));
  if (!Changes.Refused.empty() || Budget.waiting() != 0)
    H.Memory.PressureAt = Now;
  if (!H.Memory.UnderPressure || Now - H.Memory.PressureAt < PressureEndsAfter)
    return;
  H.Memory.UnderPressure = false;
  LogLine("memory_pressure_ended")
      .with("held", static_cast<std::int64_t>(Budget.heldBodies()))
      .with("delayed", static_cast<std::int64_t>(Budget.delayed()))
      .with("refused", static_cast<std::int64_t>(Budget.refused()));
}

} // namespace

BodyMemory::BodyMemory(EventLoop &Loop, std::uint64_t LimitMb)
    : Budget(LimitMb * BytesPerMegabyte), Loop(Loop) {}

BodyAdmissionResult BodyMemory::request(CallerBodyId Id, std::size_t Bytes,
                                        const HttpHead &Head) {
  BodyRequest Request;
  Request.Id = static_cast<BodyId>(Id);
  Request.Bytes = Bytes;
  // Most bodies fit. Their routes are looked up once they have been read.
  if (Budget.tryAdmit(Request.Id, Bytes))
    return BodyAdmissionResult::Admitted;
  if (TermsOf) {
    const Terms Given = TermsOf(Head);
    Request.Tier = Given.Tier;
    Request.TimeLeft = Given.TimeLeft;
  }
  const TimePoint Now = Loop.now();
  const BodyDecision Decision = Budget.request(Request, Now);
  recordPressure(Decision, Request, Now);
  return Decision == BodyDecision::Waiting ? BodyAdmissionResult::Waiting
                                           : BodyAdmissionResult::Refused;
}

void BodyMemory::release(CallerBodyId Id) {
  Budget.release(static_cast<BodyId>(Id));
}

ErrorKind BodyMemory::refusalReason() const {
  return Budget.stopped() ? ErrorKind::ShuttingDown : ErrorKind::MemoryFull;
}

void BodyMemory::recordPressure(BodyDecision Decision,
                                const BodyRequest &Request, TimePoint Now) {
  PressureAt = Now;
  if (UnderPressure)
    return;
  UnderPressure = true;
  LogLine("memory_pressure_started", LogLevel::Warning)
      .with("decision", nameOf(Decision))
      .with("bytes", static_cast<std::int64_t>(Request.Bytes))
      .with("tier", number(Request.Tier))
      .with("held", static_cast<std::int64_t>(Budget.heldBodies()))
      .with("share",
            static_cast<std::int64_t>(Budget.share(MemoryOwner::RequestBodies)))
      .with("waiting", static_cast<std::int64_t>(Budget.waiting()))
      .with("limit", static_cast<std::int64_t>(Budget.limit()))
      .with("resident", static_cast<std::int64_t>(residentBytes()));
}

void startMemory(ForwardHost &H) {
  H.Memory.TermsOf = [&H](const HttpHead &Head) { return termsOf(H, Head); };
  H.Callers.setBodyAdmission(H.Memory);
  constexpr Duration ReviewInterval = milliseconds(25);
  H.Subscriptions.push_back(H.Timers.every(ReviewInterval, [&H]() {
    if (H.Memory.UnderPressure)
      reviewBodies(H);
  }));
}

void stopWaitingForMemory(ForwardHost &H) {
  H.Memory.Budget.stopWaiting();
  reviewBodies(H);
}

std::string memoryMetrics(const ForwardHost &H) {
  const MemoryBudget &Budget = H.Memory.Budget;
  MemoryShares Held{};
  const auto SetHeld = [&Held](MemoryOwner Owner, std::uint64_t Bytes) {
    Held[static_cast<std::size_t>(Owner)] = Bytes;
  };
  SetHeld(MemoryOwner::RequestBodies, Budget.heldBodies());
  SetHeld(MemoryOwner::WaitingRequests, Budget.waitingBytes());
  SetHeld(MemoryOwner::BufferedResponses, bufferedBytes(H));
  SetHeld(MemoryOwner::UnsentResponses, H.Callers.unsentBytes());
  std::string Text = "# TYPE marjorambay_memory_held_bytes gauge\n"
                     "# TYPE marjorambay_memory_share_bytes gauge\n";
  for (std::size_t Index = 0; Index < MemoryOwnerCount; ++Index) {
    const auto Owner = static_cast<MemoryOwner>(Index);
    const std::string Label = "{owner=\"" + std::string(nameOf(Owner)) + "\"} ";
    if (Owner != MemoryOwner::Program) // the rest of the resident bytes
      Text += "marjorambay_memory_held_bytes" + Label +
              std::to_string(Held[Index]) + "\n";
    Text += "marjorambay_memory_share_bytes" + Label +
            std::to_string(Budget.share(Owner)) + "\n";
  }
  const auto Add = [&Text](const std::string &Name, std::string_view Type,
                           std::uint64_t Value) {
    Text += "# TYPE " + Name + " " + std::string(Type) + "\n" + Name + " " +
            std::to_string(Value) + "\n";
  };
  Add("marjorambay_memory_limit_bytes", "gauge", Budget.limit());
  Add("marjorambay_memory_resident_bytes", "gauge", residentBytes());
  Add("marjorambay_memory_waiting_requests", "gauge", Budget.waiting());
  Add("marjorambay_memory_delayed_requests_total", "counter", Budget.delayed());
  Add("marjorambay_memory_refused_requests_total", "counter", Budget.refused());
  return Text;
}

} // namespace marjorambay
