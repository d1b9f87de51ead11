#include "engine/generation_parser.h"

#include <boost/json.hpp>
#include <optional>

#include "common/json_fields.h"

namespace cardamomyard::standins {
namespace json = boost::json;

namespace {

constexpr double kMaxTokens = 1'000'000;

std::optional<std::string> ChatPrompt(const json::object& body) {
  const json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    return std::nullopt;
  }
  std::string prompt;
  for (const json::value& message : messages->get_array()) {
    if (!message.is_object()) {
      return std::nullopt;
    }
    prompt += GetString(message.get_object(), "role", "user") + ": " +
              GetString(message.get_object(), "content") + "\n";
  }
  return prompt;
}

std::optional<std::string> PlainPrompt(const json::object& body) {
  const json::value* prompt = body.if_contains("prompt");
  if (prompt == nullptr || !prompt->is_string()) {
    return std::nullopt;
  }
  return std::string(prompt->get_string());
}

}  // namespace

result<generation_request> ParseGeneration(const std::string& body, bool chat) {
  const auto object = ParseObject(body);
  if (!object) {
    return Fail(error_kind::invalid_request, "the body is not a JSON object");
  }
  std::optional<std::string> prompt;
  if (chat) {
    prompt = ChatPrompt(*object);
  } else {
    prompt = PlainPrompt(*object);
  }
  if (!prompt) {
    return Fail(error_kind::invalid_request,
                chat ? "messages must be a list of objects"
                     : "prompt must be a string");
  }
  if (prompt->find("REFUSE_ITEM") != std::string::npos) {
    return Fail(error_kind::invalid_request, "the prompt is refused");
  }
  const double tokens = GetNumber(*object, "max_tokens", 16);
  if (!(tokens >= 1 && tokens <= kMaxTokens)) {
    return Fail(error_kind::invalid_request, "max_tokens is out of range");
  }
  generation_request parsed;
  parsed.chat = chat;
  parsed.stream = GetBool(*object, "stream", false);
  parsed.model = GetString(*object, "model");
  parsed.prompt = std::move(*prompt);
  parsed.max_tokens = static_cast<std::size_t>(tokens);
  if (const json::value* resume = object->if_contains("resume");
      resume != nullptr && resume->is_object()) {
    const double done = GetNumber(resume->get_object(), "tokens", 0);
    if (!(done >= 0 && done < tokens)) {
      return Fail(error_kind::invalid_request,
                  "resume.tokens must be below max_tokens");
    }
    parsed.resume_id = GetString(resume->get_object(), "id");
    parsed.resume_tokens = static_cast<std::size_t>(done);
  }
  return parsed;
}

}  // namespace cardamomyard::standins
