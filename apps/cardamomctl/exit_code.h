#ifndef CARDAMOMYARD_CARDAMOMCTL_EXIT_CODE_H_
#define CARDAMOMYARD_CARDAMOMCTL_EXIT_CODE_H_

namespace cardamomyard::ctl {

/// \brief What the process returns to the shell.
enum exit_code : int { ok = 0, refused = 1, usage = 2, unreachable = 3 };

}  // namespace cardamomyard::ctl

#endif  // CARDAMOMYARD_CARDAMOMCTL_EXIT_CODE_H_
