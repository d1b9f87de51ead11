#include "src/store/object_store.h"

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

// A store answers in milliseconds; a refused call is not repeated at once.
constexpr std::chrono::milliseconds kFirstRetry{40};
constexpr std::chrono::milliseconds kMostRetry{500};

}  // namespace

boost::asio::awaitable<result<void>> CreateSurely(object_store& store,
                                                  const clock& time,
                                                  std::string kind,
                                                  std::string name,
                                                  std::string value,
                                                  time_point deadline) {
  backoff delay(kFirstRetry, kMostRetry, Hash64(name));
  bool may_exist = false;
  while (true) {
    const result<store_record> created =
        co_await store.Create(kind, name, value);
    if (created || created.error().kind() == error_kind::conflict) {
      co_return result<void>();
    }
    may_exist |= created.error().ran() != outcome::not_run;
    const std::chrono::milliseconds pause = delay.Next();
    if (created.error().kind() != error_kind::store_unavailable ||
        time.Now() + pause >= deadline) {
      co_return Fail(created.error().WithOutcome(
          may_exist ? outcome::may_have_run : outcome::not_run));
    }
    co_await SleepFor(pause);
  }
}

}  // namespace cardamomyard
