#include <iostream>
#include <iterator>

#include "cardamomctl/server_call.h"

namespace cardamomyard::ctl {
namespace json = boost::json;
namespace {

void PrintChange(const json::value& answer, std::ostream& out) {
  PrintLines(answer, "changes", out);
  out << "generation " << Field(answer, "generation") << "\n";
}

int List(invocation& call, const std::string& collection) {
  return CallAndPrint(
      call, "GET", "/admin/v1/" + collection, "",
      [](const json::value& answer, std::ostream& out) {
        PrintTable(answer.at("data"), {"name", "origin", "file", "value"}, out);
      });
}

int Get(invocation& call, const std::string& collection) {
  return CallAndPrint(
      call, "GET",
      "/admin/v1/" + collection + "/" + PercentEncode(call.arguments[0]), "",
      [](const json::value& answer, std::ostream& out) {
        out << json::serialize(answer.at("value")) << "\n";
      });
}

int Put(invocation& call, const std::string& collection) {
  std::string body = call.arguments[1];
  if (body == "-") {
    body.assign(std::istreambuf_iterator<char>(std::cin), {});
  }
  return CallAndPrint(
      call, "PUT",
      "/admin/v1/" + collection + "/" + PercentEncode(call.arguments[0]), body,
      PrintChange);
}

int Delete(invocation& call, const std::string& collection) {
  return CallAndPrint(
      call, "DELETE",
      "/admin/v1/" + collection + "/" + PercentEncode(call.arguments[0]), "",
      PrintChange);
}

using entity_action = int (*)(invocation&, const std::string&);

template <entity_action kAction>
int Accounts(invocation& call) {
  return kAction(call, "accounts");
}
template <entity_action kAction>
int Routes(invocation& call) {
  return kAction(call, "routes");
}
template <entity_action kAction>
int Models(invocation& call) {
  return kAction(call, "models");
}
template <entity_action kAction>
int Services(invocation& call) {
  return kAction(call, "services");
}

constexpr const char* kListHelp =
    "Lists the entities with their origin: the folder's file, or the API.";
constexpr const char* kGetHelp = "Prints one entity as JSON.";
constexpr const char* kPutHelp =
    "Creates or replaces one entity that is not in the folder. JSON has the\n"
    "keys of the folder; - reads it from standard input.";
constexpr const char* kDeleteHelp =
    "Removes one entity that is not in the folder.";

}  // namespace

std::vector<verb> EntityVerbs() {
  return {
      {"accounts list", "", kListHelp, 0, 0, false, Accounts<List>},
      {"accounts get", "NAME", kGetHelp, 1, 1, false, Accounts<Get>},
      {"accounts put", "NAME JSON", kPutHelp, 2, 2, false, Accounts<Put>},
      {"accounts delete", "NAME", kDeleteHelp, 1, 1, false, Accounts<Delete>},
      {"routes list", "", kListHelp, 0, 0, false, Routes<List>},
      {"routes get", "NAME", kGetHelp, 1, 1, false, Routes<Get>},
      {"routes put", "NAME JSON", kPutHelp, 2, 2, false, Routes<Put>},
      {"routes delete", "NAME", kDeleteHelp, 1, 1, false, Routes<Delete>},
      {"models list", "", kListHelp, 0, 0, false, Models<List>},
      {"models get", "NAME", kGetHelp, 1, 1, false, Models<Get>},
      {"models put", "NAME JSON", kPutHelp, 2, 2, false, Models<Put>},
      {"models delete", "NAME", kDeleteHelp, 1, 1, false, Models<Delete>},
      {"services list", "", kListHelp, 0, 0, false, Services<List>},
      {"services get", "NAME", kGetHelp, 1, 1, false, Services<Get>},
      {"services put", "NAME JSON", kPutHelp, 2, 2, false, Services<Put>},
      {"services delete", "NAME", kDeleteHelp, 1, 1, false, Services<Delete>},
  };
}

}  // namespace cardamomyard::ctl
