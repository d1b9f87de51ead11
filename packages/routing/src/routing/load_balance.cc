#include "src/routing/load_balance.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace cardamomyard {
namespace {

struct filled_server {
  std::size_t position = 0;
  double level = 0;  ///< Load for each unit of capacity.
  double capacity = 1;
};

/// \returns the level up to which \p requests fill the servers, lowest first.
/// \param servers  sorted by level.
double FillLevel(const std::vector<filled_server>& servers, double requests) {
  double capacity = 0;
  double level = servers.front().level;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const double next = servers[i].level;
    const double room = capacity * (next - level);
    if (room >= requests) {
      break;
    }
    requests -= room;
    level = next;
    capacity += servers[i].capacity;
  }
  return level + requests / capacity;
}

}  // namespace

std::optional<std::size_t> ChooseEvenly(std::span<const server_load> servers,
                                        const report_age& reports,
                                        std::mt19937_64& random) {
  if (servers.empty()) {
    return std::nullopt;
  }
  using seconds = std::chrono::duration<double>;
  const double service_time =
      std::max(1e-3, seconds(reports.service_time).count());
  const double age = std::max(0.0, seconds(reports.age).count());
  const double still_running = std::exp(-age / service_time);
  double reported = 0;
  std::vector<filled_server> filled;
  filled.reserve(servers.size());
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const server_load& server = servers[i];
    reported += server.reported;
    filled.push_back(
        {i,
         (server.own + server.reported * still_running) / server.capacity +
             server.handicap,
         server.capacity});
  }
  std::sort(filled.begin(), filled.end(),
            [](const auto& a, const auto& b) { return a.level < b.level; });
  // In a steady state as many requests are placed as end.
  const double placed_since = reported * (1 - still_running);
  const double top = FillLevel(filled, placed_since + 1);
  double remaining =
      std::uniform_real_distribution<double>(0, placed_since + 1)(random);
  for (const filled_server& server : filled) {
    remaining -= server.capacity * (top - server.level);
    if (remaining < 0) {
      return server.position;
    }
  }
  return filled.front().position;
}

}  // namespace cardamomyard
