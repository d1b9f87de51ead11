#include "src/batch/upload_splitter.h"

#include <utility>

#include "src/base/digest.h"
#include "src/batch/batch_limits.h"
#include "src/batch/chunk.h"

namespace cardamomyard {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
// An incomplete line may also contain a byte order mark (3 bytes) and a
// carriage return (1 byte).
constexpr std::size_t kMaxPartialLineBytes = kMaxLineBytes + 4;

}  // namespace

upload_splitter::upload_splitter(std::string account) {
  manifest_.account = std::move(account);
}

result<std::vector<upload_chunk>> upload_splitter::Feed(
    std::string_view piece) {
  if (!status_) {
    return Fail(status_.error());
  }
  manifest_.bytes += piece.size();
  std::vector<upload_chunk> completed;
  while (true) {
    const std::size_t end = piece.find('\n');
    if (end == std::string_view::npos) {
      break;
    }
    std::string_view line = piece.substr(0, end);
    if (!partial_line_.empty()) {
      partial_line_ += line;
      line = partial_line_;
    }
    if (const result<void> added = AddLine(line, completed); !added) {
      return Fail(added.error());
    }
    partial_line_.clear();
    piece.remove_prefix(end + 1);
  }
  if (partial_line_.size() + piece.size() > kMaxPartialLineBytes) {
    return FailAt(
        line_number_ + 1,
        error::Make(error_kind::too_large, "the line is longer than 256 KB"));
  }
  partial_line_ += piece;
  return completed;
}

result<finished_upload> upload_splitter::Finish() {
  if (!status_) {
    return Fail(status_.error());
  }
  finished_upload upload;
  if (!partial_line_.empty()) {
    if (const result<void> added = AddLine(partial_line_, upload.chunks);
        !added) {
      return Fail(added.error());
    }
    partial_line_.clear();
  }
  CloseChunk(upload.chunks);
  if (manifest_.items == 0) {
    return Fail(error_kind::invalid_request, "the file holds no items");
  }
  upload.manifest = manifest_;
  return upload;
}

result<void> upload_splitter::AddLine(std::string_view line,
                                      std::vector<upload_chunk>& completed) {
  ++line_number_;
  if (line_number_ == 1 && line.starts_with(kByteOrderMark)) {
    line.remove_prefix(kByteOrderMark.size());
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    return {};
  }
  result<batch_item> item = ParseItem(line);
  if (!item) {
    return FailAt(line_number_, item.error());
  }
  const auto [first_line, added] =
      lines_by_id_.try_emplace(std::move(item->custom_id), line_number_);
  if (!added) {
    return FailAt(line_number_,
                  error::Make(error_kind::invalid_request,
                              "\"custom_id\" is the same as in line " +
                                  std::to_string(first_line->second)));
  }
  if (chunk_.text.size() + line.size() + 1 > kMaxChunkBytes ||
      chunk_.items == kMaxItemsPerChunk) {
    CloseChunk(completed);
  }
  if (manifest_.chunks.size() == kMaxChunksPerFile) {
    return FailAt(line_number_,
                  error::Make(error_kind::too_large,
                              "the file has more than 10000 chunks"));
  }
  chunk_.text += line;
  chunk_.text += '\n';
  ++chunk_.items;
  ++manifest_.items;
  return {};
}

void upload_splitter::CloseChunk(std::vector<upload_chunk>& completed) {
  if (chunk_.items == 0) {
    return;
  }
  chunk_.id = Sha256Hex(chunk_.text);
  manifest_.chunks.push_back(chunk_.id);
  manifest_.items_per_chunk.push_back(chunk_.items);
  completed.push_back(std::exchange(chunk_, upload_chunk{}));
}

tl::unexpected<error> upload_splitter::FailAt(std::uint64_t line,
                                              const error& cause) {
  status_ = Fail(cause.kind(),
                 "line " + std::to_string(line) + ": " + cause.message());
  return Fail(status_.error());
}

}  // namespace cardamomyard
