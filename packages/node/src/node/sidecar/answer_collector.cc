#include "src/node/sidecar/answer_collector.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace cardamomyard {
namespace json = boost::json;
namespace {

/// \returns the member \p name; null if \p from is not an object or lacks it.
const json::value* Member(const json::value* from, std::string_view name) {
  const json::object* fields = from == nullptr ? nullptr : from->if_object();
  return fields == nullptr ? nullptr
                           : fields->if_contains({name.data(), name.size()});
}

std::string_view Text(const json::value* value) {
  const json::string* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::string_view()
                         : std::string_view(text->data(), text->size());
}

std::uint64_t Number(const json::value* value) {
  boost::system::error_code failure;
  const auto number = value == nullptr
                          ? std::uint64_t{0}
                          : value->to_number<std::uint64_t>(failure);
  return failure ? 0 : number;
}

}  // namespace

bool answer_collector::CanStream(std::string_view body) {
  // With these fields the answer holds more than a single text.
  constexpr std::array<std::string_view, 10> kNonStreamableFields{
      "tools", "functions",  "logprobs", "top_logprobs", "best_of", "echo",
      "audio", "modalities", "n",        "resume"};
  boost::system::error_code failure;
  const json::value parsed = json::parse({body.data(), body.size()}, failure);
  return !failure && parsed.is_object() &&
         std::none_of(kNonStreamableFields.begin(), kNonStreamableFields.end(),
                      [&parsed](std::string_view name) {
                        return Member(&parsed, name) != nullptr;
                      });
}

std::string answer_collector::StreamRequestBody(std::string_view body) const {
  // The body is extended as text, since serializing parsed numbers again could
  // change their notation. Of duplicate members the last one takes effect.
  const std::size_t end = body.rfind('}');
  std::string text(body.substr(0, end));
  const std::size_t last = text.find_last_not_of(" \t\r\n");
  if (last != std::string::npos && text[last] != '{') {
    text += ',';
  }
  text += R"("stream":true,"stream_options":{"include_usage":true})";
  if (tokens_ > 0) {
    const json::object resume{{"id", id_}, {"tokens", tokens_}};
    text += ",\"resume\":" + json::serialize(resume);
  }
  return text + "}";
}

void answer_collector::BeginStream() {
  earlier_tokens_ = tokens_;
  stream_tokens_ = 0;
  stream_id_.clear();
}

bool answer_collector::Feed(std::string_view event) {
  boost::system::error_code failure;
  const json::value parsed = json::parse({event.data(), event.size()}, failure);
  const json::value* choices = failure ? nullptr : Member(&parsed, "choices");
  if (choices == nullptr || !choices->is_array()) {
    return false;
  }
  if (const std::string_view id = Text(Member(&parsed, "id")); !id.empty()) {
    id_ = id;
    stream_id_ = id;
  }
  model_ = Text(Member(&parsed, "model"));
  if (const json::value* usage = Member(&parsed, "usage");
      usage != nullptr && usage->is_object()) {
    prompt_tokens_ = Number(Member(usage, "prompt_tokens"));
    stream_tokens_ = Number(Member(usage, "completion_tokens"));
  }
  // The event that carries the usage of the stream may have no choice.
  if (choices->get_array().empty()) {
    return true;
  }
  const json::value& choice = choices->get_array().front();
  const json::value* delta = Member(&choice, "delta");
  chat_ = delta != nullptr;
  const std::string_view added_text =
      Text(chat_ ? Member(delta, "content") : Member(&choice, "text"));
  if (!added_text.empty()) {
    text_ += added_text;
    ++tokens_;
  }
  if (const std::string_view reason = Text(Member(&choice, "finish_reason"));
      !reason.empty()) {
    finish_reason_ = reason;
  }
  return true;
}

token_usage answer_collector::Usage() const {
  return {prompt_tokens_,
          stream_tokens_ > 0 ? earlier_tokens_ + stream_tokens_ : tokens_};
}

std::string answer_collector::AssembledAnswer() const {
  json::object choice{{"index", 0}, {"finish_reason", finish_reason_}};
  if (chat_) {
    choice["message"] = json::object{{"role", "assistant"}, {"content", text_}};
  } else {
    choice["text"] = text_;
  }
  const token_usage used = Usage();
  json::array choices;
  choices.emplace_back(std::move(choice));
  const json::object answer{
      {"id", id_},
      {"object", chat_ ? "chat.completion" : "text_completion"},
      {"model", model_},
      {"choices", std::move(choices)},
      {"usage", json::object{{"prompt_tokens", used.prompt},
                             {"completion_tokens", used.completion},
                             {"total_tokens", used.prompt + used.completion}}}};
  return json::serialize(answer);
}

}  // namespace cardamomyard
