#include "cardamomyard/keys.h"

#include <gtest/gtest.h>

#include <utility>

namespace cardamomyard {
namespace {

using query_map = std::map<std::string, std::string>;

configuration WithKeys(const new_key& good, const new_key& other) {
  const std::string account =
      "rate_per_second = 1\nburst = 1\nweight = 1\nmodels = []\n";
  const auto parsed = ParseFolder(
      {{"a.toml", "[account.acme]\n" + account + "[account.beta]\n" + account +
                      "[key." + good.id + "]\naccount = \"acme\"\nsha256 = \"" +
                      good.sha256 + "\"\nwithdrawn = false\n[key." + other.id +
                      "]\naccount = \"beta\"\nsha256 = \"" + other.sha256 +
                      "\"\nwithdrawn = false\n"}});
  EXPECT_TRUE(parsed) << parsed.error().front().ToString();
  return parsed.value();
}

header_list Headers(
    std::initializer_list<std::pair<std::string, std::string>> fields) {
  header_list list;
  for (const auto& [name, value] : fields) {
    list.Add(name, value);
  }
  return list;
}

// A key must not give access to another account, and a text that differs from a
// key in one digit must not be accepted.
TEST(KeysTest, Rule04_KeyBelongsToOneAccount) {
  const new_key good = CreateKey("acme-1");
  const new_key other = CreateKey("beta-1");
  const key_table table(WithKeys(good, other));
  EXPECT_EQ(table.FindOwner(good.text), (key_owner{"acme", "acme-1"}));
  EXPECT_EQ(table.FindOwner(other.text), (key_owner{"beta", "beta-1"}));
  std::string near_miss = good.text;
  near_miss.back() = near_miss.back() == '0' ? '1' : '0';
  for (const std::string& text :
       {near_miss, std::string(), good.sha256, good.text + " ",
        "cy_acme-1_" + good.sha256, CreateKey("acme-1").text}) {
    const auto checked = table.FindOwner(text);
    ASSERT_FALSE(checked) << text;
    EXPECT_EQ(checked.error().kind(), error_kind::invalid_credentials);
    EXPECT_FALSE(ContainsKey(checked.error().message()));
  }
}

// The caller of a request is ambiguous with two Authorization headers or
// another scheme, and a key in the query ends up in the logs of proxies.
TEST(KeysTest, Rule04_AmbiguousCredentialsAreRefused) {
  const std::string key = CreateKey("a").text;
  const std::string bearer = "Bearer " + key;
  EXPECT_EQ(ExtractBearerToken({}, {}).value(), std::optional<std::string>());
  EXPECT_EQ(
      ExtractBearerToken(Headers({{"authorization", bearer}}), {{"q", "1"}})
          .value(),
      std::optional<std::string>(key));
  const std::vector<std::pair<header_list, query_map>> refused{
      {Headers({{"Authorization", bearer}, {"authorization", bearer}}), {}},
      {Headers({{"Authorization", bearer + ", " + bearer}}), {}},
      {Headers({{"Authorization", "Basic " + key}}), {}},
      {Headers({{"Authorization", "Bearer"}}), {}},
      {Headers({{"Authorization", "Bearer "}}), {}},
      {Headers({{"Authorization", "Bearer  " + key}}), {}},
      {Headers({{"Authorization", ""}}), {}},
      {Headers({{"Authorization", key}}), {}},
      {Headers({{"Authorization", bearer}, {"X-Api-Key", key}}), {}},
      {Headers({{"x-api-key", ""}}), {}},
      {Headers({{"Authorization", bearer}}), {{"api_key", "x"}}},
      {{}, {{"key", ""}}},
      {{}, {{"Access_Token", "x"}}},
      {{}, {{"note", "see " + key}}},
  };
  for (std::size_t i = 0; i < refused.size(); ++i) {
    const auto found = ExtractBearerToken(refused[i].first, refused[i].second);
    ASSERT_FALSE(found) << "case " << i;
    EXPECT_EQ(found.error().kind(), error_kind::invalid_credentials);
  }
}

// A key must not reach a backend server through any header.
TEST(KeysTest, Rule05_OnlyTheAllowListIsForwarded) {
  const std::string key = CreateKey("acme-1").text;
  const header_list sent = Headers({{"Authorization", "Bearer " + key},
                                    {"Cookie", key},
                                    {"Proxy-Authorization", key},
                                    {"X-Api-Key", key},
                                    {"X-Cardamomyard-Account", "other"},
                                    {"Connection", "close, Accept"},
                                    {"Transfer-Encoding", "chunked"},
                                    {"TE", "trailers"},
                                    {"Trailer", "X-Key"},
                                    {"X-Other", key},
                                    {"Accept", "*/*"},
                                    {"content-type", "application/json"},
                                    {"Idempotency-Key", "i-1"},
                                    {"traceparent", "00-1"},
                                    {"X-Request-Id", "r-" + key}});
  const header_list expected = Headers({{"content-type", "application/json"},
                                        {"Idempotency-Key", "i-1"},
                                        {"traceparent", "00-1"},
                                        {"X-Request-Id", "r-cy_[redacted]"}});
  EXPECT_EQ(ForwardableHeaders(sent), expected);
}

// A key must not appear in a log line.
TEST(KeysTest, Rule05_KeysAreRedacted) {
  const std::string key = CreateKey("acme-1").text;
  std::string encoded = key;
  encoded.replace(2, 1, "%5F");
  EXPECT_EQ(RedactKeys("GET /x?k=" + key + "&l=1"),
            "GET /x?k=cy_[redacted]&l=1");
  EXPECT_EQ(RedactKeys("a" + key + "," + encoded),
            "acy_[redacted],cy_[redacted]");
  EXPECT_EQ(RedactKeys("cy_short"), "cy_[redacted]");
  EXPECT_EQ(RedactKeys("policy_id cy_ cy"), "policy_id cy_ cy");
}

// A withdrawn or removed key must not be accepted, even after the configuration
// folder of the operators is applied again.
TEST(KeysTest, Rule06_WithdrawnKeyStops) {
  const new_key good = CreateKey("acme-1");
  const configuration folder = WithKeys(good, CreateKey("beta-1"));
  const auto withdrawn = WithdrawKey(folder, "acme-1");
  ASSERT_TRUE(withdrawn);
  for (const auto& current :
       {*withdrawn, ApplyFolder(*withdrawn, folder).value(),
        ApplyFolder(*withdrawn, configuration()).value()}) {
    const key_table table(current);
    const auto checked = table.FindOwner(good.text);
    ASSERT_FALSE(checked);
    EXPECT_EQ(checked.error().kind(), error_kind::key_withdrawn);
    EXPECT_TRUE(table.IsWithdrawn("acme-1"));
  }
  EXPECT_FALSE(key_table(folder).IsWithdrawn("acme-1"));
  EXPECT_TRUE(key_table(folder).IsWithdrawn("removed"));
}

}  // namespace
}  // namespace cardamomyard
