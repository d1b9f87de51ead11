#include "cardamomctl/server_call.h"

namespace cardamomyard::ctl {
namespace json = boost::json;
namespace {

int Backends(invocation& call) {
  return CallAndPrint(
      call, "GET", "/admin/v1/backends", "",
      [](const json::value& answer, std::ostream& out) {
        PrintTable(
            answer.at("data"),
            {"id", "deployment", "zone", "address", "state", "queue", "running",
             "batch_running", "step_us", "heard_ms_ago", "generation"},
            out);
      });
}

int Limits(invocation& call) {
  return CallAndPrint(
      call, "GET", "/admin/v1/limits", "",
      [](const json::value& answer, std::ostream& out) {
        PrintTable(answer.at("accounts"),
                   {"account", "rate_per_second", "burst", "weight", "homes"},
                   out);
        if (!answer.at("open_routes").as_array().empty()) {
          out << "\n";
          PrintTable(answer.at("open_routes"),
                     {"route", "rate_per_second", "burst"}, out);
        }
      });
}

int Status(invocation& call) {
  return CallAndPrint(
      call, "GET", "/admin/v1/status", "",
      [](const json::value& answer, std::ostream& out) {
        PrintTable(answer.at("processes"),
                   {"id", "role", "generation", "heard_ms_ago", "error"}, out);
      });
}

}  // namespace

std::vector<verb> FleetVerbs() {
  return {
      {"backends", "",
       "Lists the backend servers as their last heartbeats show them.", 0, 0,
       false, Backends},
      {"limits", "",
       "Lists rate and burst of each client account and open route.", 0, 0,
       false, Limits},
      {"status", "", "Shows the configuration generation on each process.", 0,
       0, false, Status},
  };
}

}  // namespace cardamomyard::ctl
