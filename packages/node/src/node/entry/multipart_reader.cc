#include "src/node/entry/multipart_reader.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

constexpr std::size_t kMaxPartHeaderBytes = 8 * 1024;
constexpr std::size_t kMaxBoundaryBytes = 70;  // RFC 2046.

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

multipart_reader::multipart_reader(std::string_view boundary)
    : delimiter_("\r\n--" + std::string(boundary)),
      // The first delimiter may stand at the start of the body.
      buffer_("\r\n") {}

result<multipart_reader> multipart_reader::Create(
    std::string_view content_type) {
  const std::size_t at = content_type.find("boundary=");
  std::string_view boundary;
  if (at != std::string_view::npos) {
    boundary = content_type.substr(at + std::string_view("boundary=").size());
    if (boundary.starts_with('"')) {
      boundary.remove_prefix(1);
      boundary = boundary.substr(0, boundary.find('"'));
    } else {
      boundary = boundary.substr(0, boundary.find_first_of("; "));
    }
  }
  if (boundary.empty() || boundary.size() > kMaxBoundaryBytes) {
    return Fail(error_kind::invalid_request,
                "multipart/form-data needs a boundary of 1 to 70 characters");
  }
  return multipart_reader(boundary);
}

result<std::string> multipart_reader::Feed(std::string_view piece) {
  buffer_ += piece;
  std::string out;
  while (Step(out)) {
  }
  if (malformed_) {
    return Fail(error_kind::invalid_request,
                "the multipart/form-data body is malformed");
  }
  return out;
}

result<void> multipart_reader::Finish() const {
  if (state_ != state::finished) {
    return Fail(error_kind::invalid_request,
                "the multipart/form-data body ends before its last boundary");
  }
  if (!file_seen_) {
    return Fail(error_kind::invalid_request,
                "multipart/form-data needs a part named \"file\"");
  }
  return {};
}

bool multipart_reader::Step(std::string& out) {
  switch (state_) {
    case state::preamble:
    case state::content:
      return StepContent(out);
    case state::after_boundary:
      if (buffer_.size() < 2) {
        return false;
      }
      state_ = buffer_.starts_with("--") ? state::finished : state::headers;
      return true;
    case state::headers:
      return StepHeaders();
    case state::finished:
      buffer_.clear();
      return false;
  }
  return false;
}

bool multipart_reader::StepHeaders() {
  const std::size_t end = buffer_.find("\r\n\r\n");
  if (end == std::string::npos) {
    malformed_ = malformed_ || buffer_.size() > kMaxPartHeaderBytes;
    return false;
  }
  std::string head = buffer_.substr(0, end);
  std::transform(head.begin(), head.end(), head.begin(), Lower);
  buffer_.erase(0, end + 4);
  in_file_ = head.find("content-disposition:") != std::string::npos &&
             (head.find(" name=\"file\"") != std::string::npos ||
              head.find(";name=\"file\"") != std::string::npos);
  if (in_file_ && file_seen_) {
    malformed_ = true;
    return false;
  }
  file_seen_ = file_seen_ || in_file_;
  state_ = state::content;
  return true;
}

bool multipart_reader::StepContent(std::string& out) {
  const std::size_t end = buffer_.find(delimiter_);
  const bool found = end != std::string::npos;
  // A delimiter may be split between two pieces.
  const std::size_t kept = std::min(buffer_.size(), delimiter_.size() - 1);
  const std::size_t taken = found ? end : buffer_.size() - kept;
  if (in_file_) {
    out.append(buffer_, 0, taken);
  }
  buffer_.erase(0, found ? end + delimiter_.size() : taken);
  if (found) {
    in_file_ = false;
    state_ = state::after_boundary;
  }
  return found;
}

}  // namespace cardamomyard
