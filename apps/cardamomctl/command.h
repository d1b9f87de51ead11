#ifndef CARDAMOMYARD_CARDAMOMCTL_COMMAND_H_
#define CARDAMOMYARD_CARDAMOMCTL_COMMAND_H_

#include <iosfwd>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "cardamomctl/admin_client.h"
#include "cardamomctl/exit_code.h"

namespace cardamomyard::ctl {

/// \brief A verb as the operator gave it, with the means to run it.
struct invocation {
  std::vector<std::string> arguments;  ///< After the words of the verb.
  std::map<std::string, std::string> flags;
  bool json = false;
  std::string author;
  admin_client* client = nullptr;  ///< Null for verbs that work offline.
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;

  std::string Flag(const std::string& name) const;
};

/// \brief One verb of the tool.
struct verb {
  const char* name;       ///< For instance "config apply".
  const char* arguments;  ///< For instance "DIR".
  const char* help;
  std::size_t min_arguments;
  std::size_t max_arguments;
  bool offline;
  int (*run)(invocation& call);
};

// The verbs by resource.
std::vector<verb> ConfigVerbs();
std::vector<verb> EntityVerbs();
std::vector<verb> KeyVerbs();
std::vector<verb> FleetVerbs();
std::vector<verb> BatchVerbs();
std::vector<verb> LogVerbs();

/// \brief Runs the tool. \returns the exit code.
int RunCommand(int argc,
               const char* const* argv,
               std::ostream& out,
               std::ostream& err);

}  // namespace cardamomyard::ctl

#endif  // CARDAMOMYARD_CARDAMOMCTL_COMMAND_H_
