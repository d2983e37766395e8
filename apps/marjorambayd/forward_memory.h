/// Memory of a host that serves forwarded routes: admission of request bodies.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_FORWARD_MEMORY_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_FORWARD_MEMORY_H

#include "marjorambay/coordination/memory_budget.h"
#include "marjorambay/transport/body_admission.h"
#include "marjorambay/transport/event_loop.h"

namespace marjorambay {

/// Asks the budget for memory for bodies on behalf of the caller server.
class BodyMemory final : public BodyAdmission {
public:
  /// \p LimitMb: of 1,000,000 bytes each; 0 if unknown.
  BodyMemory(EventLoop &Loop, std::uint64_t LimitMb);

  BodyAdmissionResult request(CallerBodyId Id, std::size_t Bytes,
                              const HttpHead &Head) override;
  void release(CallerBodyId Id) override;
  ErrorKind refusalReason() const override;

  /// What the head of a request says about it.
  struct Terms {
    TierRank Tier{};
    Duration TimeLeft{};
  };
  sigc::slot<Terms(const HttpHead &)> TermsOf{};

  MemoryBudget Budget;
  bool UnderPressure = false; ///< requests wait or are refused
  TimePoint PressureAt{};     ///< when one last waited or was refused

private:
  void recordPressure(BodyDecision Decision, const BodyRequest &Request,
                      TimePoint Now);

  EventLoop &Loop;
};

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_FORWARD_MEMORY_H
