#include "src/batch/upload_splitter.h"

#include <utility>

#include "src/base/digest.h"
#include "src/batch/batch_limits.h"
#include "src/batch/chunk.h"

namespace cardamomyard {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
// An unfinished line may also hold a byte order mark and a carriage return.
constexpr std::size_t kMaxPartialBytes = kMaxLineBytes + 4;

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
  std::vector<upload_chunk> out;
  while (true) {
    const std::size_t end = piece.find('\n');
    if (end == std::string_view::npos) {
      break;
    }
    std::string_view line = piece.substr(0, end);
    if (!partial_.empty()) {
      partial_ += line;
      line = partial_;
    }
    if (const result<void> taken = TakeLine(line, out); !taken) {
      return Fail(taken.error());
    }
    partial_.clear();
    piece.remove_prefix(end + 1);
  }
  if (partial_.size() + piece.size() > kMaxPartialBytes) {
    return FailAt(line_ + 1, error::Make(error_kind::too_large,
                                         "the line is longer than 256 KB"));
  }
  partial_ += piece;
  return out;
}

result<finished_upload> upload_splitter::Finish() {
  if (!status_) {
    return Fail(status_.error());
  }
  finished_upload out;
  if (!partial_.empty()) {
    if (const result<void> taken = TakeLine(partial_, out.chunks); !taken) {
      return Fail(taken.error());
    }
    partial_.clear();
  }
  CloseChunk(out.chunks);
  if (manifest_.items == 0) {
    return Fail(error_kind::invalid_request, "the file holds no items");
  }
  out.manifest = manifest_;
  return out;
}

result<void> upload_splitter::TakeLine(std::string_view line,
                                       std::vector<upload_chunk>& out) {
  ++line_;
  if (line_ == 1 && line.starts_with(kByteOrderMark)) {
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
    return FailAt(line_, item.error());
  }
  const auto [first, added] =
      lines_by_id_.try_emplace(std::move(item->custom_id), line_);
  if (!added) {
    return FailAt(line_, error::Make(error_kind::invalid_request,
                                     "\"custom_id\" is the same as in line " +
                                         std::to_string(first->second)));
  }
  if (chunk_.text.size() + line.size() + 1 > kMaxChunkBytes ||
      chunk_.items == kMaxItemsPerChunk) {
    CloseChunk(out);
  }
  if (manifest_.chunks.size() == kMaxChunksPerFile) {
    return FailAt(line_, error::Make(error_kind::too_large,
                                     "the file has more than 10000 chunks"));
  }
  chunk_.text += line;
  chunk_.text += '\n';
  ++chunk_.items;
  ++manifest_.items;
  return {};
}

void upload_splitter::CloseChunk(std::vector<upload_chunk>& out) {
  if (chunk_.items == 0) {
    return;
  }
  chunk_.id = Sha256Hex(chunk_.text);
  manifest_.chunks.push_back(chunk_.id);
  manifest_.items_per_chunk.push_back(chunk_.items);
  out.push_back(std::exchange(chunk_, upload_chunk{}));
}

tl::unexpected<error> upload_splitter::FailAt(std::uint64_t line,
                                              const error& cause) {
  status_ = Fail(cause.kind(),
                 "line " + std::to_string(line) + ": " + cause.message());
  return Fail(status_.error());
}

}  // namespace cardamomyard
