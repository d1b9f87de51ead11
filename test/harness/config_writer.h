#ifndef CARDAMOMYARD_TEST_HARNESS_CONFIG_WRITER_H_
#define CARDAMOMYARD_TEST_HARNESS_CONFIG_WRITER_H_

#include <optional>
#include <string>

#include "cardamomyard/config.h"
#include "harness/test_client.h"

namespace cardamomyard::harness {

/// \brief The configuration in the store, with what a writer needs.
struct stored_configuration {
  std::optional<config_head> head;  ///< Nothing before the first generation.
  std::string version;              ///< ETag of the head.
  configuration content;
};

/// \brief Reads the configuration from the object API stand-in.
result<stored_configuration> ReadConfiguration(test_client& http,
                                               const host_address& store);

/// \brief Writes \p next as the generation after \p current.
/// \returns the new generation.
result<std::uint64_t> WriteConfiguration(test_client& http,
                                         const host_address& store,
                                         const stored_configuration& current,
                                         const configuration& next,
                                         const std::string& summary);

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_CONFIG_WRITER_H_
