#include "load_report.h"

#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace cardamomyard::loadgen {
namespace json = boost::json;

namespace {

json::object Percentiles(const std::vector<double>& sorted) {
  json::object figures;
  figures["count"] = sorted.size();
  figures["p50"] = Percentile(sorted, 0.5);
  figures["p95"] = Percentile(sorted, 0.95);
  figures["p99"] = Percentile(sorted, 0.99);
  figures["max"] = sorted.empty() ? 0 : sorted.back();
  return figures;
}

json::object Counts(const std::map<std::string, std::uint64_t>& counts) {
  json::object object;
  for (const auto& [name, count] : counts) {
    object[name] = count;
  }
  return object;
}

}  // namespace

std::string FormatTable(const load_profile& profile,
                        const std::vector<caller_summary>& summaries) {
  std::string table =
      "caller               sent complete  refused    first token ms p50 p95 "
      "p99       gap ms p50 p95 p99\n";
  for (std::size_t i = 0; i < summaries.size(); ++i) {
    const caller_summary& each = summaries[i];
    std::array<char, 256> row{};
    std::snprintf(
        row.data(), row.size(),
        "%-16.16s %8llu %8llu %8llu    %8.2f %8.2f %8.2f    %8.2f %8.2f "
        "%8.2f\n",
        profile.callers[i].name.c_str(),
        static_cast<unsigned long long>(each.sent),
        static_cast<unsigned long long>(each.complete),
        static_cast<unsigned long long>(each.outcomes.contains("not_run")
                                            ? each.outcomes.at("not_run")
                                            : 0),
        Percentile(each.first_token_ms, 0.5),
        Percentile(each.first_token_ms, 0.95),
        Percentile(each.first_token_ms, 0.99), Percentile(each.gaps_ms, 0.5),
        Percentile(each.gaps_ms, 0.95), Percentile(each.gaps_ms, 0.99));
    table += row.data();
  }
  return table;
}

std::string FormatJson(const load_profile& profile,
                       const std::vector<caller_summary>& summaries) {
  json::array callers;
  for (std::size_t i = 0; i < summaries.size(); ++i) {
    const caller_summary& each = summaries[i];
    json::object entry;
    entry["name"] = profile.callers[i].name;
    entry["account"] = profile.callers[i].account;
    entry["sent"] = each.sent;
    entry["complete"] = each.complete;
    entry["skipped"] = each.skipped;
    entry["tokens"] = each.tokens;
    entry["retry_after"] = each.retry_after;
    json::object statuses;
    for (const auto& [status, count] : each.statuses) {
      statuses[std::to_string(status)] = count;
    }
    entry["statuses"] = std::move(statuses);
    entry["errors"] = Counts(each.errors);
    entry["outcomes"] = Counts(each.outcomes);
    entry["first_token_ms"] = Percentiles(each.first_token_ms);
    entry["gap_ms"] = Percentiles(each.gaps_ms);
    entry["total_ms"] = Percentiles(each.total_ms);
    callers.push_back(std::move(entry));
  }
  json::object report;
  report["seconds"] = profile.seconds;
  report["seed"] = profile.seed;
  report["callers"] = std::move(callers);
  return json::serialize(report);
}

}  // namespace cardamomyard::loadgen
