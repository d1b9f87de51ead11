#include "src/node/entry/files_api.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/node/batch_keys.h"
#include "src/node/entry/caller_server.h"
#include "src/node/entry/key_line_guard.h"
#include "src/node/entry/multipart_reader.h"
#include "src/node/internal_api.h"
#include "src/node/stored_record.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

// What arrives is copied into the line or the chunk that it belongs to.
constexpr std::size_t kUploadCopies = 2;
constexpr std::size_t kMaxUploadHolding =
    kUploadCopies * (kMaxChunkBytes + kMaxLineBytes);
constexpr std::string_view kOutputSuffix = "-output";
constexpr std::string_view kErrorsSuffix = "-errors";

std::string DescribeFile(const file_manifest& file) {
  return json::serialize(json::object{{"id", file.Id()},
                                      {"object", "file"},
                                      {"bytes", file.bytes},
                                      {"items", file.items},
                                      {"purpose", "batch"},
                                      {"status", "processed"}});
}

header_list JsonLinesHeaders(const std::string& request_id) {
  header_list headers;
  headers.Set("Content-Type", "application/jsonl");
  headers.Set(internal_api::kRequestId, request_id);
  return headers;
}

}  // namespace

files_api::files_api(process_context& context, config_follower& config)
    : context_(&context), config_(&config) {}

asio::awaitable<void> files_api::Handle(http_exchange& exchange,
                                        caller_request request) {
  const std::vector<std::string>& parts = request.target.segments;
  const std::string& method = request.head.method;
  std::optional<error> failure;
  if (parts.size() == 2 && method == "POST") {
    result<std::string> answer = co_await Upload(exchange, request);
    if (answer) {
      co_await SendJson(exchange, 200, std::move(*answer), request.request_id);
    } else {
      failure = answer.error();
    }
  } else if (parts.size() == 3 && method == "GET") {
    result<file_manifest> file = co_await FindFile(request.account, parts[2]);
    if (file) {
      co_await SendJson(exchange, 200, DescribeFile(*file), request.request_id);
    } else {
      failure = file.error();
    }
  } else if (parts.size() == 4 && parts[3] == "content" && method == "GET") {
    failure = co_await SendContent(exchange, request, parts[2]);
  } else {
    failure =
        error::Make(error_kind::not_found, method + " " + request.target.path +
                                               " is not part of the files API");
  }
  if (failure && !exchange.answer_started()) {
    co_await SendError(exchange, *failure, request.request_id);
  }
}

std::optional<error> files_api::KeyWithdrawnError(
    const caller_request& request) const {
  if (config_->view()->keys.IsWithdrawn(request.key_id)) {
    return error::Make(error_kind::key_withdrawn,
                       "the key was withdrawn during the transfer");
  }
  return std::nullopt;
}

asio::awaitable<result<void>> files_api::StoreChunks(
    std::vector<upload_chunk> chunks) {
  for (upload_chunk& chunk : chunks) {
    result<void> stored = co_await context_->store().CreateImmutable(
        batch_keys::Chunk(chunk.id), std::move(chunk.text));
    if (!stored) {
      co_return Fail(stored.error().WithOutcome(outcome::not_run));
    }
  }
  co_return result<void>();
}

asio::awaitable<result<std::string>> files_api::Upload(
    http_exchange& exchange,
    const caller_request& request) {
  const std::string content_type =
      request.head.headers.Get("Content-Type").value_or("");
  std::optional<multipart_reader> form;
  if (content_type.starts_with("multipart/form-data")) {
    result<multipart_reader> created = multipart_reader::Create(content_type);
    if (!created) {
      co_return Fail(created.error());
    }
    form = std::move(*created);
  }
  upload_splitter splitter(request.account);
  key_line_guard guard;
  std::size_t held = 0;
  while (true) {
    result<std::string> piece = co_await exchange.ReadSome();
    if (!piece) {
      co_return Fail(piece.error());
    }
    if (piece->empty()) {
      break;
    }
    // An upload holds what it has received, up to a chunk and a line.
    const std::size_t more =
        std::min(kUploadCopies * piece->size(), kMaxUploadHolding - held);
    if (result<void> taken = co_await exchange.HoldMemory(more); !taken) {
      co_return Fail(taken.error());
    }
    held += more;
    if (const std::optional<error> withdrawn = KeyWithdrawnError(request)) {
      co_return Fail(*withdrawn);
    }
    if (form) {
      piece = form->Feed(*piece);
      if (!piece) {
        co_return Fail(piece.error());
      }
    }
    if (result<void> checked = guard.Feed(*piece); !checked) {
      co_return Fail(checked.error());
    }
    auto chunks = splitter.Feed(*piece);
    if (!chunks) {
      co_return Fail(chunks.error());
    }
    result<void> stored = co_await StoreChunks(std::move(*chunks));
    if (!stored) {
      co_return Fail(stored.error());
    }
  }
  if (form) {
    if (result<void> complete = form->Finish(); !complete) {
      co_return Fail(complete.error());
    }
  }
  auto finished = splitter.Finish();
  if (!finished) {
    co_return Fail(finished.error());
  }
  result<void> stored = co_await StoreChunks(std::move(finished->chunks));
  if (!stored) {
    co_return Fail(stored.error());
  }
  const file_manifest& file = finished->manifest;
  const write_condition absent = write_if_absent{};
  result<std::uint64_t> written = co_await context_->store().Put(
      batch_keys::File(file.Id()), file.ToJson(), absent);
  // A conflict means that the manifest exists already; it lists the same
  // chunks.
  if (!written && written.error().kind() != error_kind::conflict) {
    co_return Fail(written.error());
  }
  co_return DescribeFile(file);
}

