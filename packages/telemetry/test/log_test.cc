#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <future>
#include <string>
#include <utility>

#include "cardamomyard/telemetry.h"

namespace cardamomyard {
namespace {

constexpr int kLines = 20'000;
// Far less than writing the lines to a reader that does not read would take.
constexpr std::chrono::seconds kLimit{3};

/// Sends standard output into a pipe for the lifetime of the object.
class captured_output {
 public:
  captured_output() {
    std::fflush(stdout);
    saved_ = ::dup(STDOUT_FILENO);
    EXPECT_EQ(::pipe(ends_), 0);
    ::dup2(ends_[1], STDOUT_FILENO);
  }
  /// Reads until \p text has come. \returns all that was read.
  std::string ReadUntil(const std::string& text) {
    std::string read;
    char buffer[4096];
    while (read.find(text) == std::string::npos) {
      const auto got = ::read(ends_[0], buffer, sizeof(buffer));
      if (got <= 0) {
        break;
      }
      read.append(buffer, static_cast<std::size_t>(got));
    }
    return read;
  }
  /// Gives standard output back, so that a reader meets the end of the pipe.
  void Close() {
    if (saved_ < 0) {
      return;
    }
    std::fflush(stdout);
    ::dup2(saved_, STDOUT_FILENO);
    ::close(std::exchange(saved_, -1));
    ::close(ends_[1]);
  }
  ~captured_output() {
    Close();
    ::close(ends_[0]);
  }

 private:
  int saved_ = -1;
  int ends_[2] = {-1, -1};
};

// Guards against a process that stands still because nobody reads its logs, and
// against logs without bound: the pipe holds 64 KiB and is not read until all
// lines are written.
TEST(Log, NeverBlocksAndIsBoundedWhenNobodyReads) {
  ConfigureLogs(log_level::info, log_format::json);
  constexpr part_log kLog("test");
  captured_output output;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kLines; ++i) {
    kLog.Info("A line.", {{"number", i}, {"text", std::string(200, 'x')}});
  }
  EXPECT_LT(std::chrono::steady_clock::now() - began, kLimit);
  auto reader = std::async(std::launch::async, [&output] {
    return output.ReadUntil("Lines were dropped");
  });
  // The drops are told with the first line of the next second.
  const auto told_by = std::chrono::steady_clock::now() + kLimit;
  while (reader.wait_for(std::chrono::milliseconds(10)) !=
             std::future_status::ready &&
         std::chrono::steady_clock::now() < told_by) {
    kLog.Info("A later line.");
  }
  output.Close();
  const std::string read = reader.get();
  EXPECT_NE(read.find("Lines were dropped"), std::string::npos);

  // 500 lines a second for at most four seconds, of about 300 bytes each.
  EXPECT_LT(read.size(), 4 * 500 * 400U);
  FlushLogs(std::chrono::milliseconds(500));
}

// Names and ids of others go into log fields; a line with bytes that are no
// characters could not be read by any tool.
TEST(Log, FieldsOfAnyBytesStandInJson) {
  ConfigureLogs(log_level::info, log_format::json);
  constexpr part_log kLog("test");
  captured_output output;
  const std::string odd = "a\xff\"\\\n\xed\xb3\xbf\x01";
  kLog.Info("An odd name.", {{"name", odd}, {"text", "\xc3\xa9"}});
  kLog.Info("The last line.");
  const std::string read = output.ReadUntil("The last line.");
  output.Close();
  const std::string line = read.substr(0, read.find('\n'));
  boost::system::error_code code;
  const boost::json::value fields = boost::json::parse(line, code);
  ASSERT_FALSE(code) << line;
  EXPECT_EQ(fields.at("name"), "a\\xff\"\\\n\\xed\\xb3\\xbf\x01");
  EXPECT_EQ(fields.at("text"), "\xc3\xa9");
}

}  // namespace
}  // namespace cardamomyard
