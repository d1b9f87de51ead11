#ifndef CARDAMOMYARD_ADMISSION_H_
#define CARDAMOMYARD_ADMISSION_H_

/// \file
/// Public header of the package admission: admission of online and batch
/// requests to one backend server, leases for engine orders, load slots.

#include "src/admission/admission_controller.h"
#include "src/admission/admission_policy.h"
#include "src/admission/capacity_estimator.h"
#include "src/admission/fair_queue.h"
#include "src/admission/first_come_admission.h"
#include "src/admission/load_slots.h"
#include "src/admission/naive_admission.h"
#include "src/admission/order_guard.h"

#endif  // CARDAMOMYARD_ADMISSION_H_
