#include "cardamomctl/command.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cardamomyard::ctl {
namespace {

struct run_result {
  int code = 0;
  std::string out;
  std::string err;
};

run_result RunTool(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "cardamomctl");
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCommand(static_cast<int>(arguments.size()),
                              arguments.data(), out, err);
  return {code, out.str(), err.str()};
}

class folder_test : public ::testing::Test {
 protected:
  folder_test() {
    std::string name =
        (std::filesystem::temp_directory_path() / "cardamomctl.XXXXXX");
    folder_ = mkdtemp(name.data());
  }
  ~folder_test() override { std::filesystem::remove_all(folder_); }

  void Write(const std::string& name, const std::string& text) {
    std::ofstream(std::filesystem::path(folder_) / name) << text;
  }

  std::string folder_;
};

constexpr const char* kAccount =
    "[account.acme]\nrate_per_second = 20.0\nburst = 40\nweight = 1.0\n"
    "models = []\n";

TEST_F(folder_test, check_accepts_a_valid_folder) {
  Write("a.toml", kAccount);
  const run_result run = RunTool({"config", "check", folder_.c_str()});
  EXPECT_EQ(run.code, ok);
  EXPECT_EQ(run.err, "");
}

// Guards against errors that do not lead the operator to the place.
TEST_F(folder_test, check_names_file_line_and_key) {
  Write("a.toml", kAccount);
  Write("b.toml", "[account.acme]\nburst = 0\n");
  const run_result run = RunTool({"config", "check", folder_.c_str()});
  EXPECT_EQ(run.code, refused);
  EXPECT_EQ(run.err.rfind("b.toml:2: account.acme.burst: ", 0), 0U) << run.err;
  EXPECT_EQ(run.out, "");
}

// Guards against a mistyped path that removes every entity.
TEST_F(folder_test, check_refuses_a_folder_without_files) {
  EXPECT_EQ(RunTool({"config", "check", folder_.c_str()}).code, usage);
  EXPECT_EQ(RunTool({"config", "check", "/nonexistent"}).code, usage);
}

TEST(command, wrong_usage_is_told_apart) {
  EXPECT_EQ(RunTool({}).code, usage);
  EXPECT_EQ(RunTool({"config", "melt"}).code, usage);
  EXPECT_EQ(RunTool({"config", "check"}).code, usage);
  EXPECT_EQ(RunTool({"--no-such-flag", "status"}).code, usage);
  EXPECT_EQ(RunTool({"--server", "localhost", "status"}).code, usage);
}

TEST(command, help_of_a_verb_and_version) {
  EXPECT_NE(RunTool({"--help", "keys", "create"}).out.find("ID ACCOUNT"),
            std::string::npos);
  EXPECT_EQ(RunTool({"--version"}).out, "cardamomctl 0.1.0\n");
}

// Guards against JSON arguments that are split at their commas.
TEST(command, json_is_one_argument) {
  setenv("CARDAMOMYARD_ADMIN_TOKEN", "0123456789abcdef", 1);
  EXPECT_EQ(RunTool({"--server", "127.0.0.1:1", "accounts", "put", "acme",
                     R"({"rate_per_second":5.0,"burst":10})"})
                .code,
            unreachable);
}

TEST(command, unreachable_servers_have_their_own_code) {
  setenv("CARDAMOMYARD_ADMIN_TOKEN", "0123456789abcdef", 1);
  // Port 1 on the loopback address refuses connections.
  EXPECT_EQ(RunTool({"--server", "127.0.0.1:1,127.0.0.1:1", "status"}).code,
            unreachable);
}

}  // namespace
}  // namespace cardamomyard::ctl
