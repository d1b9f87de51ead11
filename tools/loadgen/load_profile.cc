#include "load_profile.h"

#include <boost/json.hpp>

namespace cardamomyard::loadgen {
namespace json = boost::json;

namespace {

template <class T>
bool ReadNumber(const json::value& value, T& field) {
  if (!value.is_number() || value.to_number<double>() < 0) {
    return false;
  }
  field = static_cast<T>(value.to_number<double>());
  return true;
}

bool ReadText(const json::value& value, std::string& field) {
  if (!value.is_string()) {
    return false;
  }
  field = std::string(value.get_string());
  return true;
}

bool ReadField(std::string_view name,
               const json::value& value,
               caller_profile& caller) {
  if (name == "name") {
    return ReadText(value, caller.name);
  }
  if (name == "key") {
    return ReadText(value, caller.key);
  }
  if (name == "account") {
    return ReadText(value, caller.account);
  }
  if (name == "path") {
    return ReadText(value, caller.path);
  }
  if (name == "model") {
    return ReadText(value, caller.model);
  }
  if (name == "rate") {
    return ReadNumber(value, caller.rate);
  }
  if (name == "burst_factor") {
    return ReadNumber(value, caller.burst_factor);
  }
  if (name == "burst_period_s") {
    return ReadNumber(value, caller.burst_period_s);
  }
  if (name == "burst_length_s") {
    return ReadNumber(value, caller.burst_length_s);
  }
  if (name == "prompt_tokens") {
    return ReadNumber(value, caller.prompt_tokens);
  }
  if (name == "max_tokens") {
    return ReadNumber(value, caller.max_tokens);
  }
  if (name == "shared_prefix") {
    return ReadNumber(value, caller.shared_prefix);
  }
  if (name == "stream" && value.is_bool()) {
    caller.stream = value.get_bool();
    return true;
  }
  return false;
}

result<caller_profile> ParseCaller(const json::value& value) {
  if (!value.is_object()) {
    return Fail(error_kind::invalid_request, "a caller must be an object");
  }
  caller_profile caller;
  for (const auto& field : value.get_object()) {
    if (!ReadField(field.key(), field.value(), caller)) {
      return Fail(error_kind::invalid_request,
                  "caller field \"" + std::string(field.key()) +
                      "\" is unknown or has a wrong value");
    }
  }
  return caller;
}

}  // namespace

result<load_profile> ParseProfile(std::string_view text) {
  boost::system::error_code code;
  const json::value root = json::parse({text.data(), text.size()}, code);
  if (code || !root.is_object()) {
    return Fail(error_kind::invalid_request, "the profile is not JSON");
  }
  load_profile profile;
  for (const auto& field : root.get_object()) {
    const std::string name(field.key());
    bool known = false;
    if (name == "seconds") {
      known = ReadNumber(field.value(), profile.seconds);
    } else if (name == "seed") {
      known = ReadNumber(field.value(), profile.seed);
    } else if (name == "callers" && field.value().is_array()) {
      known = true;
      for (const json::value& each : field.value().get_array()) {
        auto caller = ParseCaller(each);
        if (!caller) {
          return Fail(caller.error());
        }
        profile.callers.push_back(std::move(*caller));
      }
    }
    if (!known) {
      return Fail(
          error_kind::invalid_request,
          "profile field \"" + name + "\" is unknown or has a wrong value");
    }
  }
  return profile;
}

}  // namespace cardamomyard::loadgen