asio::awaitable<result<file_manifest>> files_api::FindFile(
    std::string account,
    std::string file_id) {
  auto read = co_await ReadStored<file_manifest>(context_->store(),
                                                 batch_keys::File(file_id));
  if (!read) {
    co_return Fail(read.error());
  }
  if (!*read || (*read)->value.account != account) {
    co_return Fail(error_kind::not_found, "the file does not exist");
  }
  co_return std::move((*read)->value);
}

asio::awaitable<std::optional<error>> files_api::SendContent(
    http_exchange& exchange,
    const caller_request& request,
    std::string file_id) {
  if (!file_id.starts_with("batch_")) {
    co_return co_await SendInput(exchange, request, std::move(file_id));
  }
  const bool errors = file_id.ends_with(kErrorsSuffix);
  if (!errors && !file_id.ends_with(kOutputSuffix)) {
    co_return error::Make(error_kind::not_found, "the file does not exist");
  }
  file_id.resize(file_id.rfind('-'));
  co_return co_await SendResults(exchange, request, std::move(file_id), errors);
}

asio::awaitable<std::optional<error>> files_api::SendInput(
    http_exchange& exchange,
    const caller_request& request,
    std::string file_id) {
  result<file_manifest> file =
      co_await FindFile(request.account, std::move(file_id));
  if (!file) {
    co_return file.error();
  }
  for (const std::string& chunk : file->chunks) {
    auto text = co_await context_->store().Get(batch_keys::Chunk(chunk));
    if (!text) {
      co_return text.error();
    }
    if (!*text) {
      co_return error::Make(
          error_kind::internal,
          "a chunk of the input file is missing from the store");
    }
    if (const std::optional<error> withdrawn = KeyWithdrawnError(request)) {
      co_return withdrawn;
    }
    if (!exchange.answer_started()) {
      co_await exchange.StartStream(200, JsonLinesHeaders(request.request_id));
    }
    result<void> sent = co_await exchange.Write(std::move((*text)->value));
    if (!sent) {
      co_return std::nullopt;
    }
  }
  if (!exchange.answer_started()) {
    co_await exchange.StartStream(200, JsonLinesHeaders(request.request_id));
  }
  co_await exchange.Finish();
  co_return std::nullopt;
}

asio::awaitable<std::optional<error>> files_api::SendResults(
    http_exchange& exchange,
    const caller_request& request,
    std::string job_id,
    bool errors) {
  auto job = co_await ReadStored<job_record>(context_->store(),
                                             batch_keys::Job(job_id));
  if (!job) {
    co_return job.error();
  }
  if (!*job || (*job)->value.account != request.account) {
    co_return error::Make(error_kind::not_found, "the file does not exist");
  }
  result<file_manifest> file =
      co_await FindFile(request.account, (*job)->value.file_id);
  if (!file) {
    co_return file.error();
  }
  for (std::size_t group = 0; group < file->chunks.size(); ++group) {
    result<std::string> lines =
        co_await ResultLines((*job)->value, *file, group, errors);
    if (!lines) {
      co_return lines.error();
    }
    if (const std::optional<error> withdrawn = KeyWithdrawnError(request)) {
      co_return withdrawn;
    }
    if (!exchange.answer_started()) {
      co_await exchange.StartStream(200, JsonLinesHeaders(request.request_id));
    }
    if (lines->empty()) {
      continue;  // Writing an empty string would end the response body.
    }
    result<void> sent = co_await exchange.Write(std::move(*lines));
    if (!sent) {
      co_return std::nullopt;
    }
  }
  co_await exchange.Finish();
  co_return std::nullopt;
}

asio::awaitable<result<std::string>> files_api::ResultLines(job_record job,
                                                            file_manifest file,
                                                            std::size_t group,
                                                            bool errors) {
  store_client& store = context_->store();
  auto read = co_await ReadStored<group_record>(
      store, batch_keys::Group(job.id, group));
  if (!read) {
    co_return Fail(read.error());
  }
  std::string lines;
  if (!*read) {
    co_return lines;
  }
  const group_record& record = (*read)->value;
  for (std::size_t i = 0; i < record.segments.size(); ++i) {
    auto segment = co_await store.Get(
        batch_keys::Segment(job.id, group, record.segments[i]));
    if (!segment) {
      co_return Fail(segment.error());
    }
    if (!*segment) {
      co_return Fail(error_kind::internal,
                     "a result segment is missing from the store");
    }
    auto split = ReadSegment((*segment)->value, record, i);
    if (!split) {
      co_return Fail(split.error());
    }
    lines += errors ? split->errors : split->output;
  }
  if (!errors) {
    co_return lines;
  }
  auto chunk = co_await store.Get(batch_keys::Chunk(file.chunks[group]));
  if (!chunk) {
    co_return Fail(chunk.error());
  }
  auto items = ParseChunk(*chunk ? (*chunk)->value : std::string());
  if (!items) {
    co_return Fail(items.error());
  }
  std::vector<std::string> ids;
  ids.reserve(items->size());
  for (batch_item& item : *items) {
    ids.push_back(std::move(item.custom_id));
  }
  co_return lines + ErrorLinesWithoutSegment(job.id, group, record, ids);
}

}  // namespace cardamomyard
