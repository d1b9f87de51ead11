#include <string_view>

#include "cardamomctl/server_call.h"

namespace cardamomyard::ctl {
namespace json = boost::json;
namespace {

/// \returns "?a=1&b=2" of the flags that are given.
std::string Query(
    const invocation& call,
    const std::vector<std::pair<const char*, const char*>>& flags) {
  std::string query;
  for (const auto& [flag, name] : flags) {
    if (const std::string value = call.Flag(flag); !value.empty()) {
      query += query.empty() ? "?" : "&";
      query += std::string(name) + "=" + PercentEncode(value);
    }
  }
  return query;
}

int List(invocation& call) {
  const std::string query = Query(call, {{"account", "account"},
                                         {"limit", "limit"},
                                         {"start-after", "start_after"}});
  return CallAndPrint(
      call, "GET", "/admin/v1/batches" + query, "",
      [](const json::value& answer, std::ostream& out) {
        PrintTable(answer.at("data"),
                   {"id", "account", "state", "items", "completed", "failed",
                    "cancelled", "created"},
                   out);
        if (answer.at("more").as_bool()) {
          out << "More: --start-after " << Field(answer, "last") << "\n";
        }
      });
}

int Get(invocation& call) {
  return CallAndPrint(
      call, "GET", "/admin/v1/batches/" + PercentEncode(call.arguments[0]), "",
      [](const json::value& answer, std::ostream& out) {
        for (const auto& member : answer.as_object()) {
          const std::string name(member.key());
          out << name << ": " << Field(answer, name.c_str()) << "\n";
        }
      });
}

/// The answer has one JSON object a line, so it is not parsed as a whole.
int Items(invocation& call) {
  const auto answer =
      call.client->Call("GET", "/admin/v1/batches/" +
                                   PercentEncode(call.arguments[0]) + "/items");
  if (!answer) {
    *call.err << "cardamomctl: " << answer.error().message() << "\n";
    return unreachable;
  }
  if (answer->status != 200) {
    const error refusal = ParseErrorBody(answer->status, answer->body);
    *call.err << "cardamomctl: " << ToString(refusal.kind()) << ": "
              << refusal.message() << "\n";
    return refused;
  }
  *call.out << answer->body;
  return ok;
}

int Cancel(invocation& call) {
  return CallAndPrint(
      call, "POST",
      "/admin/v1/batches/" + PercentEncode(call.arguments[0]) + "/cancel", "",
      [](const json::value& answer, std::ostream& out) {
        out << json::serialize(answer) << "\n";
      });
}

int Report(invocation& call) {
  for (const char* flag : {"account", "from", "to"}) {
    if (call.Flag(flag).empty()) {
      *call.err << "cardamomctl: --" << flag << " is required\n";
      return usage;
    }
  }
  const std::string query =
      Query(call, {{"account", "account"}, {"from", "from"}, {"to", "to"}});
  return CallAndPrint(
      call, "GET", "/admin/v1/report" + query, "",
      [](const json::value& answer, std::ostream& out) {
        out << "Batch jobs\n";
        PrintTable(answer.at("batches"),
                   {"id", "created", "state", "items", "completed", "failed",
                    "cancelled", "prompt_tokens", "completion_tokens"},
                   out);
        out << "\nOnline requests\n";
        PrintTable(answer.at("online"),
                   {"day", "key", "target", "completed", "not_run", "ran",
                    "may_have_run", "prompt_tokens", "completion_tokens"},
                   out);
      });
}

}  // namespace

std::vector<verb> BatchVerbs() {
  return {
      {"batches list", "[--account NAME] [--limit N] [--start-after ID]",
       "Lists batch jobs page by page. A page covers N jobs of all accounts.",
       0, 0, false, List},
      {"batches get", "ID", "Shows one batch job.", 1, 1, false, Get},
      {"batches items", "ID",
       "Prints the account of each item as one line of JSON: position,\n"
       "custom id, state, attempts, tokens and where the result is.",
       1, 1, false, Items},
      {"batches cancel", "ID", "Cancels a batch job.", 1, 1, false, Cancel},
      {"report", "--account NAME --from DAY --to DAY",
       "Shows the batch jobs created and the online requests made in a span\n"
       "of UTC days, both ends included.",
       0, 0, false, Report},
  };
}

}  // namespace cardamomyard::ctl
