/// Decides which connections to servers are kept for later requests. It touches no socket:
/// CurlMulti reports what happens to connections and closes those that the pool names.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/common/counters.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::runtime {

struct ConnectionPoolSettings {
  /// If false, the pool keeps no connection.
  bool keeps = false;
  /// Maximum time that a connection is idle before it is reused, whatever its peer announces.
  common::Duration idle_limit = std::chrono::seconds(10);
  /// The same for peers that announce no time.
  common::Duration unannounced_idle_limit = std::chrono::milliseconds(500);
  /// A connection is not reused in the last part of the time that its peer announced, since a
  /// request may cross the peer's close.
  common::Duration margin = std::chrono::milliseconds(300);
  /// Maximum number of idle connections to all peers together.
  std::size_t maximum_idle = 512;
  /// If a peer acknowledges nothing for this long after a request on a reused connection, the
  /// connection is taken to be dead. Zero disables the check.
  common::Duration silence_limit = std::chrono::milliseconds(500);
};

/// Number of connections, idle and in use, that this process may have to one peer so that idle ones
/// never bring the peer over its limit.
using ConnectionShare = std::function<std::size_t()>;

/// State of the pool for operators.
struct ConnectionPoolState {
  std::size_t idle = 0;
  std::size_t in_use = 0;
  std::size_t share = 0;
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t stale = 0;
};

class ConnectionPool {
 public:
  using Socket = int;

  ConnectionPool(const ConnectionPoolSettings& settings, common::CounterRegistry& counters);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Sets the share of this process; without one it is zero.
  void setShare(ConnectionShare share) { share_ = std::move(share); }
  const ConnectionPoolSettings& settings() const { return settings_; }
  /// \return true if connections are kept at present: the pool is switched on and the share is at
  ///   least one.
  bool keeping() const { return settings_.keeps && share() > 0; }

  /// Records the begin of a request, which uses one connection until requestEnded().
  /// \param may_reuse whether the request may use an idle connection
  /// \return idle connections to close before the request is sent
  std::vector<Socket> requestBegan(const common::Address& peer, bool may_reuse,
                                   common::MonotonicTime now);
  /// Records that the request is sent, on this connection if it is known.
  void taken(std::optional<Socket> socket, bool reused);
  /// Records that a connection is used by a request that the pool does not count.
  void claimed(Socket socket);
  /// Records that a reused connection proved to be closed before an answer arrived. The idle limit
  /// of the peer is halved for a minute.
  void foundStale(const common::Address& peer, common::MonotonicTime now);
  /// Records the end of a request.
  /// \param socket its connection if it is still open
  /// \param announced time for which the peer keeps idle connections, if it told
  /// \return true if the connection is kept; otherwise it is to be closed
  bool requestEnded(const common::Address& peer, std::optional<Socket> socket,
                    std::optional<common::Duration> announced, common::MonotonicTime now);
  /// Records that a connection was closed, for whatever reason.
  void closed(Socket socket);

  /// \return true if a request that begins now may find an idle connection to the peer
  bool hasIdle(const common::Address& peer, common::MonotonicTime now) const;
  /// \return the idle connections to a peer
  std::vector<Socket> idleSockets(const common::Address& peer) const;
  /// \return idle connections of all peers to close: those that may not be reused any more, and
  ///   those beyond the share, which may have become smaller
  std::vector<Socket> expired(common::MonotonicTime now);
  ConnectionPoolState state() const;

 private:
  struct Idle {
    Socket socket = -1;
    common::MonotonicTime usable_until;
  };
  struct Peer {
    std::size_t in_use = 0;
    /// The connection that was idle for longest is first.
    std::vector<Idle> idle;
    /// Idle limit after a stale connection, in force until `limited_until`.
    common::Duration idle_limit{0};
    common::MonotonicTime limited_until;
  };

  std::size_t share() const { return share_ ? share_() : 0; }
  common::Duration idleLimit(const Peer& peer, common::MonotonicTime now) const;
  common::Duration idleTime(const Peer& peer, std::optional<common::Duration> announced,
                            common::MonotonicTime now) const;
  void removeIdle(Peer& peer, std::size_t index);
  void closeBeyond(std::size_t allowed, Peer& peer, std::vector<Socket>& closing);
  void takeExpired(Peer& peer, common::MonotonicTime now, std::vector<Socket>& closing);
  void forgetIfUnused(const common::Address& address, common::MonotonicTime now);

  const ConnectionPoolSettings settings_;
  ConnectionShare share_;
  std::map<common::Address, Peer> peers_;
  /// Peers of all idle connections.
  std::unordered_map<Socket, common::Address> idle_sockets_;
  std::size_t in_use_ = 0;
  common::Counter& opened_;
  common::Counter& reused_;
  common::Counter& stale_;
  common::Counter& closed_expired_;
  common::Counter& closed_over_share_;
  common::Counter& closed_by_peer_;
  common::Counter& not_kept_;
  common::Counter& idle_gauge_;
};

/// \return the time in a Keep-Alive header ("timeout=5, max=100"); nothing if it names none or an
///   invalid one
std::optional<common::Duration> parseKeepAlive(const std::string& value);

}  // namespace cypresswall::runtime
