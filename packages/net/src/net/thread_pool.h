#ifndef CARDAMOMYARD_NET_THREAD_POOL_H_
#define CARDAMOMYARD_NET_THREAD_POOL_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace cardamomyard {

/// \brief Threads that each run their own io_context.
///
/// A connection stays on the context where it was accepted, so its state needs
/// no lock.
class thread_pool {
 public:
  /// \param threads  number of threads, at least 1.
  explicit thread_pool(std::size_t threads);
  ~thread_pool();
  thread_pool(const thread_pool&) = delete;
  thread_pool& operator=(const thread_pool&) = delete;

  /// \returns the contexts in turn.
  boost::asio::io_context& Next();
  boost::asio::io_context& At(std::size_t index);
  std::size_t size() const { return contexts_.size(); }
  /// Stops the contexts and joins the threads.
  void Stop();

 private:
  using work_guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;
  std::vector<std::unique_ptr<boost::asio::io_context>> contexts_;
  std::vector<work_guard> guards_;
  std::vector<std::thread> threads_;
  std::atomic<std::size_t> next_{0};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_THREAD_POOL_H_
