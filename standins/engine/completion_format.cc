#include "engine/completion_format.h"

#include <boost/json.hpp>

#include "engine/generated_text.h"

namespace cardamomyard::standins {
namespace json = boost::json;

namespace {

json::object Head(const sequence& generated, const char* object) {
  json::object body;
  body["id"] = generated.request.id;
  body["object"] = object;
  body["model"] = generated.request.model;
  return body;
}

json::object Usage(const sequence& generated) {
  // A resumed request is charged only for the tokens that it generated.
  const std::size_t completion =
      generated.generated - generated.request.resume_tokens;
  json::object usage;
  usage["prompt_tokens"] = generated.prompt_tokens;
  usage["completion_tokens"] = completion;
  usage["total_tokens"] = generated.prompt_tokens + completion;
  return usage;
}

}  // namespace

std::string ChunkEvent(const sequence& generated, std::size_t index) {
  const bool chat = generated.request.chat;
  const bool last = index + 1 == generated.request.max_tokens;
  json::object choice;
  choice["index"] = 0;
  const std::string text = TokenText(generated.prompt_hash, index);
  if (chat) {
    json::object delta;
    delta["content"] = text;
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = last ? json::value("length") : json::value();
  json::object body =
      Head(generated, chat ? "chat.completion.chunk" : "text_completion");
  json::array choices;
  choices.push_back(std::move(choice));
  body["choices"] = std::move(choices);
  if (last) {
    body["usage"] = Usage(generated);
  }
  return "data: " + json::serialize(body) + "\n\n";
}

std::string WholeAnswer(const sequence& generated) {
  const bool chat = generated.request.chat;
  std::string text;
  for (std::size_t i = generated.request.resume_tokens; i < generated.generated;
       ++i) {
    text += TokenText(generated.prompt_hash, i);
  }
  json::object choice;
  choice["index"] = 0;
  if (chat) {
    json::object message;
    message["role"] = "assistant";
    message["content"] = text;
    choice["message"] = std::move(message);
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = "length";
  json::object body =
      Head(generated, chat ? "chat.completion" : "text_completion");
  json::array choices;
  choices.push_back(std::move(choice));
  body["choices"] = std::move(choices);
  body["usage"] = Usage(generated);
  return json::serialize(body);
}

}  // namespace cardamomyard::standins
