// Entries of another writer among those of the backend servers.
#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "platform_fixture.h"

namespace cardamomyard {
namespace {

struct odd_entry {
  std::string name;
  std::string text;
};

// The texts are too long and too odd for the names of tests.
void PrintTo(const odd_entry& entry, std::ostream* out) {
  *out << entry.name;
}

class odd_entry_test : public platform_fixture,
                       public ::testing::WithParamInterface<odd_entry> {
 protected:
  void ExpectServed(const host& gateway, const std::string& id) {
    EXPECT_TRUE(client()
                    .Stream(gateway.front, Request("POST", "/draft/1", id, "x"))
                    .whole)
        << Log(gateway.name);
  }
};

std::string Entry(const std::string& field, const std::string& value) {
  std::string entry = "{";
  const std::vector<std::pair<std::string, std::string>> fields{
      {"service", "\"lm\""}, {"address", "\"127.0.0.1:9\""}, {"zone", "\"a\""},
      {"slots", "4"},        {"state", "\"ready\""},         {"sequence", "1"},
      {"born", "5"}};
  for (const auto& [name, usual] : fields) {
    entry += (entry.size() > 1 ? ",\"" : "\"") + name +
             "\":" + (name == field ? value : usual);
  }
  return entry + "}";
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// One entry that cannot be read kept all hosts from seeing any other: after a
// restart no request was served, and changes of other servers were not seen.
TEST_P(odd_entry_test, Rule11_OneEntryNeitherHidesTheOthersNorEndsAProcess) {
  const host early = StartGateway("g1");
  const host worker = StartWorker("w1", early);
  store().PutRaw("servers", "a-odd", GetParam().text);
  // A host that lists the entry, and one that receives it as a change.
  const host late = StartGateway("g2");
  RegisterEngine("engine-0", engine_address(0), "draining");
  for (const std::string name : {"g1", "w1"}) {
    EXPECT_TRUE(Eventually([&] {
      return Logged(name, "A backend server's entry changed.", "\"draining\"");
    })) << Log(name);
  }
  ExpectServed(early, "r1");
  ExpectServed(late, "r2");
  ASSERT_EQ(Submit(late, "j1", 3, "i").status, 202);
  EXPECT_TRUE(AllListed(early, "j1", 3)) << Log("w1");
  for (const host& running : {early, late, worker}) {
    EXPECT_TRUE(running.process->Running()) << Log(running.name);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Entries,
    odd_entry_test,
    ::testing::Values(
        odd_entry{"Deep", Nested(40)},
        odd_entry{"VeryDeep", Nested(200'000)},
        odd_entry{"DeepField", Entry("zone", Nested(100'000))},
        odd_entry{"HugeExponent", Entry("slots", "1e400")},
        odd_entry{"HugeNumber", Entry("slots", "1e300")},
        odd_entry{"ManyDigits", Entry("slots", "99999999999999999999999")},
        odd_entry{"BeyondInt", Entry("slots", "4294967297")},
        odd_entry{"BornTooLarge", Entry("born", "1e30")},
        odd_entry{"PortTooLarge", Entry("address", "\"127.0.0.1:99999\"")},
        odd_entry{"PortZero", Entry("address", "\"127.0.0.1:0\"")},
        odd_entry{"NoAddress", Entry("address", "\"\"")},
        odd_entry{"LoneSurrogates", Entry("zone", "\"\\udcff\\udcfe\"")},
        odd_entry{"NoCharacters", Entry("zone", "\"\xff\xfe\"")},
        odd_entry{"OtherType", Entry("state", "{}")},
        odd_entry{"FieldTwice", Entry("service", "\"lm\",\"service\":7")},
        odd_entry{"Long",
                  Entry("zone", "\"" + std::string(500'000, 'z') + "\"")},
        odd_entry{"Null", "null"}),
    [](const auto& entry) { return entry.param.name; });

}  // namespace
}  // namespace cardamomyard
