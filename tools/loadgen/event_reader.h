#ifndef CARDAMOMYARD_TOOLS_LOADGEN_EVENT_READER_H_
#define CARDAMOMYARD_TOOLS_LOADGEN_EVENT_READER_H_

#include <string>
#include <string_view>
#include <vector>

namespace cardamomyard::loadgen {

/// \brief Splits a server-sent event stream into the data of its events.
class event_reader {
 public:
  /// \returns the events that \p piece completes.
  std::vector<std::string> Feed(std::string_view piece);

 private:
  std::string rest_;
};

}  // namespace cardamomyard::loadgen

#endif  // CARDAMOMYARD_TOOLS_LOADGEN_EVENT_READER_H_
