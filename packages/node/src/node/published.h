#ifndef CARDAMOMYARD_NODE_PUBLISHED_H_
#define CARDAMOMYARD_NODE_PUBLISHED_H_

#include <memory>
#include <mutex>
#include <utility>

namespace cardamomyard {

/// \brief Holds an immutable snapshot that the control thread replaces while
/// traffic threads read it.
template <class T>
class published {
 public:
  published() = default;
  explicit published(std::shared_ptr<const T> initial)
      : value_(std::move(initial)) {}

  std::shared_ptr<const T> Get() const {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  void Set(std::shared_ptr<const T> next) {
    const std::lock_guard lock(mutex_);
    value_.swap(next);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_PUBLISHED_H_
