#ifndef CARDAMOMYARD_TELEMETRY_END_ON_EXCEPTION_H_
#define CARDAMOMYARD_TELEMETRY_END_ON_EXCEPTION_H_

#include <exception>

namespace cardamomyard {

/// \brief Completion handler of coroutines that nobody waits for.
///
/// `boost::asio::detached` drops exceptions, so a control loop that throws
/// would end while the process went on without it, for instance without
/// renewing its contact. Ending the process is noticed and repaired.
struct end_on_exception {
  /// Logs \p thrown and ends the process when there is one.
  void operator()(const std::exception_ptr& thrown) const;
};

/// The handler to pass to co_spawn.
inline constexpr end_on_exception kEndOnException;

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_TELEMETRY_END_ON_EXCEPTION_H_
