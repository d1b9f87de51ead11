// Entries of another writer whose names hold any characters, among those of the
// backend servers, in listings of several pages.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <ostream>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "harness/client_crowd.h"
#include "platform_fixture.h"

namespace cardamomyard {
namespace {

using harness::PeakMegabytes;

constexpr std::size_t kMemoryMegabytes = 64;
constexpr std::size_t kSomeKilobytes = 4096;

/// Entries of another writer, and how they stand on the pages.
struct odd_names {
  std::string label;
  std::vector<std::string> names;
  /// Objects a page; the last of the names ends the first page if it is 0.
  std::size_t page_size = 0;
  /// Further entries of that writer, with plain names.
  std::vector<std::string> others = {};
};

// The names are too odd for the names of tests.
void PrintTo(const odd_names& odd, std::ostream* out) {
  *out << odd.label;
}

class odd_name_fixture : public platform_fixture {
 protected:
  static constexpr const char* kLastServer = "engine-1";

  /// Writes entries that name no server.
  void Write(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      store().Put("servers", name,
                  boost::json::object{{"written-by", "another"}});
    }
  }

  void Write(const odd_names& odd) {
    Write(odd.names);
    Write(odd.others);
    std::set<std::string> all{"engine-0", kLastServer};
    all.insert(odd.names.begin(), odd.names.end());
    all.insert(odd.others.begin(), odd.others.end());
    const auto last =
        all.find(*std::max_element(odd.names.begin(), odd.names.end()));
    store().SetPageSize(
        odd.page_size > 0
            ? odd.page_size
            : static_cast<std::size_t>(std::distance(all.begin(), last)) + 1);
  }

  void ExpectServed(const host& gateway, const std::string& id) {
    for (const std::string path : {"/draft/1", "/ask/1"}) {
      EXPECT_TRUE(
          client()
              .Stream(gateway.front,
                      Request("POST", path, id + path.substr(1, 3), "x"))
              .whole)
          << path << "\n"
          << Log(gateway.name);
    }
  }

  /// Expects that requests are served and that a batch job is done.
  void ExpectWholePath(const host& gateway) {
    ExpectServed(gateway, "r1");
    ASSERT_EQ(Submit(gateway, "j1", 3, "i").status, 202);
    EXPECT_TRUE(AllListed(gateway, "j1", 3)) << Log("w1");
  }

  /// Expects that the hosts know the server whose entry is the last one.
  void ExpectLastServerKnown(const std::vector<std::string>& names) {
    RegisterEngine(kLastServer, engine_address(1), "draining");
    for (const std::string& name : names) {
      EXPECT_TRUE(Eventually([&] {
        return Logged(name, "A backend server's entry changed.",
                      "\"draining\"");
      })) << Log(name);
    }
  }

  /// Expects that \p processes have listed the servers a few times at most.
  void ExpectFewListings(int processes) {
    for (const auto& [after, count] : store().listings("servers")) {
      EXPECT_LE(count, 2 * processes) << "after \"" << after << '"';
    }
    EXPECT_EQ(store().refusals(), 0);
  }

  /// Expects that the host has logged each of the entries once, its name
  /// escaped.
  void ExpectReportedOnce(const std::string& host_name,
                          const std::vector<std::string>& names) {
    std::multiset<std::string> reported;
    EXPECT_TRUE(Eventually([&] {
      reported.clear();
      std::istringstream log(Log(host_name));
      for (std::string line; std::getline(log, line);) {
        boost::system::error_code code;
        const boost::json::value fields = boost::json::parse(line, code);
        if (!code && fields.at("message") ==
                         "The entry of a backend server cannot be used.") {
          reported.emplace(fields.at("backend").as_string());
        }
      }
      return reported.size() >= names.size();
    }));
    EXPECT_EQ(reported, std::multiset<std::string>(names.begin(), names.end()));
  }

