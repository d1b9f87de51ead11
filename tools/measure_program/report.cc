#include "report.h"

#include <boost/json.hpp>
#include <cstdio>
#include <string_view>

namespace cardamomyard::measure {
namespace json = boost::json;
namespace {

struct figure {
  const char* name;
  double policy_figures::*value;
};

constexpr figure kFigures[] = {
    {"online_p99_ratio", &policy_figures::online_p99_ratio},
    {"batch_share", &policy_figures::batch_share},
    {"worst_account", &policy_figures::worst_account},
    {"wrongful_refusals", &policy_figures::wrongful_refusals},
    {"overrun", &policy_figures::overrun},
    {"control_bytes_per_s", &policy_figures::control_bytes_per_s},
    {"control_cpu", &policy_figures::control_cpu},
};

constexpr figure kDetails[] = {
    {"p99 first token alone, ms", &policy_figures::p99_alone_ms},
    {"p99 first token + batch, ms", &policy_figures::p99_with_batch_ms},
    {"same, inside rate, alone, ms", &policy_figures::p99_alone_inside_ms},
    {"same, inside rate + batch, ms",
     &policy_figures::p99_with_batch_inside_ms},
    {"batch tokens/s", &policy_figures::batch_tokens_per_s},
    {"online tokens/s", &policy_figures::online_tokens_per_s},
    {"remainder tokens/s", &policy_figures::remainder_tokens_per_s},
    {"entry host VmRSS, MB", &policy_figures::entry_mb},
    {"sidecar VmRSS, MB", &policy_figures::sidecar_mb},
};

struct bound {
  bool exists = false;
  bool at_most = false;
  double value = 0;
};

bound BoundOf(std::string_view name, const targets& bounds) {
  if (name == "online_p99_ratio") {
    return {true, true, bounds.online_p99_ratio};
  }
  if (name == "batch_share") {
    return {true, false, bounds.batch_share};
  }
  if (name == "worst_account") {
    return {true, false, bounds.worst_account};
  }
  if (name == "wrongful_refusals") {
    return {true, true, bounds.wrongful_refusals};
  }
  if (name == "overrun") {
    return {true, true, bounds.overrun};
  }
  return {};
}

std::string Row(const figure& shown,
                const customer_figures& figures,
                const bound& limit) {
  char text[160];
  const double value = figures.adaptive.*shown.value;
  std::snprintf(text, sizeof(text), "%-30s %12.4f %12.4f", shown.name, value,
                figures.naive.*shown.value);
  std::string row = text;
  if (limit.exists) {
    const bool held =
        limit.at_most ? value <= limit.value : value >= limit.value;
    std::snprintf(text, sizeof(text), "   %s %-6g %s",
                  limit.at_most ? "<=" : ">=", limit.value,
                  held ? "held" : "MISSED");
    row += text;
  }
  return row + "\n";
}

}  // namespace

std::string FormatTable(const customer_figures& figures) {
  std::string table = figures.who.name + "\n";
  table +=
      "                                   adaptive        naive   target\n";
  for (const figure& each : kFigures) {
    table += Row(each, figures, BoundOf(each.name, figures.who.bounds));
  }
  for (const figure& each : kDetails) {
    table += Row(each, figures, {});
  }
  if (figures.faults) {
    table += "with faults: overrun " + std::to_string(figures.faults->overrun) +
             ", items accepted " +
             std::to_string(figures.faults->accepted_items) + ", lost " +
             std::to_string(figures.faults->lost_items) + ", doubled " +
             std::to_string(figures.faults->doubled_items) +
             (figures.faults->jobs_ended ? "" : ", JOBS DID NOT END") + "\n";
  }
  return table;
}

std::string FormatJson(const std::vector<customer_figures>& all) {
  json::object root;
  for (const customer_figures& each : all) {
    json::object object;
    for (const figure& shown : kFigures) {
      object[shown.name] = each.adaptive.*shown.value;
    }
    for (const figure& shown : kFigures) {
      object[std::string("naive_") + shown.name] = each.naive.*shown.value;
    }
    if (each.faults) {
      object["faults_overrun"] = each.faults->overrun;
      object["faults_accepted_items"] = each.faults->accepted_items;
      object["faults_lost_items"] = each.faults->lost_items;
      object["faults_doubled_items"] = each.faults->doubled_items;
      object["faults_jobs_ended"] = each.faults->jobs_ended;
    }
    root[each.who.name] = std::move(object);
  }
  return json::serialize(root);
}

}  // namespace cardamomyard::measure
