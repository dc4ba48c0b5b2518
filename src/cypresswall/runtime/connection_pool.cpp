#include "cypresswall/runtime/connection_pool.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace cypresswall::runtime {
namespace {

/// An idle limit that was halved after stale connections stays at least this long.
constexpr common::Duration kLeastIdleLimit = std::chrono::milliseconds(100);
/// Time for which the idle limit of a peer stays lowered after a stale connection.
constexpr common::Duration kStaleMemory = std::chrono::minutes(1);
/// A longer announced time is taken for this one.
constexpr std::int64_t kLongestAnnouncedSeconds = 3600;

common::Counter& closedCounter(common::CounterRegistry& counters, const char* reason) {
  return counters.counter("cypresswall_connections_closed_total",
                          "Connections to engines and back ends that were not kept", "reason",
                          reason);
}

}  // namespace

ConnectionPool::ConnectionPool(const ConnectionPoolSettings& settings,
                               common::CounterRegistry& counters)
    : settings_(settings),
      opened_(counters.counter("cypresswall_connections_opened_total",
                               "Connections opened to engines and back ends")),
      reused_(counters.counter("cypresswall_connections_reused_total",
                               "Requests sent on a kept connection")),
      stale_(counters.counter("cypresswall_connections_stale_total",
                              "Kept connections that were found closed or silent by a request")),
      closed_expired_(closedCounter(counters, "expired")),
      closed_over_share_(closedCounter(counters, "over_share")),
      closed_by_peer_(closedCounter(counters, "peer")),
      not_kept_(closedCounter(counters, "not_kept")),
      idle_gauge_(counters.gauge("cypresswall_connections_idle",
                                 "Idle connections kept to engines and back ends")) {}

std::vector<ConnectionPool::Socket> ConnectionPool::requestBegan(const common::Address& address,
                                                                 bool may_reuse,
                                                                 common::MonotonicTime now) {
  std::vector<Socket> closing;
  Peer& peer = peers_[address];
  takeExpired(peer, now, closing);
  const bool reuses = may_reuse && !peer.idle.empty();
  ++peer.in_use;
  ++in_use_;
  if (!reuses) {
    closeBeyond(share(), peer, closing);
  }
  return closing;
}

void ConnectionPool::closeBeyond(std::size_t allowed, Peer& peer, std::vector<Socket>& closing) {
  while (!peer.idle.empty() && peer.in_use + peer.idle.size() > allowed) {
    closed_over_share_.add();
    closing.push_back(peer.idle.front().socket);
    removeIdle(peer, 0);
  }
}

void ConnectionPool::taken(std::optional<Socket> socket, bool reused) {
  (reused ? reused_ : opened_).add();
  if (socket) {
    claimed(*socket);
  }
}

void ConnectionPool::claimed(Socket socket) {
  const auto idle = idle_sockets_.find(socket);
  if (idle == idle_sockets_.end()) {
    return;
  }
  Peer& peer = peers_[idle->second];
  const auto entry = std::find_if(peer.idle.begin(), peer.idle.end(),
                                  [socket](const Idle& one) { return one.socket == socket; });
  if (entry != peer.idle.end()) {
    removeIdle(peer, static_cast<std::size_t>(entry - peer.idle.begin()));
  }
}

void ConnectionPool::foundStale(const common::Address& address, common::MonotonicTime now) {
  stale_.add();
  Peer& peer = peers_[address];
  peer.idle_limit = std::max(kLeastIdleLimit, idleLimit(peer, now) / 2);
  peer.limited_until = now + kStaleMemory;
}

bool ConnectionPool::requestEnded(const common::Address& address, std::optional<Socket> socket,
                                  std::optional<common::Duration> announced,
                                  common::MonotonicTime now) {
  Peer& peer = peers_[address];
  if (peer.in_use > 0) {
    --peer.in_use;
    --in_use_;
  }
  bool kept = false;
  if (socket) {
    const common::Duration idle_time = idleTime(peer, announced, now);
    kept = settings_.keeps && idle_time.count() > 0 && peer.in_use + peer.idle.size() < share() &&
           idle_sockets_.size() < settings_.maximum_idle;
    if (kept) {
      peer.idle.push_back({*socket, now + idle_time});
      idle_sockets_[*socket] = address;
      idle_gauge_.set(static_cast<double>(idle_sockets_.size()));
    } else {
      not_kept_.add();
    }
  }
  forgetIfUnused(address, now);
  return kept;
}

