#include "src/node/entry/multipart_reader.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

constexpr std::size_t kMaxPartHeaderBytes = 8 * 1024;
constexpr std::size_t kMaxBoundaryBytes = 70;  // RFC 2046.

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

multipart_reader::multipart_reader(std::string_view boundary)
    : delimiter_("\r\n--" + std::string(boundary)),
      // The first delimiter has no preceding line break when it starts the
      // body.
      buffer_("\r\n") {}

result<multipart_reader> multipart_reader::Create(
    std::string_view content_type) {
  const std::size_t parameter = content_type.find("boundary=");
  std::string_view boundary;
  if (parameter != std::string_view::npos) {
    boundary =
        content_type.substr(parameter + std::string_view("boundary=").size());
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
  while (ParseNext(out)) {
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

bool multipart_reader::ParseNext(std::string& out) {
  switch (state_) {
    case state::preamble:
    case state::content:
      return ParseContent(out);
    case state::after_boundary:
      if (buffer_.size() < 2) {
        return false;
      }
      state_ = buffer_.starts_with("--") ? state::finished : state::headers;
      return true;
    case state::headers:
      return ParseHeaders();
    case state::finished:
      buffer_.clear();
      return false;
  }
  return false;
}

bool multipart_reader::ParseHeaders() {
  const std::size_t end = buffer_.find("\r\n\r\n");
  if (end == std::string::npos) {
    malformed_ = malformed_ || buffer_.size() > kMaxPartHeaderBytes;
    return false;
  }
  std::string head = buffer_.substr(0, end);
  std::transform(head.begin(), head.end(), head.begin(), ToLower);
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

bool multipart_reader::ParseContent(std::string& out) {
  const std::size_t end = buffer_.find(delimiter_);
  const bool found = end != std::string::npos;
  // The end of the buffer is kept, because a delimiter may be split between
  // two pieces.
  const std::size_t tail_size = std::min(buffer_.size(), delimiter_.size() - 1);
  const std::size_t content_size = found ? end : buffer_.size() - tail_size;
  if (in_file_) {
    out.append(buffer_, 0, content_size);
  }
  buffer_.erase(0, found ? end + delimiter_.size() : content_size);
  if (found) {
    in_file_ = false;
    state_ = state::after_boundary;
  }
  return found;
}

}  // namespace cardamomyard
