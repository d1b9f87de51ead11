#include "src/net/tls_context.h"

namespace cardamomyard::internal {
namespace ssl = boost::asio::ssl;
namespace {

using context_result = result<std::shared_ptr<ssl::context>>;

tl::unexpected<error> TlsFailure(const std::string& file,
                                 const boost::system::error_code& code) {
  return Fail(error_kind::invalid_request,
              "cannot use TLS file " + file + ": " + code.message());
}

result<void> LoadIdentity(ssl::context& context, const tls_files& files) {
  boost::system::error_code code;
  context.use_certificate_chain_file(files.certificate_file, code);
  if (code) {
    return TlsFailure(files.certificate_file, code);
  }
  context.use_private_key_file(files.key_file, ssl::context::pem, code);
  if (code) {
    return TlsFailure(files.key_file, code);
  }
  return {};
}

result<void> LoadAuthority(ssl::context& context, const tls_files& files) {
  boost::system::error_code code;
  context.load_verify_file(files.ca_file, code);
  if (code) {
    return TlsFailure(files.ca_file, code);
  }
  context.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
  return {};
}

}  // namespace

context_result MakeServerTls(const tls_files& files) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  context->set_options(ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
  if (auto loaded = LoadIdentity(*context, files); !loaded) {
    return Fail(loaded.error());
  }
  if (!files.ca_file.empty()) {
    if (auto loaded = LoadAuthority(*context, files); !loaded) {
      return Fail(loaded.error());
    }
  }
  return context;
}

context_result MakeClientTls(const tls_files& files) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls_client);
  context->set_options(ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
  if (auto loaded = LoadAuthority(*context, files); !loaded) {
    return Fail(loaded.error());
  }
  if (!files.certificate_file.empty()) {
    if (auto loaded = LoadIdentity(*context, files); !loaded) {
      return Fail(loaded.error());
    }
  }
  return context;
}

}  // namespace cardamomyard::internal
