#include "src/jobs/job_store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace cardamomyard {
namespace {

constexpr const char* kInputKind = "batch-input";
constexpr const char* kResultKind = "batch-result";
constexpr const char* kPageKind = "batch-page";
constexpr const char* kTextKind = "batch-text";
// Fraction of the store's value limit that a value may use. The rest is for the
// fields around it.
constexpr double kMaxValueFraction = 0.8;
// Results above this fraction of the limit are sealed into a page of their own,
// so that later writes do not repeat them.
constexpr double kMaxPageFraction = 0.5;
// Items up to this size are stored in the job's record, which every worker
// receives: ten items of 3 KB.
constexpr std::size_t kMaxInlineBytes = 40'000;
constexpr std::chrono::milliseconds kInitialBackoff{40};
constexpr std::chrono::milliseconds kMaxBackoff{500};
constexpr int kMaxReadBackAttempts = 6;

std::size_t Fraction(std::size_t bytes, double fraction) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

std::size_t JsonSize(const std::string& text) {
  return boost::json::serialize(boost::json::string(text)).size();
}

/// \returns the entries of \p list from \p from on that fit into \p max_bytes,
/// at least one.
template <class Entry, class Size>
std::vector<Entry> Slice(const std::vector<Entry>& list,
                         std::size_t from,
                         std::size_t max_bytes,
                         Size size) {
  std::vector<Entry> taken;
  std::size_t bytes = 0;
  for (std::size_t i = from; i < list.size(); ++i) {
    bytes += size(list[i]);
    if (!taken.empty() && bytes > max_bytes) {
      break;
    }
    taken.push_back(list[i]);
  }
  return taken;
}

std::string PartName(const std::string& job, std::int64_t part) {
  return job + "." + std::to_string(part);
}

}  // namespace

std::vector<job_item_result> SliceResults(
    const std::vector<job_item_result>& list,
    std::size_t from,
    std::size_t max_bytes) {
  return Slice(list, from, max_bytes, [](const job_item_result& entry) {
    return JsonSize(entry.text);
  });
}

job_store::job_store(object_store& store, const clock& time)
    : store_(&store), clock_(&time) {}

boost::asio::awaitable<result<void>> job_store::Accept(fleet_job record,
                                                       const job_input& input,
                                                       time_point deadline) {
  const std::string items = EncodeInput(input.items);
  if (items.size() <= kMaxInlineBytes &&
      store_->EncodedSize(items) <= value_limit()) {
    record.items = input.items;
    co_return co_await CreateSurely(*store_, *clock_, kJobKind, record.id,
                                    EncodeRecord(record), deadline);
  }
  const result<std::vector<std::string>> parts = EncodeInputParts(
      input,
      [this](const std::string& value) { return store_->EncodedSize(value); },
      value_limit());
  if (!parts) {
    co_return Fail(parts.error());
  }
  record.input_parts = static_cast<std::int64_t>(parts->size());
  for (std::size_t i = 0; i < parts->size(); ++i) {
    const result<void> stored =
        co_await CreateSurely(*store_, *clock_, kInputKind,
                              PartName(record.id, static_cast<std::int64_t>(i)),
                              (*parts)[i], deadline);
    if (!stored) {
      // Without its record the job does not exist.
      co_return Fail(stored.error().WithOutcome(outcome::not_run));
    }
  }
  co_return co_await CreateSurely(*store_, *clock_, kJobKind, record.id,
                                  EncodeRecord(record), deadline);
}

boost::asio::awaitable<result<std::optional<stored_job>>> job_store::Read(
    std::string job) {
  const auto read = co_await store_->Get(kJobKind, job);
  if (!read) {
    co_return Fail(read.error());
  }
  if (!*read) {
    co_return std::optional<stored_job>();
  }
  result<fleet_job> record = DecodeRecord(job, (*read)->value);
  if (!record) {
    co_return Fail(record.error());
  }
  co_return stored_job{std::move(*record), (*read)->revision};
}

