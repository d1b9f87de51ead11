#ifndef CARDAMOMYARD_ROUTING_RETRY_BUDGET_H_
#define CARDAMOMYARD_ROUTING_RETRY_BUDGET_H_

namespace cardamomyard {

/// \brief Bounds the retries of one entry host to a tenth of its requests plus
/// ten, so that a failing fleet does not get a multiple of its load.
class retry_budget {
 public:
  /// \brief Counts a new request; a retry is not a request.
  void AddRequest();
  /// \returns whether a retry may be sent, and takes it from the budget.
  bool TryTakeRetry();

 private:
  // Counted in tenths of a retry so that the bound is exact.
  int tenths_ = 100;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_RETRY_BUDGET_H_
