#ifndef CARDAMOMYARD_ROUTING_RETRY_BUDGET_H_
#define CARDAMOMYARD_ROUTING_RETRY_BUDGET_H_

namespace cardamomyard {

/// \brief Bounds the retries of one entry host to a tenth of its requests plus
/// ten, so that retries do not multiply the load of a failing fleet.
class retry_budget {
 public:
  /// \brief Counts a new request. Retries are not counted.
  void AddRequest();
  /// \brief Takes one retry from the budget.
  /// \returns whether the budget allowed it.
  bool TryTakeRetry();

 private:
  // Integer tenths of a retry, so that the bound is exact.
  int tenths_ = 100;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_RETRY_BUDGET_H_