boost::asio::awaitable<result<std::uint64_t>> job_store::Update(
    fleet_job record,
    std::uint64_t revision) {
  const auto written = co_await store_->Replace(kJobKind, record.id,
                                                EncodeRecord(record), revision);
  if (!written) {
    co_return Fail(written.error());
  }
  co_return written->revision;
}

boost::asio::awaitable<result<std::string>>
job_store::Cancel(std::string job, std::string account, time_point deadline) {
  backoff delay(kInitialBackoff, kMaxBackoff, Hash64(job));
  while (true) {
    auto current = co_await Read(job);
    if (current && (!*current || (*current)->record.account != account)) {
      co_return Fail(error_kind::not_found, "there is no batch job " + job);
    }
    error cause = error::Make(error_kind::store_unavailable, "");
    if (current) {
      fleet_job record = (*current)->record;
      std::string owner = record.owner;
      if (record.cancelled || record.finished) {
        co_return owner;
      }
      record.cancelled = true;
      const auto written =
          co_await Update(std::move(record), (*current)->revision);
      if (written) {
        co_return owner;
      }
      cause = written.error();
    } else {
      cause = current.error();
    }
    const auto pause = delay.Next();
    if (clock_->Now() + pause >= deadline) {
      co_return Fail(std::move(cause));
    }
    co_await SleepFor(pause);
  }
}

boost::asio::awaitable<result<job_input>> job_store::ReadInput(
    fleet_job record) {
  job_input input;
  input.items = std::move(record.items);
  for (std::int64_t part = 0; part < record.input_parts; ++part) {
    const auto read =
        co_await store_->Get(kInputKind, PartName(record.id, part));
    if (!read) {
      co_return Fail(read.error());
    }
    if (!*read) {
      co_return Fail(error_kind::not_found,
                     "the input of batch job " + record.id + " is missing");
    }
    result<std::vector<job_item>> items = DecodeInput((*read)->value);
    if (!items) {
      co_return Fail(items.error());
    }
    std::move(items->begin(), items->end(), std::back_inserter(input.items));
  }
  co_return input;
}

boost::asio::awaitable<result<stored_results>> job_store::ReadResults(
    std::string job) {
  const auto read = co_await store_->Get(kResultKind, job);
  if (!read) {
    co_return Fail(read.error());
  }
  if (!*read) {
    co_return stored_results{};
  }
  result<job_results> results = DecodeResults((*read)->value);
  if (!results) {
    co_return Fail(results.error());
  }
  co_return stored_results{std::move(*results), (*read)->revision};
}

boost::asio::awaitable<result<stored_results>> job_store::FenceResults(
    std::string job) {
  auto current = co_await ReadResults(job);
  if (!current) {
    co_return Fail(current.error());
  }
  ++current->results.fencing_token;
  co_return co_await Append(std::move(job), std::move(*current), {});
}

boost::asio::awaitable<result<std::vector<listed_result>>> job_store::ReadPage(
    std::string job,
    std::int64_t page) {
  const auto read = co_await store_->Get(kPageKind, PartName(job, page));
  if (!read) {
    co_return Fail(read.error());
  }
  if (!*read) {
    co_return Fail(error_kind::internal,
                   "a result page of batch job " + job + " is missing");
  }
  co_return DecodePage((*read)->value);
}

boost::asio::awaitable<result<std::vector<job_item_result>>>
job_store::ReadFrom(std::string job,
                    const job_results& results,
                    std::int64_t after,
                    std::size_t max_bytes) {
  result<std::vector<listed_result>> list = results.open_page;
  std::int64_t first = 0;
  for (std::size_t page = 0; page < results.sealed_page_sizes.size(); ++page) {
    const std::int64_t count = results.sealed_page_sizes[page];
    if (after < first + count) {
      list = co_await ReadPage(job, static_cast<std::int64_t>(page));
      break;
    }
    first += count;
  }
  if (!list) {
    co_return Fail(list.error());
  }
  const std::vector<listed_result> taken = Slice(
      *list, static_cast<std::size_t>(std::max<std::int64_t>(0, after - first)),
      max_bytes, [max_bytes](const listed_result& listed) {
        // The size of a text in separate records is not known.
        return listed.text_parts > 0 ? max_bytes : JsonSize(listed.text);
      });
  std::vector<job_item_result> entries;
  for (const listed_result& listed : taken) {
    result<std::string> text = listed.text;
    if (listed.text_parts > 0) {
      text = co_await ReadText(job, listed);
    }
    if (!text) {
      co_return Fail(text.error());
    }
    entries.push_back({listed.item, listed.completed, std::move(*text)});
  }
  co_return entries;
}

