#ifndef CARDAMOMYARD_BASE_RESULT_H_
#define CARDAMOMYARD_BASE_RESULT_H_

#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "src/base/error.h"

namespace cardamomyard {

/// \brief A value or an error of the closed list.
template <class T>
using result = tl::expected<T, error>;

/// \returns the failed result of an error with the default outcome of \p kind.
inline tl::unexpected<error> Fail(error_kind kind, std::string message) {
  return tl::unexpected<error>(error::Make(kind, std::move(message)));
}

/// \returns the failed result that carries \p cause.
inline tl::unexpected<error> Fail(error cause) {
  return tl::unexpected<error>(std::move(cause));
}

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BASE_RESULT_H_
