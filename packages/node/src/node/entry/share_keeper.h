#ifndef CARDAMOMYARD_NODE_ENTRY_SHARE_KEEPER_H_
#define CARDAMOMYARD_NODE_ENTRY_SHARE_KEEPER_H_

#include <map>
#include <string>
#include <vector>

#include "cardamomyard/limits.h"
#include "src/node/config_follower.h"

namespace cardamomyard {

/// \returns the limits of all client accounts, and of the open routes as
/// "route/<name>".
limits_snapshot LimitsOf(const configuration& content);

/// \brief Passes share tables, limits and the versions that other hosts have
/// acknowledged to the limiter of an entry host. All functions but limiter()
/// run on the control thread.
class share_keeper {
 public:
  /// \param increase_delay  the contact window plus the longest loan.
  share_keeper(std::string self, const clock& time, duration increase_delay);

  account_limiter& limiter() { return limiter_; }

  void SetTable(const share_table& table, table_origin origin);
  void SetConfig(const config_view& view);
  /// Records that \p host has this configuration generation and table epoch.
  void RecordAcknowledgement(const std::string& host,
                             std::uint64_t generation,
                             std::uint64_t epoch);

 private:
  struct acknowledged_versions {
    std::uint64_t generation = 0;
    std::uint64_t epoch = 0;
  };

  void ApplyConfig();
  void ConfirmAcknowledged();
  acknowledged_versions AcknowledgedByMajority(
      const std::vector<std::string>& hosts) const;

  std::string self_;
  const clock* clock_;
  account_limiter limiter_;
  share_table table_;
  std::vector<std::string> previous_hosts_;
  std::uint64_t generation_ = 0;
  std::shared_ptr<const limits_snapshot> limits_;
  std::map<std::string, acknowledged_versions> acknowledged_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_SHARE_KEEPER_H_
