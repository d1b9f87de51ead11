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

/// \brief Serves requests below /v1/files: uploads, file descriptions and file
/// contents. An account can access only its own files.
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
  boost::asio::awaitable<result<file_manifest>> FindFile(std::string account,
                                                         std::string file_id);
  boost::asio::awaitable<std::optional<error>> SendContent(
      http_exchange& exchange,
      const caller_request& request,
      std::string file_id);
  boost::asio::awaitable<std::optional<error>> SendInput(
      http_exchange& exchange,
      const caller_request& request,
      std::string file_id);
  /// \param errors  sends the failed items instead of the completed ones.
  boost::asio::awaitable<std::optional<error>> SendResults(
      http_exchange& exchange,
      const caller_request& request,
      std::string job_id,
      bool errors);
  boost::asio::awaitable<result<std::string>> ResultLines(job_record job,
                                                          file_manifest file,
                                                          std::size_t group,
                                                          bool errors);
  /// \returns the error that ends a transfer when its key has been withdrawn,
  /// or nothing.
  std::optional<error> KeyWithdrawnError(const caller_request& request) const;

  process_context* context_;
  config_follower* config_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_FILES_API_H_
