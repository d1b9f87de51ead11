#ifndef CARDAMOMYARD_REVIEW_LIB_2_RECORD_H_
#define CARDAMOMYARD_REVIEW_LIB_2_RECORD_H_

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>

namespace review {

/// \brief Writes a line for each thing that was sent, answered or run.
class record {
 public:
  explicit record(const char* path) : file_(std::fopen(path, "w")) {}
  ~record() {
    if (file_ != nullptr) {
      std::fclose(file_);
    }
  }
  record(const record&) = delete;
  record& operator=(const record&) = delete;

  bool ok() const { return file_ != nullptr; }
  void Line(const std::string& who, const std::string& what) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f %-10s %s\n", Seconds(), who.c_str(),
                 what.c_str());
    std::fflush(file_);
  }
  /// \returns the time since the record was opened.
  double Seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         began_)
        .count();
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point began_ =
      std::chrono::steady_clock::now();
};

/// \returns whether the run includes the disruption.
inline bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace review

#endif  // CARDAMOMYARD_REVIEW_LIB_2_RECORD_H_
