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

// Guards against a key that opens another account, and against a near miss that
// is accepted.
TEST(KeysTest, Rule04_KeyNamesOnlyItsAccount) {
  const new_key good = CreateKey("acme-1");
  const new_key other = CreateKey("beta-1");
  const key_table table(WithKeys(good, other));
  EXPECT_EQ(table.FindOwner(good.text), (key_owner{"acme", "acme-1"}));
  EXPECT_EQ(table.FindOwner(other.text), (key_owner{"beta", "beta-1"}));
  std::string near = good.text;
  near.back() = near.back() == '0' ? '1' : '0';
  for (const std::string& text :
       {near, std::string(), good.sha256, good.text + " ",
        "cy_acme-1_" + good.sha256, CreateKey("acme-1").text}) {
    const auto checked = table.FindOwner(text);
    ASSERT_FALSE(checked) << text;
    EXPECT_EQ(checked.error().kind(), error_kind::invalid_credentials);
    EXPECT_FALSE(ContainsKey(checked.error().message()));
  }
}

// Guards against a request whose caller is ambiguous: two headers, another
// scheme, or a key in a place that proxies log.
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

// Guards against a key that reaches a backend server through any header.
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

// Guards against a key in a log line.
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

// Guards against a withdrawn or removed key that still works, also when the
// operators' folder is applied again.
TEST(KeysTest, Rule06_WithdrawnKeyStops) {
  const new_key good = CreateKey("acme-1");
  const configuration folder = WithKeys(good, CreateKey("beta-1"));
  const auto withdrawn = WithdrawKey(folder, "acme-1");
  ASSERT_TRUE(withdrawn);
  for (const auto& now : {*withdrawn, ApplyFolder(*withdrawn, folder).value(),
                          ApplyFolder(*withdrawn, configuration()).value()}) {
    const key_table table(now);
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