std::size_t job_store::value_limit() const {
  return Fraction(store_->max_value_bytes(), kMaxValueFraction);
}

std::size_t job_store::page_limit() const {
  return Fraction(store_->max_value_bytes(), kMaxPageFraction);
}

std::size_t job_store::Size(const listed_result& listed) const {
  return store_->EncodedSize(EncodeListedResult(listed));
}

std::size_t job_store::Size(const std::vector<listed_result>& page) const {
  return store_->EncodedSize(EncodePage(page));
}

std::vector<std::string> job_store::TextParts(const std::string& text) const {
  return SplitText(
      text,
      [this](const std::string& value) { return store_->EncodedSize(value); },
      value_limit());
}

listed_result job_store::ListResult(const job_item_result& entry) const {
  listed_result listed{entry.item, entry.completed, entry.text, 0, ""};
  if (Size(listed) > page_limit()) {
    listed.text.clear();
    listed.text_parts = static_cast<std::int64_t>(TextParts(entry.text).size());
    // The same text has the same name, so that it can be stored again after an
    // attempt that was interrupted.
    listed.text_name = std::to_string(Hash64(entry.text));
  }
  return listed;
}

boost::asio::awaitable<result<void>> job_store::StoreText(
    std::string job,
    const listed_result& listed,
    const job_item_result& entry) {
  if (listed.text_parts == 0) {
    co_return result<void>();
  }
  const std::vector<std::string> parts = TextParts(entry.text);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto created = co_await store_->Create(
        kTextKind,
        PartName(job + "." + listed.text_name, static_cast<std::int64_t>(i)),
        parts[i]);
    if (!created && created.error().kind() != error_kind::conflict) {
      co_return Fail(created.error());
    }
  }
  co_return result<void>();
}

boost::asio::awaitable<result<std::string>> job_store::ReadText(
    std::string job,
    const listed_result& listed) {
  std::string text;
  for (std::int64_t part = 0; part < listed.text_parts; ++part) {
    const auto read = co_await store_->Get(
        kTextKind, PartName(job + "." + listed.text_name, part));
    if (!read) {
      co_return Fail(read.error());
    }
    if (!*read) {
      co_return Fail(error_kind::internal,
                     "a text of batch job " + job + " is missing");
    }
    text += (*read)->value;
  }
  co_return text;
}

boost::asio::awaitable<result<void>> job_store::StartPage(
    std::string job,
    job_results& results) {
  const result<std::size_t> sealed = co_await Seal(job, results);
  if (!sealed) {
    co_return Fail(sealed.error());
  }
  results.sealed_page_sizes.push_back(static_cast<std::int64_t>(*sealed));
  results.open_page.erase(
      results.open_page.begin(),
      results.open_page.begin() + static_cast<std::ptrdiff_t>(*sealed));
  co_return result<void>();
}

