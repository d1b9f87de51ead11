#ifndef CARDAMOMYARD_NODE_ENTRY_TABLE_KEEPER_H_
#define CARDAMOMYARD_NODE_ENTRY_TABLE_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/membership.h"
#include "src/node/host_list_client.h"
#include "src/node/process_context.h"
#include "src/node/share_table_follower.h"
#include "src/node/store_contact.h"

namespace cardamomyard {

/// \brief Creates the share table, adds this host to it and removes lost hosts
/// from it. Runs on the control thread.
class table_keeper {
 public:
  /// \param request_agreement  asks all hosts of the table to agree to the
  /// removal of a host; their agreements are passed to RecordAgreement().
  table_keeper(
      process_context& context,
      share_table_follower& table,
      const host_view& peers,
      const store_contact& store,
      std::function<void(const std::string& candidate)> request_agreement);

  void OnHostList(const std::vector<listed_host>& hosts);
  /// \returns whether \p host has been silent for long enough to be removed.
  bool IsLost(const std::string& host) const;
  /// Records that \p host agreed to the removal while \p epoch was in force.
  void RecordAgreement(const std::string& host,
                       const std::string& candidate,
                       std::uint64_t epoch);
  /// Maintains the table until the process stops.
  boost::asio::awaitable<void> Run();

 private:
  boost::asio::awaitable<void> CreateTable();
  boost::asio::awaitable<void> RemoveLostHost();
  boost::asio::awaitable<void> WriteTable(result<share_table> next);

  process_context* context_;
  share_table_follower* table_;
  const host_view* peers_;
  const store_contact* store_;
  std::function<void(const std::string&)> request_agreement_;
  time_point started_;
  std::mt19937_64 random_;
  bool host_list_received_ = false;
  std::vector<std::string> listed_hosts_;
  std::uint64_t agreement_epoch_ = 0;
  std::string candidate_;
  std::map<std::string, time_point> agreements_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_TABLE_KEEPER_H_
