#include "src/statechart/state_chart.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>
#include <fstream>
#include <iterator>
#include <set>
#include <vector>

namespace cardamomyard {
namespace {

/// \returns the first key of \p table that is not in \p known, or "".
std::string UnknownKey(const toml::table& table,
                       const std::set<std::string_view>& known) {
  for (const auto& [key, value] : table) {
    if (!known.contains(key.str())) {
      return std::string(key.str());
    }
  }
  return {};
}

}  // namespace

result<state_chart> state_chart::Load(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(error_kind::invalid_request,
                "state chart " + path + " cannot be read");
  }
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  return Parse(text, path);
}

result<state_chart> state_chart::Parse(std::string_view text,
                                       std::string_view name) {
  const auto fail = [name](const std::string& message) {
    return Fail(error_kind::invalid_request,
                "state chart " + std::string(name) + ": " + message);
  };
  const toml::parse_result parsed = toml::parse(text, name);
  if (!parsed) {
    return fail("line " + std::to_string(parsed.error().source().begin.line) +
                ": " + std::string(parsed.error().description()));
  }
  const toml::table& root = parsed.table();
  if (const auto key = UnknownKey(root, {"state", "transition"});
      !key.empty()) {
    return fail("unknown key \"" + key + "\", expected state or transition");
  }
  state_chart chart;
  chart.name_ = name;
  const toml::table* states = root["state"].as_table();
  if (states == nullptr || states->empty()) {
    return fail("no states, expected tables [state.NAME]");
  }
  for (const auto& [key, value] : *states) {
    const std::string state_name(key.str());
    const toml::table* flags = value.as_table();
    if (flags == nullptr || !UnknownKey(*flags, {"initial", "final"}).empty()) {
      return fail("state \"" + state_name +
                  "\" must be a table with only the flags initial and final");
    }
    for (const auto& [flag, flag_value] : *flags) {
      if (!flag_value.is_boolean()) {
        return fail("state \"" + state_name + "\": flag " +
                    std::string(flag.str()) + " must be true or false");
      }
    }
    chart.states_[state_name].is_final = (*flags)["final"].value_or(false);
    if ((*flags)["initial"].value_or(false)) {
      if (!chart.initial_.empty()) {
        return fail("two initial states, \"" + chart.initial_ + "\" and \"" +
                    state_name + "\"");
      }
      chart.initial_ = state_name;
    }
  }
  if (chart.initial_.empty()) {
    return fail("no initial state, expected one state with initial = true");
  }
  if (root.contains("transition") && !root["transition"].is_array()) {
    return fail("transition must be an array of tables [[transition]]");
  }
  const toml::array no_transitions;
  const toml::array* transitions = root["transition"].as_array();
  for (const toml::node& node :
       transitions == nullptr ? no_transitions : *transitions) {
    const auto line = "line " + std::to_string(node.source().begin.line) + ": ";
    const toml::table* transition = node.as_table();
    if (transition == nullptr || transition->size() != 3 ||
        !(*transition)["from"].is_string() ||
        !(*transition)["event"].is_string() ||
        !(*transition)["to"].is_string()) {
      return fail(line +
                  "a transition must have the strings from, event and to");
    }
    const auto from = (*transition)["from"].value_or(std::string());
    const auto event = (*transition)["event"].value_or(std::string());
    const auto to = (*transition)["to"].value_or(std::string());
    if (auto added = chart.AddTransition(from, event, to); !added) {
      return fail(line + added.error().message());
    }
  }
  if (auto checked = chart.CheckReachability(); !checked) {
    return fail(checked.error().message());
  }
  return chart;
}

result<void> state_chart::AddTransition(const std::string& from,
                                        const std::string& event,
                                        const std::string& to) {
  const bool from_exists = HasState(from);
  if (!from_exists || !HasState(to)) {
    return Fail(error_kind::invalid_request,
                "transition names the unknown state \"" +
                    (from_exists ? to : from) + "\"");
  }
  if (IsFinal(from)) {
    return Fail(error_kind::invalid_request,
                "final state \"" + from +
                    "\" has an outgoing transition on \"" + event + "\"");
  }
  if (!states_[from].next.emplace(event, to).second) {
    return Fail(
        error_kind::invalid_request,
        "duplicate transition from \"" + from + "\" on \"" + event + "\"");
  }
  return {};
}

result<void> state_chart::CheckReachability() const {
  std::set<std::string> reached{initial_};
  std::vector<std::string> to_visit{initial_};
  while (!to_visit.empty()) {
    const std::string from = to_visit.back();
    to_visit.pop_back();
    for (const auto& [event, to] : states_.at(from).next) {
      if (reached.insert(to).second) {
        to_visit.push_back(to);
      }
    }
  }
  for (const auto& [state_name, state] : states_) {
    if (!reached.contains(state_name)) {
      return Fail(error_kind::invalid_request, "state \"" + state_name +
                                                   "\" is unreachable from \"" +
                                                   initial_ + "\"");
    }
  }
  return {};
}

result<std::string> state_chart::Next(std::string_view state,
                                      std::string_view event) const {
  const auto found = states_.find(state);
  if (found == states_.end()) {
    return Fail(
        error_kind::invalid_request,
        "state \"" + std::string(state) + "\" does not exist in " + name_);
  }
  const auto next_state = found->second.next.find(event);
  if (next_state == found->second.next.end()) {
    return Fail(error_kind::conflict, "event \"" + std::string(event) +
                                          "\" is not allowed in state \"" +
                                          std::string(state) + "\"");
  }
  return next_state->second;
}

bool state_chart::HasState(std::string_view state) const {
  return states_.find(state) != states_.end();
}

bool state_chart::IsFinal(std::string_view state) const {
  const auto found = states_.find(state);
  return found != states_.end() && found->second.is_final;
}

}  // namespace cardamomyard
