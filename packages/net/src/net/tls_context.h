#ifndef CARDAMOMYARD_NET_TLS_CONTEXT_H_
#define CARDAMOMYARD_NET_TLS_CONTEXT_H_

#include <boost/asio/ssl/context.hpp>
#include <memory>

#include "src/net/http_server.h"

namespace cardamomyard::internal {

/// \returns a server context with certificate and key; it asks for client
/// certificates when a CA file is set.
result<std::shared_ptr<boost::asio::ssl::context>> MakeServerTls(
    const tls_files& files);

/// \returns a client context that checks the server against the CA file.
result<std::shared_ptr<boost::asio::ssl::context>> MakeClientTls(
    const tls_files& files);

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_NET_TLS_CONTEXT_H_
