#ifndef CARDAMOMYARD_STATECHART_STATE_CHART_H_
#define CARDAMOMYARD_STATECHART_STATE_CHART_H_

#include <map>
#include <string>
#include <string_view>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief A finite state machine, read from a TOML file.
///
/// The file holds one table `[state.NAME]` per state, with the optional flags
/// `initial` and `final`, and one `[[transition]]` {from, event, to} per
/// transition.
class state_chart {
 public:
  /// \brief Reads and checks the chart in the file \p path.
  static result<state_chart> Load(const std::string& path);
  /// \brief Reads and checks a chart.
  /// \param text  the TOML text.
  /// \param name  the name of the chart in error messages.
  /// \returns the chart, or invalid_request naming the first error found.
  static result<state_chart> Parse(std::string_view text,
                                   std::string_view name = "chart");

  /// \returns the state that \p event leads to from \p state; conflict if the
  /// chart has no such transition, invalid_request if the state is unknown.
  result<std::string> Next(std::string_view state,
                           std::string_view event) const;

  const std::string& name() const { return name_; }
  const std::string& initial() const { return initial_; }
  bool HasState(std::string_view state) const;
  bool IsFinal(std::string_view state) const;

  friend bool operator==(const state_chart&, const state_chart&) = default;

 private:
  struct state {
    bool is_final = false;
    std::map<std::string, std::string, std::less<>> next;  ///< event -> state
    friend bool operator==(const state&, const state&) = default;
  };

  result<void> AddTransition(const std::string& from,
                             const std::string& event,
                             const std::string& to);
  /// \brief Checks that each state is reachable from the initial state.
  result<void> CheckReachability() const;

  std::string name_;
  std::string initial_;
  std::map<std::string, state, std::less<>> states_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_STATECHART_STATE_CHART_H_
