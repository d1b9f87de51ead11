#ifndef CARDAMOMYARD_CARDAMOMCTL_SERVER_CALL_H_
#define CARDAMOMYARD_CARDAMOMCTL_SERVER_CALL_H_

// Included only by .cc files: the Boost.JSON headers are slow to compile.

#include <boost/json.hpp>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomctl/command.h"

namespace cardamomyard::ctl {

/// The answer of the server, or the exit code after the failure was printed.
using server_answer = std::variant<boost::json::value, int>;

/// \brief Calls the server and prints a refusal or a failure.
server_answer CallServer(invocation& call,
                         const std::string& method,
                         const std::string& target,
                         const std::string& body = "");

/// \brief Calls the server and prints its answer, as JSON or by \p print.
int CallAndPrint(
    invocation& call,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    const std::function<void(const boost::json::value&, std::ostream&)>& print);

/// \returns a field as text; "" when it is absent or null.
std::string Field(const boost::json::value& from, const char* name);

/// Prints the named fields of a list of objects in aligned columns.
void PrintTable(const boost::json::value& list,
                const std::vector<const char*>& fields,
                std::ostream& out);

/// Prints the strings of the array field \p name, one a line.
void PrintLines(const boost::json::value& from,
                const char* name,
                std::ostream& out);

}  // namespace cardamomyard::ctl

#endif  // CARDAMOMYARD_CARDAMOMCTL_SERVER_CALL_H_
