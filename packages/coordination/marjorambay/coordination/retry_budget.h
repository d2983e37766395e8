/// Budget of retries: a fixed share of the requests, and a small reserve, so
/// that retries can't multiply the load of a fleet in trouble.
#ifndef MARJORAMBAY_COORDINATION_RETRY_BUDGET_H
#define MARJORAMBAY_COORDINATION_RETRY_BUDGET_H

#include <algorithm>

namespace marjorambay {

struct RetryBudgetSettings {
  double Ratio = 0.1;  ///< retries earned by one request
  double Reserve = 10; ///< retries at the start, and the most that is saved
};

class RetryBudget {
public:
  RetryBudget() = default;
  explicit RetryBudget(const RetryBudgetSettings &Settings)
      : Settings(Settings), Left(Settings.Reserve) {}

  void deposit() { Left = std::min(Left + Settings.Ratio, Settings.Reserve); }

  /// Takes one retry; false when the budget is spent.
  bool tryWithdraw() {
    if (Left < 1)
      return false;
    Left -= 1;
    return true;
  }

  /// Changes what may be saved; what was saved above it is lost.
  void setReserve(double Reserve) {
    Settings.Reserve = Reserve;
    Left = std::min(Left, Reserve);
  }

  void setRatio(double Ratio) { Settings.Ratio = Ratio; }

  double left() const { return Left; }

private:
  RetryBudgetSettings Settings{};
  double Left = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_RETRY_BUDGET_H
