#ifndef REVIEW_LIB_RECORD_H_
#define REVIEW_LIB_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// \brief The file that tells what was sent, answered and run.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}

  /// Writes a line with the time since the start. Safe from any thread.
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << "t=" << static_cast<double>(Elapsed().count()) / 1000 << "s "
          << text << std::endl;
  }

  std::chrono::milliseconds Elapsed() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - began_);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point began_ =
      std::chrono::steady_clock::now();
};

}  // namespace review

#endif  // REVIEW_LIB_RECORD_H_
