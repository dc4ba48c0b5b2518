/// Messages between daemons over TCP. A node sends on connections that it opens itself, one per
/// peer, and receives on connections opened by its peers.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_set>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/event_log.h"
#include "cypresswall/common/handler_guard.h"
#include "cypresswall/common/random.h"
#include "cypresswall/runtime/fault_switch.h"
#include "cypresswall/runtime/outgoing_peer.h"
#include "cypresswall/runtime/transport_settings.h"

namespace cypresswall::runtime {

/// Thrown if the listening address can't be used.
class TransportError : public common::Error {
 public:
  using common::Error::Error;
};

/// Thrown if another socket uses the listening address.
class AddressInUse : public TransportError {
 public:
  using TransportError::TransportError;
};

class IncomingPeer;

/// Invalid data or a message of another protocol version closes the connection on which it arrived,
/// with one log line. A message whose body or handling fails is dropped, counted and logged. A
/// message addressed to another incarnation of this node's address is dropped and counted.
class TcpPeerTransport final : public api::PeerTransport {
 public:
  TcpPeerTransport(asio::io_context& context, TransportSettings settings,
                   common::RandomSource& random, common::LogSink& log,
                   common::CounterRegistry& counters);
  ~TcpPeerTransport() override;

  /// Binds and listens. \return the address in use, with the actual port. \throws TransportError
  common::Address listen();
  /// Starts to accept connections and to pass received messages to `dispatcher`. \pre listen()
  /// succeeded
  void start(const common::NodeId& self, const api::MessageDispatcher& dispatcher);
  /// Closes all connections and stops listening; later sends are dropped.
  void close();

  void send(api::Envelope envelope) override;
  /// \return the number of messages queued for, or being written to, peers to which a connection is
  ///   established.
  std::size_t queuedMessages() const;
  FaultSwitch& faultSwitch() { return fault_switch_; }

 private:
  friend class IncomingPeer;

  OutgoingPeer* outgoingTo(const common::Address& address);
  void deliverToSelf(api::Envelope envelope);
  void accept();
  void scheduleAccept();
  void addIncoming(asio::ip::tcp::socket socket);
  void removeIncoming(const std::shared_ptr<IncomingPeer>& peer) { incoming_.erase(peer); }
  /// Handles one received frame. \throws api::MessageError if the sender doesn't speak this
  /// protocol
  void receive(std::string_view frame);
  void dispatch(const api::Envelope& envelope);
  void forgetIdlePeers();

  asio::io_context& context_;
  TransportSettings settings_;
  common::RandomSource& random_;
  common::LogSink& log_;
  TransportCounters counters_;
  common::HandlerGuard guard_;
  FaultSwitch fault_switch_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  common::NodeId self_;
  const api::MessageDispatcher* dispatcher_ = nullptr;
  bool closed_ = false;
  std::map<common::Address, std::shared_ptr<OutgoingPeer>> outgoing_;
  std::unordered_set<std::shared_ptr<IncomingPeer>> incoming_;
  /// Queued handlers hold weak pointers to this flag, which expire when this object is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cypresswall::runtime
