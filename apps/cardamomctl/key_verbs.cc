#include "cardamomctl/server_call.h"

namespace cardamomyard::ctl {
namespace json = boost::json;
namespace {

int Create(invocation& call) {
  const json::object body{{"id", call.arguments[0]},
                          {"account", call.arguments[1]}};
  return CallAndPrint(call, "POST", "/admin/v1/keys", json::serialize(body),
                      [](const json::value& answer, std::ostream& out) {
                        out << Field(answer, "key") << "\n";
                      });
}

int Withdraw(invocation& call) {
  return CallAndPrint(
      call, "POST",
      "/admin/v1/keys/" + PercentEncode(call.arguments[0]) + "/withdraw", "",
      [](const json::value& answer, std::ostream& out) {
        out << "Key " << Field(answer, "id")
            << " is withdrawn since generation " << Field(answer, "generation")
            << ".\n";
      });
}

int List(invocation& call) {
  return CallAndPrint(call, "GET", "/admin/v1/keys", "",
                      [](const json::value& answer, std::ostream& out) {
                        PrintTable(answer.at("data"),
                                   {"id", "account", "withdrawn", "origin"},
                                   out);
                      });
}

}  // namespace

std::vector<verb> KeyVerbs() {
  return {
      {"keys create", "ID ACCOUNT",
       "Creates a key and prints it. It can't be shown a second time.", 2, 2,
       false, Create},
      {"keys withdraw", "ID",
       "Withdraws a key for good, also one of the folder. Running streams of\n"
       "the key end within seconds.",
       1, 1, false, Withdraw},
      {"keys list", "", "Lists the keys without their texts.", 0, 0, false,
       List},
  };
}

}  // namespace cardamomyard::ctl
