#ifndef CARDAMOMYARD_NODE_STORED_RECORD_H_
#define CARDAMOMYARD_NODE_STORED_RECORD_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "cardamomyard/store.h"

namespace cardamomyard {

/// \brief A parsed record with the version that a conditional write needs.
template <class Record>
struct versioned {
  Record value;
  std::uint64_t version = 0;
};

/// \returns the record under \p key, or nothing when there is none.
template <class Record>
boost::asio::awaitable<result<std::optional<versioned<Record>>>> ReadStored(
    store_client& store,
    std::string key) {
  result<std::optional<stored_object>> read =
      co_await store.Get(std::move(key));
  if (!read) {
    co_return Fail(read.error());
  }
  std::optional<versioned<Record>> found;
  if (*read) {
    result<Record> parsed = Record::Parse((*read)->value);
    if (!parsed) {
      co_return Fail(parsed.error());
    }
    found = versioned<Record>{std::move(*parsed), (*read)->version};
  }
  co_return found;
}

/// \returns the condition that the record is still as it was read.
template <class Record>
write_condition IfUnchanged(const std::optional<versioned<Record>>& read) {
  if (!read) {
    return write_if_absent{};
  }
  return write_if_version{read->version};
}

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_STORED_RECORD_H_
