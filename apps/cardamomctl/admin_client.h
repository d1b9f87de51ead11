#ifndef CARDAMOMYARD_CARDAMOMCTL_ADMIN_CLIENT_H_
#define CARDAMOMYARD_CARDAMOMCTL_ADMIN_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "cardamomyard/net.h"

namespace cardamomyard::ctl {

/// \brief Client of the administration API of one or more entry hosts.
class admin_client {
 public:
  struct options {
    std::vector<host_address> servers;
    std::string token;
    std::string author;
    std::string ca_file;  ///< Set for TLS.
  };

  static result<std::unique_ptr<admin_client>> Create(options settings);

  /// \brief Sends a request and waits for its answer.
  ///
  /// The next server is tried when the request surely did not run, and a read
  /// also after any other failure of the connection.
  /// \returns the answer of whatever status, or why no server answered.
  result<http_response> Call(const std::string& method,
                             const std::string& target,
                             const std::string& body = "");

 private:
  admin_client(options settings, std::unique_ptr<http_client> http);

  options options_;
  thread_pool threads_{1};
  std::unique_ptr<http_client> http_;  ///< Destroyed before its threads.
};

}  // namespace cardamomyard::ctl

#endif  // CARDAMOMYARD_CARDAMOMCTL_ADMIN_CLIENT_H_
