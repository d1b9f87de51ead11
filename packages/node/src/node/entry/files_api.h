#ifndef CARDAMOMYARD_NODE_ENTRY_FILES_API_H_
#define CARDAMOMYARD_NODE_ENTRY_FILES_API_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "cardamomyard/batch.h"
#include "src/node/config_follower.h"
#include "src/node/entry/caller.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief Answers requests below /v1/files: uploads, file descriptions and file
/// contents, each only for the owning account.
class files_api {
 public:
  files_api(process_context& context, config_follower& config);

  boost::asio::awaitable<void> Handle(http_exchange& exchange,
                                      caller_request request);

 private:
  boost::asio::awaitable<result<std::string>> Upload(
      http_exchange& exchange,
      const caller_request& request);
  boost::asio::awaitable<result<void>> StoreChunks(
      std::vector<upload_chunk> chunks);
  boost::asio::awaitable<result<file_manifest>> Find(std::string account,
                                                     std::string file_id);
  boost::asio::awaitable<std::optional<error>> SendContent(
      http_exchange& exchange,
      const caller_request& request,
      std::string file_id);
  boost::asio::awaitable<std::optional<error>> SendInput(
      http_exchange& exchange,
      const caller_request& request,
      std::string file_id);
  /// \param errors  the failed items instead of the completed ones.
  boost::asio::awaitable<std::optional<error>> SendResults(
      http_exchange& exchange,
      const caller_request& request,
      std::string job_id,
      bool errors);
  boost::asio::awaitable<result<std::string>> GroupLines(job_record job,
                                                         file_manifest file,
                                                         std::size_t group,
                                                         bool errors);
  /// \returns why a long transfer must end, or nothing.
  std::optional<error> Withdrawn(const caller_request& request) const;

  process_context* context_;
  config_follower* config_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_FILES_API_H_
