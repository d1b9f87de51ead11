#ifndef CARDAMOMYARD_TEST_BATCH_FIXTURE_H_
#define CARDAMOMYARD_TEST_BATCH_FIXTURE_H_

#include <boost/json.hpp>
#include <map>
#include <sstream>
#include <string>

#include "fleet_fixture.h"

namespace cardamomyard::harness {

/// \returns the JSON of an answer; null when it is none.
inline boost::json::value ParseJson(const std::string& text) {
  boost::system::error_code code;
  boost::json::value parsed = boost::json::parse(text, code);
  return code ? boost::json::value() : parsed;
}

/// \returns a text member of a JSON object, or "".
inline std::string TextMember(const boost::json::value& from,
                              const char* name) {
  const boost::json::value* found =
      from.is_object() ? from.as_object().if_contains(name) : nullptr;
  return found != nullptr && found->is_string()
             ? std::string(found->as_string())
             : "";
}

/// \returns items for the model `lm`, one JSON line each, with the ids item-0
/// to item-(count - 1). \p padding bytes in each line make small groups.
inline std::string BatchLines(int count,
                              int max_tokens,
                              std::size_t padding = 0) {
  std::string lines;
  const std::string unused(padding, 'x');
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    lines.append(R"({"custom_id":"item-)").append(number);
    lines.append(R"(","method":"POST","url":"/v1/chat/completions","body":)");
    lines.append(R"({"model":"lm","user":")").append(unused);
    lines.append(R"(","messages":[{"role":"user","content":"describe drum )");
    lines.append(number).append(R"("}],"max_tokens":)");
    lines.append(std::to_string(max_tokens)).append("}}\n");
  }
  return lines;
}

/// \brief Tests that run batch jobs of the account `acme`.
class BatchTest : public FleetTest {
 protected:
  http_response Upload(const std::string& lines, std::size_t entry = 0) {
    http_request upload =
        JsonRequest("POST", "/v1/files", lines, fleet_->key("acme"));
    upload.headers.Set("Content-Type", "application/jsonl");
    return Send(std::move(upload), entry);
  }
  http_response CreateJob(const std::string& file_id, std::size_t entry = 0) {
    return Send(JsonRequest("POST", "/v1/batches",
                            R"({"input_file_id":")" + file_id +
                                R"(","endpoint":"/v1/chat/completions",)"
                                R"("completion_window":"24h"})",
                            fleet_->key("acme")),
                entry);
  }
  /// \returns the id of the job, or "" after a failure.
  std::string Submit(const std::string& lines, std::size_t entry = 0) {
    const http_response file = Upload(lines, entry);
    EXPECT_EQ(file.status, 200) << file.body;
    const http_response job =
        CreateJob(TextMember(ParseJson(file.body), "id"), entry);
    EXPECT_EQ(job.status, 200) << job.body;
    return TextMember(ParseJson(job.body), "id");
  }
  boost::json::value ReadJob(const std::string& job, std::size_t entry = 0) {
    return ParseJson(
        Send(JsonRequest("GET", "/v1/batches/" + job, "", fleet_->key("acme")),
             entry)
            .body);
  }
  std::string Status(const std::string& job, std::size_t entry = 0) {
    return TextMember(ReadJob(job, entry), "status");
  }
  http_response Cancel(const std::string& job, std::size_t entry = 0) {
    return Send(JsonRequest("POST", "/v1/batches/" + job + "/cancel", "",
                            fleet_->key("acme")),
                entry);
  }
  /// Adds how often each custom_id stands in a result file.
  void CountItems(const std::string& file_id,
                  std::map<std::string, int>& seen,
                  std::size_t entry = 0) {
    const http_response content =
        Send(JsonRequest("GET", "/v1/files/" + file_id + "/content", "",
                         fleet_->key("acme")),
             entry);
    EXPECT_EQ(content.status, 200) << content.body;
    std::istringstream lines(content.body);
    for (std::string line; std::getline(lines, line);) {
      ++seen[TextMember(ParseJson(line), "custom_id")];
    }
  }
  /// Expects that the result files hold each of \p count items once.
  void ExpectEachItemOnce(const std::string& job,
                          int count,
                          std::size_t entry = 0) {
    std::map<std::string, int> seen;
    CountItems(job + "-output", seen, entry);
    CountItems(job + "-errors", seen, entry);
    EXPECT_EQ(seen.size(), static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      const std::string id = "item-" + std::to_string(i);
      EXPECT_EQ(seen[id], 1) << id;
    }
  }
  /// \returns the id of the sidecar that holds a group, or "".
  std::string HolderOf(const std::string& job, int group) {
    const http_response record = fleet_->http().Call(
        fleet_->store().address,
        JsonRequest("GET", "/v1/objects/batch/group/" + job + "/" +
                               std::to_string(group)));
    const std::string holder =
        record.status == 200 ? TextMember(ParseJson(record.body), "holder")
                             : "";
    // The rest names the incarnation.
    return holder.substr(0, holder.find('/'));
  }
};

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_BATCH_FIXTURE_H_
