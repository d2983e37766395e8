/// Retry budget: a fixed ratio of the requests plus a small reserve, so that
/// retries cannot multiply the load of an overloaded or failing fleet.
#ifndef MARJORAMBAY_COORDINATION_RETRY_BUDGET_H
#define MARJORAMBAY_COORDINATION_RETRY_BUDGET_H

#include <algorithm>

namespace marjorambay {

struct RetryBudgetSettings {
  double Ratio = 0.1;  ///< retries added to the budget by each request
  double Reserve = 10; ///< initial and maximum number of saved retries
};

class RetryBudget {
public:
  RetryBudget() = default;
  explicit RetryBudget(const RetryBudgetSettings &Settings)
      : Settings(Settings), Balance(Settings.Reserve) {}

  void deposit() {
    Balance = std::min(Balance + Settings.Ratio, Settings.Reserve);
  }

  /// Takes one retry from the budget; returns false if the budget is exhausted.
  bool tryWithdraw() {
    if (Balance < 1)
      return false;
    Balance -= 1;
    return true;
  }

  /// Sets the maximum number of saved retries and drops those above it.
  void setReserve(double Reserve) {
    Settings.Reserve = Reserve;
    Balance = std::min(Balance, Reserve);
  }

  void setRatio(double Ratio) { Settings.Ratio = Ratio; }

  double left() const { return Balance; }

private:
  RetryBudgetSettings Settings{};
  double Balance = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_RETRY_BUDGET_H
