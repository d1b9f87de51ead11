#include "request_maker.h"

#include <algorithm>
#include <boost/json.hpp>
#include <random>
#include <string>

namespace cardamomyard::loadgen {
namespace json = boost::json;

namespace {

/// Appends words of three letters; a model engine counts four bytes a token.
void AppendWords(std::string& text, std::size_t words, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<int> letter('a', 'z');
  for (std::size_t i = 0; i < words; ++i) {
    for (int j = 0; j < 3; ++j) {
      text.push_back(static_cast<char>(letter(random)));
    }
    text.push_back(' ');
  }
}

std::string MakePrompt(const caller_profile& caller,
                       std::uint64_t seed,
                       std::uint64_t index) {
  const auto shared =
      static_cast<std::size_t>(std::min(1.0, caller.shared_prefix) *
                               static_cast<double>(caller.prompt_tokens));
  std::string prompt;
  AppendWords(prompt, shared, Hash64(caller.name, seed));
  AppendWords(prompt, caller.prompt_tokens - shared,
              Hash64(caller.name + "/" + std::to_string(index), seed));
  return prompt;
}

json::object CompletionBody(const caller_profile& caller,
                            const std::string& prompt) {
  json::object body;
  body["model"] = caller.model;
  body["max_tokens"] = caller.max_tokens;
  body["stream"] = caller.stream;
  if (caller.path.find("/chat/") == std::string::npos) {
    body["prompt"] = prompt;
    return body;
  }
  json::object message;
  message["role"] = "user";
  message["content"] = prompt;
  json::array messages;
  messages.push_back(std::move(message));
  body["messages"] = std::move(messages);
  return body;
}

}  // namespace

http_request MakeRequest(const caller_profile& caller,
                         std::uint64_t seed,
                         std::uint64_t index) {
  http_request request;
  request.method = "POST";
  request.target = caller.path;
  const std::string id = "lg-" + std::to_string(seed) + "-" + caller.name +
                         "-" + std::to_string(index);
  request.headers.Set("Content-Type", "application/json");
  request.headers.Set("X-Request-Id", id);
  if (!caller.key.empty()) {
    request.headers.Set("Authorization", "Bearer " + caller.key);
  }
  json::object body;
  if (caller.path.starts_with("/v1/")) {
    body = CompletionBody(caller, MakePrompt(caller, seed, index));
  } else {
    body["call_id"] = id;
  }
  request.body = json::serialize(body);
  return request;
}

}  // namespace cardamomyard::loadgen
