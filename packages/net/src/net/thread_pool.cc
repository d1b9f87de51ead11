#include "src/net/thread_pool.h"

#include <algorithm>

namespace cardamomyard {

thread_pool::thread_pool(std::size_t threads) {
  const std::size_t count = std::max<std::size_t>(1, threads);
  for (std::size_t i = 0; i < count; ++i) {
    contexts_.push_back(std::make_unique<boost::asio::io_context>(1));
    guards_.emplace_back(contexts_.back()->get_executor());
  }
  for (auto& context : contexts_) {
    threads_.emplace_back([&context = *context] { context.run(); });
  }
}

thread_pool::~thread_pool() {
  Stop();
}

boost::asio::io_context& thread_pool::Next() {
  return *contexts_[next_++ % contexts_.size()];
}

boost::asio::io_context& thread_pool::At(std::size_t index) {
  return *contexts_.at(index);
}

void thread_pool::Stop() {
  for (auto& context : contexts_) {
    context->stop();
  }
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

}  // namespace cardamomyard
