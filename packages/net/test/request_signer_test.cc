#include <gtest/gtest.h>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

http_request SignedRequest(const request_signer& signer) {
  http_request request;
  request.method = "POST";
  request.target = "/internal/heartbeat";
  request.headers.Set("X-Cardamomyard-Account", "acme");
  request.body = "payload";
  signer.Sign(request);
  return request;
}

// Guards against internal requests that are forged, altered or replayed late.
TEST(RequestSignerTest, AcceptsOnlyUnalteredRecentRequests) {
  manual_clock time;
  const auto signer = *request_signer::Create("0123456789abcdef", time);
  const auto other = *request_signer::Create("fedcba9876543210", time);
  const http_request good = SignedRequest(signer);
  EXPECT_TRUE(signer.Verify(good));
  EXPECT_FALSE(other.Verify(good));
  EXPECT_FALSE(signer.Verify(http_request{}));

  http_request altered = good;
  altered.body = "other";
  EXPECT_FALSE(signer.Verify(altered));
  altered = good;
  altered.headers.Set("X-Cardamomyard-Account", "rival");
  EXPECT_FALSE(signer.Verify(altered));

  time.Advance(std::chrono::seconds(31));
  EXPECT_FALSE(signer.Verify(good));
}

TEST(RequestSignerTest, ShortSecretIsRefused) {
  const manual_clock time;
  EXPECT_FALSE(request_signer::Create("short", time));
}

TEST(TargetTest, SplitsAndDecodes) {
  const auto target = ParseTarget("/v1/files/a%2Fb?limit=5&after=x%20y");
  ASSERT_EQ(target.segments.size(), 3U);
  EXPECT_EQ(target.segments[2], "a/b");
  EXPECT_EQ(target.Query("after"), "x y");
  EXPECT_EQ(ParseTarget("/a+b?a+b=c+d%2Be").segments[0], "a+b");
  EXPECT_EQ(ParseTarget("/a+b?a+b=c+d%2Be").Query("a b"), "c d+e");
  EXPECT_EQ(EncodeKeyPath("batch/job/a b"), "batch/job/a%20b");
}

// Guards against a name that ends a path or a parameter, or that means another
// object once it is decoded.
TEST(TargetTest, NamesOfAnyBytesArriveAsTheyAre) {
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) {
    bytes.push_back(static_cast<char>(byte));
  }
  for (const std::string& name :
       {bytes, std::string("a&b=c+d#e%20f g?h/i"), std::string("%")}) {
    const std::string target =
        MakeTarget({"v1", name, "status"}, {{"after", name}, {name, "1"}});
    EXPECT_TRUE(CheckTarget(target)) << target;
    const request_target read = ParseTarget(target);
    EXPECT_EQ(read.segments, (std::vector<std::string>{"v1", name, "status"}));
    EXPECT_EQ(read.Query("after"), name);
    EXPECT_EQ(read.Query(name), "1");
  }
  EXPECT_EQ(MakeTarget({"a", "..", "."}), "/a/%2E%2E/%2E");
}

TEST(HostAddressTest, RefusesNamesAndBadPorts) {
  EXPECT_TRUE(host_address::Parse("127.0.0.1:80"));
  EXPECT_TRUE(host_address::Parse("[::1]:80"));
  EXPECT_FALSE(host_address::Parse("localhost:80"));
  EXPECT_FALSE(host_address::Parse("127.0.0.1:70000"));
  EXPECT_FALSE(host_address::Parse("127.0.0.1"));
}

}  // namespace
}  // namespace cardamomyard
