#include "tests/process/kept_connections.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>

namespace cypresswall::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// The platform's `loss_slack_ms`: a connection that is closed within this time after the last byte
/// of a request may have been closed before the request was read.
constexpr milliseconds kLossSlack{200};
constexpr milliseconds kBetweenConnections{20};
constexpr milliseconds kLongestPause{80};
constexpr std::uint64_t kPauses = 8;
constexpr int kLongestSilenceSeconds = 15;
constexpr const char* kHeadEnd = "\r\n\r\n";

/// A blocking connection.
class Connection {
 public:
  explicit Connection(const std::string& address) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const auto colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const timeval limit{kLongestSilenceSeconds, 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    connected_ = ::connect(socket_, reinterpret_cast<const sockaddr*>(&target),  // NOLINT: POSIX
                           sizeof target) == 0;
  }
  ~Connection() { ::close(socket_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool connected() const { return connected_; }
  bool send(const std::string& text) const {
    return ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  }
  /// Reads one response, framed by its length.
  /// \return the head; nothing if the connection ended before the end of the response
  std::optional<std::string> receive() {
    std::size_t head_end = std::string::npos;
    while ((head_end = received_.find(kHeadEnd)) == std::string::npos) {
      if (!readMore()) {
        return std::nullopt;
      }
    }
    std::string head = received_.substr(0, head_end);
    const std::size_t end = head_end + 4 + bodyBytes(head);
    while (received_.size() < end) {
      if (!readMore()) {
        return std::nullopt;
      }
    }
    received_.erase(0, end);
    return head;
  }

 private:
  static std::size_t bodyBytes(const std::string& head) {
    const std::string name = "Content-Length: ";
    const auto at = head.find(name);
    return at == std::string::npos ? 0
                                   : std::strtoull(head.c_str() + at + name.size(), nullptr, 10);
  }
  bool readMore() {
    std::array<char, 4096> buffer{};
    const ssize_t bytes = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (bytes <= 0) {
      return false;
    }
    received_.append(buffer.data(), static_cast<std::size_t>(bytes));
    return true;
  }

  int socket_;
  bool connected_ = false;
  std::string received_;
};

}  // namespace

KeptConnections::KeptConnections(const std::vector<std::string>& gateways,
                                 std::size_t callers_per_node, const std::string& target) {
  for (const std::string& gateway : gateways) {
    for (std::size_t caller = 0; caller < callers_per_node; ++caller) {
      threads_.emplace_back([this, gateway, target, caller] { run(gateway, target, caller); });
    }
  }
}

KeptConnections::~KeptConnections() { finish(); }

KeptConnectionsReport KeptConnections::finish() {
  stop_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return report_;
}

void KeptConnections::run(const std::string& gateway, const std::string& target,
                          std::size_t caller) {
  while (!stop_) {
    useConnection(gateway, target, caller);
    std::this_thread::sleep_for(kBetweenConnections);
  }
}

void KeptConnections::useConnection(const std::string& gateway, const std::string& target,
                                    std::size_t caller) {
  Connection connection(gateway);
  if (!connection.connected()) {
    return;
  }
  const std::string request = "GET " + target + " HTTP/1.1\r\nHost: " + gateway + "\r\n\r\n";
  for (std::uint64_t number = caller; !stop_; ++number) {
    const bool sent = connection.send(request);
    const auto sent_at = steady_clock::now();
    const auto head = sent ? connection.receive() : std::nullopt;
    const auto waited = steady_clock::now() - sent_at;
    std::unique_lock lock(mutex_);
    if (!head) {
      ++report_.closed;
      if (sent && waited > kLossSlack) {
        report_.lost.push_back(
            gateway + " closed a connection " +
            std::to_string(std::chrono::duration_cast<milliseconds>(waited).count()) +
            "ms after a request, without an answer");
      }
      return;
    }
    ++report_.answered;
    lock.unlock();
    std::this_thread::sleep_for(kLongestPause * (number % kPauses) / kPauses);
  }
}

}  // namespace cypresswall::testing
