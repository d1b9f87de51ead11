#ifndef CARDAMOMYARD_ADMISSION_ADMISSION_POLICY_H_
#define CARDAMOMYARD_ADMISSION_ADMISSION_POLICY_H_

#include <variant>

#include "src/admission/admission_controller.h"
#include "src/admission/first_come_admission.h"

namespace cardamomyard {

/// Admission control of one backend server, with the configured policy. Both
/// types have the same functions, which are called through visitors.
using admission_policy =
    std::variant<admission_controller, first_come_admission>;

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_ADMISSION_POLICY_H_