void ConnectionPool::closed(Socket socket) {
  const auto known = idle_sockets_.find(socket);
  if (known == idle_sockets_.end()) {
    return;
  }
  const common::Address address = known->second;
  Peer& peer = peers_[address];
  const auto entry = std::find_if(peer.idle.begin(), peer.idle.end(),
                                  [socket](const Idle& one) { return one.socket == socket; });
  if (entry != peer.idle.end()) {
    closed_by_peer_.add();
    removeIdle(peer, static_cast<std::size_t>(entry - peer.idle.begin()));
  }
}

bool ConnectionPool::hasIdle(const common::Address& address, common::MonotonicTime now) const {
  const auto peer = peers_.find(address);
  return peer != peers_.end() &&
         std::any_of(peer->second.idle.begin(), peer->second.idle.end(),
                     [now](const Idle& one) { return now < one.usable_until; });
}

std::vector<ConnectionPool::Socket> ConnectionPool::idleSockets(
    const common::Address& address) const {
  std::vector<Socket> sockets;
  if (const auto peer = peers_.find(address); peer != peers_.end()) {
    for (const Idle& one : peer->second.idle) {
      sockets.push_back(one.socket);
    }
  }
  return sockets;
}

std::vector<ConnectionPool::Socket> ConnectionPool::expired(common::MonotonicTime now) {
  std::vector<Socket> closing;
  const std::size_t allowed = share();
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    takeExpired(peer->second, now, closing);
    closeBeyond(allowed, peer->second, closing);
    const bool unused =
        peer->second.in_use == 0 && peer->second.idle.empty() && now >= peer->second.limited_until;
    peer = unused ? peers_.erase(peer) : std::next(peer);
  }
  return closing;
}

ConnectionPoolState ConnectionPool::state() const {
  ConnectionPoolState state;
  state.idle = idle_sockets_.size();
  state.in_use = in_use_;
  state.share = share();
  state.opened = static_cast<std::uint64_t>(opened_.value());
  state.reused = static_cast<std::uint64_t>(reused_.value());
  state.stale = static_cast<std::uint64_t>(stale_.value());
  return state;
}

common::Duration ConnectionPool::idleLimit(const Peer& peer, common::MonotonicTime now) const {
  return now < peer.limited_until ? peer.idle_limit : settings_.idle_limit;
}

common::Duration ConnectionPool::idleTime(const Peer& peer,
                                          std::optional<common::Duration> announced,
                                          common::MonotonicTime now) const {
  const common::Duration told =
      announced ? *announced - settings_.margin : settings_.unannounced_idle_limit;
  return std::min(idleLimit(peer, now), told);
}

void ConnectionPool::removeIdle(Peer& peer, std::size_t index) {
  idle_sockets_.erase(peer.idle[index].socket);
  peer.idle.erase(peer.idle.begin() + static_cast<std::ptrdiff_t>(index));
  idle_gauge_.set(static_cast<double>(idle_sockets_.size()));
}

void ConnectionPool::takeExpired(Peer& peer, common::MonotonicTime now,
                                 std::vector<Socket>& closing) {
  for (std::size_t index = peer.idle.size(); index-- > 0;) {
    if (peer.idle[index].usable_until <= now) {
      closed_expired_.add();
      closing.push_back(peer.idle[index].socket);
      removeIdle(peer, index);
    }
  }
}

void ConnectionPool::forgetIfUnused(const common::Address& address, common::MonotonicTime now) {
  const auto peer = peers_.find(address);
  if (peer != peers_.end() && peer->second.in_use == 0 && peer->second.idle.empty() &&
      now >= peer->second.limited_until) {
    peers_.erase(peer);
  }
}

std::optional<common::Duration> parseKeepAlive(const std::string& value) {
  constexpr std::string_view kName = "timeout=";
  std::string lower(value);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  const auto at = lower.find(kName);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* const first = lower.data() + at + kName.size();
  const auto [end, error] = std::from_chars(first, lower.data() + lower.size(), seconds);
  if (error != std::errc{} || end == first || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::min(seconds, kLongestAnnouncedSeconds));
}

}  // namespace cypresswall::runtime
