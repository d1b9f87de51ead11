#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <cstdio>
#include <filesystem>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;

/// A self-signed certificate and its key in a folder of their own.
class certificate {
 public:
  certificate()
      : folder_(fs::temp_directory_path() /
                ("cardamomyard-tls-" + RandomHex(8))) {
    fs::create_directory(folder_);
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* cert = X509_new();
    X509_set_version(cert, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(cert), 1);
    X509_gmtime_adj(X509_getm_notBefore(cert), -60);
    X509_gmtime_adj(X509_getm_notAfter(cert), 3600);
    X509_set_pubkey(cert, key);
    X509_NAME* name = X509_get_subject_name(cert);
    X509_NAME_add_entry_by_txt(
        name, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>("cardamomyard-test"), -1, -1, 0);
    X509_set_issuer_name(cert, name);
    X509_EXTENSION* authority = X509V3_EXT_conf_nid(
        nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
    X509_add_ext(cert, authority, -1);
    X509_sign(cert, key, EVP_sha256());
    std::FILE* cert_file = std::fopen(certificate_file().c_str(), "w");
    PEM_write_X509(cert_file, cert);
    std::fclose(cert_file);
    std::FILE* key_file = std::fopen(this->key_file().c_str(), "w");
    PEM_write_PrivateKey(key_file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(key_file);
    X509_EXTENSION_free(authority);
    X509_free(cert);
    EVP_PKEY_free(key);
  }
  ~certificate() { fs::remove_all(folder_); }
  certificate(const certificate&) = delete;
  certificate& operator=(const certificate&) = delete;

  std::string certificate_file() const { return folder_ / "cert.pem"; }
  std::string key_file() const { return folder_ / "key.pem"; }
  tls_files WithAuthority(const certificate& authority) const {
    return {certificate_file(), key_file(), authority.certificate_file()};
  }

 private:
  fs::path folder_;
};

class TlsTest : public ::testing::Test {
 protected:
  result<http_response> Call(const tls_files& server_files,
                             std::optional<tls_files> client_files) {
    http_server_options options;
    options.tls = server_files;
    auto server = http_server::Create(
        options, threads_,
        [](http_exchange& exchange) -> asio::awaitable<void> {
          http_response answer = JsonResponse(200, "{}");
          co_await exchange.Send(std::move(answer));
        });
    if (!server) {
      return Fail(server.error());
    }
    (*server)->Start();
    auto client = http_client::Create(std::move(client_files));
    if (!client) {
      return Fail(client.error());
    }
    auto answer = asio::co_spawn(threads_.At(0),
                                 (*client)->Fetch((*server)->address(),
                                                  http_request{}, {}),
                                 asio::use_future)
                      .get();
    // The acceptor refers to the server until the threads have stopped.
    threads_.Stop();
    return answer;
  }

  certificate own_;
  certificate other_;
  thread_pool threads_{1};
};

TEST_F(TlsTest, BothSidesProveThemselves) {
  const auto answer = Call(own_.WithAuthority(own_), own_.WithAuthority(own_));
  ASSERT_TRUE(answer) << answer.error().message();
  EXPECT_EQ(answer->status, 200);
}

// Guards against a process that talks to a server of another authority.
TEST_F(TlsTest, ServerOfAnotherAuthorityIsRefusedBeforeTheRequest) {
  const auto answer =
      Call(own_.WithAuthority(own_), other_.WithAuthority(other_));
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().ran(), outcome::not_run);
}

// Guards against an internal server that accepts a client without a
// certificate.
TEST_F(TlsTest, ClientWithoutCertificateIsRefused) {
  const auto answer = Call(own_.WithAuthority(own_),
                           tls_files{"", "", own_.certificate_file()});
  EXPECT_FALSE(answer);
}

// Guards against a start without TLS when the files cannot be used.
TEST_F(TlsTest, MissingFileIsAnErrorThatNamesIt) {
  const auto answer =
      Call(tls_files{"/nonexistent.pem", own_.key_file(), ""}, std::nullopt);
  ASSERT_FALSE(answer);
  EXPECT_NE(answer.error().message().find("/nonexistent.pem"),
            std::string::npos);
}

}  // namespace
}  // namespace cardamomyard
