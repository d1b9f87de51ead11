#include "src/node/entry/inference_request.h"

#include <boost/json.hpp>

namespace cardamomyard {
namespace json = boost::json;
namespace {

// Only this many bytes of the prompt affect the choice of a backend server.
constexpr std::size_t kMaxPromptBytes = 4096;
// Bounds what a request adds to the table of suspects.
constexpr std::size_t kMaxParts = 16;

void AppendText(const json::value& content, std::string& prompt) {
  if (content.is_string()) {
    prompt += content.as_string();
  } else if (content.is_array()) {
    for (const json::value& part : content.as_array()) {
      const json::value* text =
          part.is_object() ? part.as_object().if_contains("text") : nullptr;
      if (text != nullptr && text->is_string()) {
        prompt += text->as_string();
      }
    }
  }
}

result<std::string> ChatPrompt(const json::object& fields) {
  const json::value* messages = fields.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->as_array().empty()) {
    return Fail(error_kind::invalid_request,
                "\"messages\" must be an array with at least one message");
  }
  std::string prompt;
  for (const json::value& message : messages->as_array()) {
    const json::value* content =
        message.is_object() ? message.as_object().if_contains("content")
                            : nullptr;
    if (content == nullptr) {
      return Fail(error_kind::invalid_request,
                  "each message must be an object with \"content\"");
    }
    if (prompt.size() < kMaxPromptBytes) {
      AppendText(*content, prompt);
    }
  }
  return prompt;
}

std::vector<std::uint64_t> SharedParts(const json::object& fields) {
  std::vector<std::uint64_t> parts;
  const json::value* messages = fields.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return parts;
  }
  const json::array& list = messages->as_array();
  for (std::size_t i = 0; i + 1 < list.size() && i < kMaxParts; ++i) {
    parts.push_back(Hash64(json::serialize(list[i])));
  }
  return parts;
}

result<std::string> CompletionPrompt(const json::object& fields) {
  const json::value* prompt = fields.if_contains("prompt");
  if (prompt == nullptr || !prompt->is_string()) {
    return Fail(error_kind::invalid_request, "\"prompt\" must be a string");
  }
  return std::string(prompt->as_string());
}

}  // namespace

result<inference_request> ParseInferenceRequest(std::string_view path,
                                                std::string_view body) {
  boost::system::error_code code;
  const json::value parsed = json::parse({body.data(), body.size()}, code);
  if (code || !parsed.is_object()) {
    return Fail(error_kind::invalid_request,
                "the body must be a JSON object" +
                    (code ? ": " + code.message() : std::string()));
  }
  const json::object& fields = parsed.as_object();
  inference_request request;
  const json::value* model = fields.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Fail(error_kind::invalid_request, "\"model\" must be a string");
  }
  request.model = model->as_string();
  const json::value* stream = fields.if_contains("stream");
  if (stream != nullptr && !stream->is_bool()) {
    return Fail(error_kind::invalid_request, "\"stream\" must be a boolean");
  }
  request.stream = stream != nullptr && stream->as_bool();
  // Only a sidecar may resume a request, because it accounts for the tokens.
  if (fields.contains("resume")) {
    return Fail(error_kind::invalid_request, "\"resume\" is not accepted");
  }
  auto prompt = path.ends_with("/chat/completions") ? ChatPrompt(fields)
                                                    : CompletionPrompt(fields);
  if (!prompt) {
    return Fail(prompt.error());
  }
  request.prompt = prompt->substr(0, kMaxPromptBytes);
  request.parts = SharedParts(fields);
  return request;
}

}  // namespace cardamomyard
