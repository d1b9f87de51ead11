#include "harness/client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

namespace cardamomyard::harness {
namespace {

// A crowd that could send nothing for this long is held up by its server.
constexpr std::chrono::milliseconds kQuietTime{1500};
constexpr int kPollMs = 50;
// A server that reads without end must not keep the test from its checks.
constexpr std::chrono::seconds kMaxSending{20};

}  // namespace

std::string HeadOf(const http_request& request, const std::string& framing) {
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const http_header& field : request.headers.all()) {
    head.append(field.name).append(": ").append(field.value).append("\r\n");
    has_host |= field.name == "Host";
  }
  if (!has_host) {
    head += "Host: test\r\n";
  }
  return head + framing + "\r\n\r\n";
}

std::string ChunkOf(const std::string& bytes) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

client_crowd::~client_crowd() {
  for (const client& member : clients_) {
    if (member.socket >= 0) {
      ::close(member.socket);
    }
  }
}

void client_crowd::Add(const host_address& server,
                       const client_script& script,
                       std::size_t count) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port());
  ::inet_pton(AF_INET, server.ip().c_str(), &address.sin_addr);
  for (std::size_t i = 0; i < count; ++i) {
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(opened, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0) {
      ::close(opened);
      continue;
    }
    ::fcntl(opened, F_SETFL, ::fcntl(opened, F_GETFL) | O_NONBLOCK);
    clients_.push_back({opened, script, 0, script.head});
  }
}

bool client_crowd::HasMore(const client& sender) {
  return sender.socket >= 0 &&
         (!sender.pending.empty() || sender.sent_pieces < sender.script.pieces);
}

bool client_crowd::SendSome(client& sender) {
  if (sender.pending.empty()) {
    sender.pending = sender.script.piece;
    ++sender.sent_pieces;
  }
  const ssize_t sent = ::send(sender.socket, sender.pending.data(),
                              sender.pending.size(), MSG_NOSIGNAL);
  if (sent > 0) {
    sender.pending.erase(0, static_cast<std::size_t>(sent));
    return true;
  }
  if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
    ::close(sender.socket);
    sender.socket = -1;
  }
  return false;
}

void client_crowd::Send() {
  using clock = std::chrono::steady_clock;
  const auto end = clock::now() + kMaxSending;
  auto last_sent = clock::now();
  while (clock::now() < end && clock::now() - last_sent < kQuietTime) {
    std::vector<pollfd> waiting;
    std::vector<client*> senders;
    for (client& member : clients_) {
      if (HasMore(member)) {
        waiting.push_back({member.socket, POLLOUT, 0});
        senders.push_back(&member);
      }
    }
    if (waiting.empty()) {
      return;
    }
    ::poll(waiting.data(), waiting.size(), kPollMs);
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i].revents != 0 && SendSome(*senders[i])) {
        last_sent = clock::now();
      }
    }
  }
}

std::size_t PeakMegabytes(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  for (std::string word; file >> word;) {
    if (word == "VmHWM:") {
      std::size_t kilobytes = 0;
      file >> kilobytes;
      return kilobytes / 1024;
    }
  }
  return 0;
}

void AwaitQuiet(pid_t process) {
  using clock = std::chrono::steady_clock;
  const auto end = clock::now() + kMaxSending;
  auto last_change = clock::now();
  auto last = std::pair(PeakMegabytes(process), OpenDescriptors(process));
  while (clock::now() < end && clock::now() - last_change < kQuietTime) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
    const auto now =
        std::pair(PeakMegabytes(process), OpenDescriptors(process));
    if (now != last) {
      last = now;
      last_change = clock::now();
    }
  }
}

std::size_t OpenDescriptors(pid_t process) {
  std::size_t count = 0;
  std::error_code ignored;
  for (std::filesystem::directory_iterator
           entry("/proc/" + std::to_string(process) + "/fd", ignored),
       end;
       entry != end; entry.increment(ignored)) {
    ++count;
  }
  return count;
}

}  // namespace cardamomyard::harness