boost::asio::awaitable<result<stored_results>> job_store::Append(
    std::string job,
    stored_results current,
    std::vector<job_item_result> new_results) {
  stored_results next = current;
  std::vector<listed_result>& page = next.results.open_page;
  std::size_t page_size = Size(page);
  bool any_added = false;
  for (const job_item_result& entry : new_results) {
    const listed_result listed = ListResult(entry);
    const std::size_t size = Size(listed);
    if (any_added && page_size + size > page_limit()) {
      break;
    }
    // Only results that are stored already may be sealed.
    while (!page.empty() && page_size + size > page_limit()) {
      const result<void> started = co_await StartPage(job, next.results);
      if (!started) {
        co_return Fail(started.error());
      }
      page_size = Size(page);
    }
    const result<void> stored = co_await StoreText(job, listed, entry);
    if (!stored) {
      co_return Fail(stored.error());
    }
    page.push_back(listed);
    page_size += size;
    any_added = true;
  }
  const std::string value = EncodeResults(next.results);
  // Not one conditional expression: g++ 12 destroys its operands twice.
  result<store_record> written = Fail(error_kind::internal, "");
  if (current.revision == 0) {
    written = co_await store_->Create(kResultKind, job, value);
  } else {
    written =
        co_await store_->Replace(kResultKind, job, value, current.revision);
  }
  if (written) {
    next.revision = written->revision;
    co_return next;
  }
  if (written.error().ran() == outcome::not_run &&
      written.error().kind() != error_kind::conflict) {
    co_return Fail(written.error());
  }
  // The write, or an earlier attempt at it, may have taken effect.
  const error cause = written.error();
  backoff delay(kInitialBackoff, kMaxBackoff, Hash64(job));
  for (int i = 0; i < kMaxReadBackAttempts; ++i) {
    auto stored = co_await ReadResults(job);
    if (stored) {
      if (stored->results == next.results) {
        co_return std::move(*stored);
      }
      co_return Fail(cause.kind() == error_kind::conflict ||
                             stored->revision != current.revision
                         ? error::Make(error_kind::conflict, cause.message())
                         : cause);
    }
    co_await SleepFor(delay.Next());
  }
  co_return Fail(cause);
}

boost::asio::awaitable<result<std::size_t>> job_store::Seal(
    std::string job,
    const job_results& results) {
  const std::string name = PartName(
      job, static_cast<std::int64_t>(results.sealed_page_sizes.size()));
  const auto created =
      co_await store_->Create(kPageKind, name, EncodePage(results.open_page));
  if (created) {
    co_return results.open_page.size();
  }
  if (created.error().kind() != error_kind::conflict) {
    co_return Fail(created.error());
  }
  // Another worker, or an earlier attempt, sealed this page and stopped before
  // it recorded that. The sealed results must be the first of the open page.
  const auto read = co_await store_->Get(kPageKind, name);
  if (!read) {
    co_return Fail(read.error());
  }
  if (!*read) {
    co_return Fail(error_kind::conflict,
                   "result page " + name + " no longer exists");
  }
  const auto page = DecodePage((*read)->value);
  if (!page) {
    co_return Fail(page.error());
  }
  if (page->size() > results.open_page.size() ||
      !std::equal(page->begin(), page->end(), results.open_page.begin())) {
    co_return Fail(error_kind::conflict,
                   "result page " + name + " was sealed with other results");
  }
  co_return page->size();
}

boost::asio::awaitable<void> job_store::RemoveTexts(
    std::string job,
    const std::vector<listed_result>& page) {
  for (const listed_result& listed : page) {
    for (std::int64_t part = 0; part < listed.text_parts; ++part) {
      co_await store_->Remove(kTextKind,
                              PartName(job + "." + listed.text_name, part));
    }
  }
}

boost::asio::awaitable<void> job_store::Remove(fleet_job record,
                                               job_results results) {
  // The job's record is removed last, so that an interrupted removal can be
  // found and repeated. A text that a worker stored without listing its result
  // stays.
  for (std::int64_t part = 0; part < record.input_parts; ++part) {
    co_await store_->Remove(kInputKind, PartName(record.id, part));
  }
  const auto pages =
      static_cast<std::int64_t>(results.sealed_page_sizes.size());
  for (std::int64_t page = 0; page < pages; ++page) {
    if (const auto list = co_await ReadPage(record.id, page)) {
      co_await RemoveTexts(record.id, *list);
    }
    co_await store_->Remove(kPageKind, PartName(record.id, page));
  }
  co_await RemoveTexts(record.id, results.open_page);
  co_await store_->Remove(kResultKind, record.id);
  co_await store_->Remove(kJobKind, record.id);
}

}  // namespace cardamomyard