  void ExpectRunning(const std::vector<host>& hosts) {
    for (const host& running : hosts) {
      EXPECT_TRUE(running.process->Running()) << Log(running.name);
      EXPECT_LT(PeakMegabytes(running.process->pid()), kMemoryMegabytes);
    }
  }
};

class odd_name_test : public odd_name_fixture,
                      public ::testing::WithParamInterface<odd_names> {};

// A name that was sent as it stands ended the listing of the servers behind it
// or began it again, so that no host that started served a request.
TEST_P(odd_name_test, Rule11_EntryIsLeftOutAndTheOthersHold) {
  Write(GetParam());
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  ExpectWholePath(gateway);
  ExpectLastServerKnown({"g1", "w1"});
  ExpectFewListings(2);
  std::vector<std::string> left_out = GetParam().names;
  left_out.insert(left_out.end(), GetParam().others.begin(),
                  GetParam().others.end());
  for (const std::string name : {"g1", "w1"}) {
    ExpectReportedOnce(name, left_out);
  }
  ExpectRunning({gateway, worker});
}

std::vector<odd_names> OddNames() {
  return {
      {"Ampersand", {"a&b"}},
      {"Plus", {"a+"}},
      {"NumberSign", {"a#b"}},
      {"Percent", {"a%"}},
      {"Blank", {"a b"}},
      {"OneBlank", {" "}},
      {"BlankAtTheEnd", {"a "}},
      {"OnlyAmpersand", {"&"}},
      {"OnlyPlus", {"+"}},
      {"OnlyNumberSign", {"#"}},
      {"OnlyPercent", {"%"}},
      {"Several", {"a&b=c+d#e%f g"}},
      {"OfAQuery", {"a&after=zzz&watch=1"}},
      {"Escapes", {"a%zz%"}},
      {"DecodesToAnother", {"a%62"}},
      {"DecodesToBeforeThePage", {"a$1", "a%20"}, 2, {"a!", "a$"}},
      {"DecodesToTheLastServer", {"a", "engine%2D1"}},
      {"Quotes", {"a\"b'c"}},
      {"Backslash", {"a\\b\\"}},
      {"Slash", {"a/b/status"}},
      {"OnlySlash", {"/"}},
      {"DotSegments", {".", "..", "../config"}},
      {"QuestionMark", {"a?b"}},
      {"ControlCharacters", {"a\r\nb\t\x01\x7f"}},
      {"Zero", {std::string("a\0b", 3)}},
      {"Utf8", {"a\xc3\xa9\xe2\x82\xac\xf0\x9f\x90\x8c"}},
      {"Long", {"a" + std::string(kSomeKilobytes, '&')}},
      {"LongAlone", {"a" + std::string(kSomeKilobytes, '&')}, 1},
      {"AloneOnAPage", {"a&", "a+", "a#", "a%", "a "}, 1},
      {"WholePage", {"a&", "a+", "a#", "a%", "a "}, 5},
      {"WholePages", {"a ", "a#", "a%", "a%20", "a&", "a+"}, 2},
      {"LastPage", {"f&", "f+", "f#", "f%", "f "}, 3},
  };
}

INSTANTIATE_TEST_SUITE_P(Names,
                         odd_name_test,
                         ::testing::ValuesIn(OddNames()),
                         [](const auto& odd) { return odd.param.label; });

// An entry that comes and goes beside running hosts, which list the servers
// again as the store drops its history meanwhile.
TEST_F(odd_name_fixture, Rule11_EntryThatComesAndGoesChangesNothing) {
  const std::vector<std::string> names{"a ", "a#", "a%20", "a&", "a+"};
  store().SetPageSize(1);
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  for (int round = 0; round < 3; ++round) {
    const std::string id = std::to_string(round);
    Write(names);
    store().Compact();
    ExpectServed(gateway, "came" + id);
    EXPECT_TRUE(Eventually(
        [&] { return store().listings("servers")["a+"] >= 2 * (round + 1); }));
    for (const std::string& name : names) {
      store().Erase("servers", name);
    }
    ExpectServed(gateway, "went" + id);
  }
  ASSERT_EQ(Submit(gateway, "j1", 3, "i").status, 202);
  EXPECT_TRUE(AllListed(gateway, "j1", 3)) << Log("w1");
  ExpectLastServerKnown({"g1", "w1"});
  EXPECT_EQ(store().refusals(), 0);
  ExpectRunning({gateway, worker});
}

// An entry that comes while all hosts are down met each of them at its start.
TEST_F(odd_name_fixture, Rule11_EntryThatCameWhileHostsWereDownIsLeftOut) {
  host gateway = StartGateway("g1");
  host worker = StartWorker("w1", gateway);
  ASSERT_EQ(Submit(gateway, "j1", 3, "i").status, 202);
  for (const host* stopped : {&gateway, &worker}) {
    stopped->process->Kill();
  }
  Write({"a&", "a+", "a#", "a%", "a b"});
  store().SetPageSize(2);
  StartAgain(gateway);
  StartAgain(worker);
  EXPECT_TRUE(Eventually([&] { return Ready(gateway); })) << Log("g1");
  ExpectServed(gateway, "r1");
  EXPECT_TRUE(AllListed(gateway, "j1", 3)) << Log("w1");
  ExpectFewListings(4);
  ExpectRunning({gateway, worker});
}

// The contents of an entry tell whether it names a server, not its name.
TEST_F(odd_name_fixture, Rule11_ServerWithAnOddNameServes) {
  const std::string name = "a&b=c+d#e%20f \xc3\xa9/g?h\"i\\j";
  AddEngine(name);
  store().SetPageSize(1);
  RegisterEngine("engine-0", engine_address(0), "draining");
  RegisterEngine(kLastServer, engine_address(1), "draining");
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  ExpectWholePath(gateway);
  EXPECT_GE(engines().back()->runs().size(), 4U);
  ExpectRunning({gateway, worker});
}

// Requests went to such a server, which refused each as meant for another one.
TEST_F(odd_name_fixture, Rule11_ServerWhoseIdNoHeaderCarriesGetsNoRequest) {
  const std::vector<std::string> names{" ", "a "};
  for (const std::string& name : names) {
    RegisterEngine(name, engine_address(0), "ready");
  }
  const host gateway = StartGateway("g1");
  ExpectReportedOnce("g1", names);
  for (int i = 0; i < 10; ++i) {
    ExpectServed(gateway, std::to_string(i));
  }
  EXPECT_FALSE(Logged("g1", "\"backend\":\" \"", "A request goes"));
  EXPECT_FALSE(Logged("g1", "\"backend\":\"a \"", "A request goes"));
}

// Each kind that hosts list is read by the same function, and its entries by
// another one.
TEST_F(odd_name_fixture, Rule11_EntriesOfAllKindsAreLeftOut) {
  SetBounds({{"evacuate-ms", 3000}});
  const std::vector<std::string> names{
      "a ", "a#", "a%20", "a&", "a+", "a/b", "a" + std::string(300, '&')};
  for (const std::string kind :
       {"config", "servers", "retirements", "evacuations", "cardamomyard-host",
        "batch-job"}) {
    for (const std::string& name : names) {
      store().Put(kind, name, boost::json::object{{"written-by", "another"}});
    }
  }
  store().SetPageSize(1);
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  ExpectWholePath(gateway);
  ExpectLastServerKnown({"g1", "w1"});
  ExpectFewListings(2);
  ExpectRunning({gateway, worker});
}

// Zones out of use stand in the digests of hosts, which are datagrams: hosts
// did not hear each other beside names that no datagram holds.
TEST_F(odd_name_fixture, Rule11_OddZonesOutOfUseKeepNoDigestFromBeingSent) {
  SetBounds({{"evacuate-ms", 3000}});
  std::vector<std::string> names{std::string(70'000, 'z')};
  for (int i = 0; i < 400; ++i) {
    names.push_back(std::to_string(i) + std::string(200, 'z'));
  }
  for (const std::string& name : names) {
    store().Put("evacuations", name,
                boost::json::object{{"written-by", "another"}});
  }
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  ExpectWholePath(gateway);
  ExpectRunning({gateway, worker});
}

}  // namespace
}  // namespace cardamomyard
