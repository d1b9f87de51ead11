#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "cardamomyard/config.h"

namespace cardamomyard {
namespace {

/// \returns the example of the design page.
const std::string& Page() {
  static const std::string page = R"([balance]
batch_weight = 0.5
[model.hamac-lm]
context_tokens = 8192
versions = ["1"]
adapters = []
engine_checks_fencing = true
[service.ledger-app]
timeout_ms = 30000
[account.acme]
rate_per_second = 20.0
burst = 40
weight = 1.0
models = ["hamac-lm"]
[key.acme-1]
account = "acme"
sha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
withdrawn = false
[route.orders]
path_prefix = "/orders"
service = "ledger-app"
repeatable = false
open = false
open_rate_per_second = 50.0
open_burst = 100
)";
  return page;
}

// Guards against a key of the page that is not read.
TEST(FolderTest, ThePagesExampleIsRead) {
  const auto parsed = ParseFolder({{"a.toml", Page()}});
  ASSERT_TRUE(parsed) << parsed.error().front().ToString();
  EXPECT_EQ(*parsed->FindAccount("acme"),
            (account_config{"acme", 20, 40, 1, {"hamac-lm"}}));
  EXPECT_EQ(parsed->FindKeyByHash(parsed->FindKey("acme-1")->sha256)->account,
            "acme");
  EXPECT_EQ(parsed->FindService("ledger-app")->timeout,
            std::chrono::seconds(30));
  EXPECT_TRUE(parsed->FindModel("hamac-lm")->engine_checks_fencing);
}

// Guards against faults that are accepted, or reported without their place and
// the value expected.
TEST(FolderTest, FaultsNameFileLineKeyAndExpectedValue) {
  struct faulty {
    std::string text;  // follows the page's example of 26 lines as b.toml
    std::string report;
  };
  const std::string hash(64, 'a');
  const std::string active = "withdrawn = false\n";
  const std::string closed = "repeatable = false\nopen = false\n";
  const std::vector<faulty> cases{
      {"[account.acme]\nburts = 4\n", "b.toml:2: account.acme.burts: unknown"},
      {"[account.acme]\nburst = 0\n",
       "b.toml:2: account.acme.burst: expected a whole number from 1 to "
       "1000000, got 0"},
      {"[account.acme]\nburst = 1.5\n", "account.acme.burst: expected a whole"},
      {"[account.acme]\nrate_per_second = nan\n",
       "account.acme.rate_per_second: expected a number from 0.001 to 1e+06"},
      {"[account.acme]\nmodels = [\"x\"]\n",
       "b.toml:2: account.acme.models: expected names of models, but model "
       "\"x\" does not exist"},
      {"[account.Acme]\nrate_per_second = 1\nburst = 1\n",
       "b.toml:1: account.Acme: expected a name"},
      {"[account.beta]\nburst = 1\n",
       "b.toml:1: account.beta.rate_per_second: missing, expected a number"},
      {"[key.k]\naccount = \"no\"\nsha256 = \"" + hash + "\"\n" + active,
       "b.toml:2: key.k.account: expected the name of an account"},
      {"[key.k]\naccount = \"acme\"\nsha256 = \"12\"\n",
       "b.toml:3: key.k.sha256: expected 64 lower-case hex digits"},
      {"[key.k]\naccount = \"acme\"\nsha256 = "
       "\"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855\""
       "\n" +
           active,
       "b.toml:3: key.k.sha256: expected a hash of its own"},
      {"[route.r]\npath_prefix = \"/orders\"\nservice = \"ledger-app\"\n" +
           closed,
       "b.toml:2: route.r.path_prefix: expected a prefix of its own"},
      {"[route.r]\npath_prefix = \"/v1/x\"\nservice = \"ledger-app\"\n" +
           closed,
       "b.toml:2: route.r.path_prefix: expected a path"},
      {"[route.r]\npath_prefix = \"/r\"\nservice = \"no\"\n" + closed,
       "b.toml:3: route.r.service: expected the name of a service"},
      {"[route.r]\npath_prefix = \"/r\"\nservice = \"ledger-app\"\n"
       "repeatable = true\nopen = true\nopen_burst = 1\n",
       "b.toml:1: route.r.open_rate_per_second: missing"},
      {"[acount.x]\n", "b.toml:1: acount: unknown key"},
      {"balance = 1\n", "b.toml:1: balance: expected a table"},
      {"[balance]\nbatch_weight = 2\n", "balance.batch_weight: expected a"},
      {"[model.m]\ncontext_tokens = 1\nversions = []\n",
       "model.m.versions: expected a list"},
      {"[account.acme\n", "b.toml:1: expected TOML"},
      {"[account.acme]\nburst = 4", "b.toml:2: expected a line break"},
  };
  for (const auto& [text, report] : cases) {
    const auto parsed = ParseFolder({{"b.toml", text}, {"a.toml", Page()}});
    ASSERT_FALSE(parsed) << text;
    EXPECT_NE(parsed.error().front().ToString().find(report), std::string::npos)
        << parsed.error().front().ToString();
  }
}

// Guards against half of a truncated file being put in force: every cut must
// be refused unless it falls between two whole lines.
TEST(FolderTest, Rule13_CutWithinALineIsRefused) {
  for (std::size_t cut = 1; cut < Page().size(); ++cut) {
    if (Page()[cut - 1] != '\n') {
      EXPECT_FALSE(ParseFolder({{"a.toml", Page().substr(0, cut)}})) << cut;
    }
  }
}

// Guards against an entry that lost its last lines: without its models an
// account may use all of them.
TEST(FolderTest, Rule13_EntryWithoutAKeyIsRefused) {
  std::size_t line = Page().find('\n') + 1;
  while (line < Page().size()) {
    const std::size_t end = Page().find('\n', line) + 1;
    // The limits of a closed route are the only keys that may be missing.
    if (Page()[line] != '[' && Page().compare(line, 5, "open_") != 0) {
      std::string text = Page();
      text.erase(line, end - line);
      EXPECT_FALSE(ParseFolder({{"a.toml", text}}))
          << Page().substr(line, end - line);
    }
    line = end;
  }
}

// Guards against a route that answers for a path outside its prefix, which
// could open a path that needs a key (rule 4).
TEST(FolderTest, Rule04_LongestPrefixEndsAtASegment) {
  const std::string service =
      "service = \"s\"\nrepeatable = false\nopen = false\n";
  const auto parsed = ParseFolder(
      {{"a.toml",
        "[service.s]\ntimeout_ms = 1\n[route.a]\npath_prefix = "
        "\"/a\"\n" +
            service + "[route.ab]\npath_prefix = \"/a/b\"\n" + service +
            "[route.root]\npath_prefix = \"/\"\n" + service}});
  ASSERT_TRUE(parsed) << parsed.error().front().ToString();
  const std::map<std::string, std::string> cases{
      {"/a", "a"},          {"/a/", "a"},      {"/a/bc", "a"},
      {"/a/b", "ab"},       {"/a/b/c", "ab"},  {"/ab", "root"},
      {"/v1/x", ""},        {"/metrics", ""},  {"/a/../b", ""},
      {"/a/%2e%2E/b", ""},  {"/a/..%2fb", ""}, {"/a/..\\b", ""},
      {"/metricsx", "root"}};
  for (const auto& [path, route] : cases) {
    const route_config* found = parsed->FindRoute(path);
    EXPECT_EQ(found == nullptr ? "" : found->name, route) << path;
  }
}

// Differential test of the merge against assignment in name order.
TEST(FolderTest, MergeMatchesNaiveMerge) {
  const bool passed = rc::check([] {
    const auto file_count = *rc::gen::inRange(1, 5);
    std::map<std::string, std::map<std::string, int>> naive;
    std::vector<config_file> files;
    for (int file = 0; file < file_count; ++file) {
      std::string text;
      for (int index = 0; index < 6; ++index) {
        if (*rc::gen::arbitrary<bool>()) {
          continue;
        }
        const std::string name = "a" + std::to_string(index);
        text += "[account." + name + "]\n";
        if (naive.count(name) == 0) {
          text += "models = []\n";
        }
        for (const std::string key : {"burst", "rate_per_second", "weight"}) {
          if (naive[name].count(key) == 0 || *rc::gen::arbitrary<bool>()) {
            naive[name][key] = *rc::gen::inRange(1, 1000);
            text += key + " = " + std::to_string(naive[name][key]) + "\n";
          }
        }
      }
      files.push_back({"f" + std::to_string(file) + ".toml", text});
    }
    std::rotate(files.begin(), files.begin() + *rc::gen::inRange(0, file_count),
                files.end());
    const auto parsed = ParseFolder(files);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->records().size() == naive.size());
    for (auto& [name, values] : naive) {
      const account_config expected{
          name,
          static_cast<double>(values["rate_per_second"]),
          values["burst"],
          static_cast<double>(values["weight"]),
          {}};
      RC_ASSERT(*parsed->FindAccount(name) == expected);
    }
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace cardamomyard
