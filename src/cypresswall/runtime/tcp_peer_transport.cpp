#include "cypresswall/runtime/tcp_peer_transport.h"

#include <asio/post.hpp>
#include <chrono>
#include <utility>

#include "cypresswall/common/socket_address.h"
#include "cypresswall/runtime/incoming_peer.h"
#include "cypresswall/runtime/message_frame.h"

namespace cypresswall::runtime {
namespace {

/// Delay after a failed accept, for example when file descriptors are exhausted.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);
/// Once this many outgoing peers are recorded, those without connection and queued messages are
/// removed.
constexpr std::size_t kSweepThreshold = 64;

asio::ip::tcp::endpoint toEndpoint(const common::Address& address) {
  const common::SocketAddress parsed = common::parseSocketAddress(address);
  return {asio::ip::make_address(parsed.ip), parsed.port};
}

}  // namespace

TcpPeerTransport::TcpPeerTransport(asio::io_context& context, TransportSettings settings,
                                   common::RandomSource& random, common::LogSink& log,
                                   common::CounterRegistry& counters)
    : context_(context),
      settings_(std::move(settings)),
      random_(random),
      log_(log),
      counters_(counters),
      guard_(log, counters),
      acceptor_(context),
      accept_timer_(context) {}

TcpPeerTransport::~TcpPeerTransport() { close(); }

common::Address TcpPeerTransport::listen() {
  try {
    const auto endpoint = toEndpoint(settings_.listen_address);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    const auto local = acceptor_.local_endpoint();
    return common::formatSocketAddress({local.address().to_string(), local.port()});
  } catch (const std::system_error& error) {
    const auto text = "can't listen on " + settings_.listen_address + ": " + error.what();
    if (error.code() == asio::error::address_in_use) {
      throw AddressInUse(text);
    }
    throw TransportError(text);
  } catch (const std::exception& error) {
    throw TransportError("can't listen on " + settings_.listen_address + ": " + error.what());
  }
}

void TcpPeerTransport::start(const common::NodeId& self, const api::MessageDispatcher& dispatcher) {
  self_ = self;
  dispatcher_ = &dispatcher;
  accept();
}

void TcpPeerTransport::close() {
  closed_ = true;
  alive_.reset();
  std::error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  for (const auto& [address, peer] : outgoing_) {
    peer->close();
  }
  outgoing_.clear();
  for (const auto& peer : incoming_) {
    peer->close();
  }
  incoming_.clear();
}

void TcpPeerTransport::send(api::Envelope envelope) {
  if (closed_) {
    return;
  }
  if (fault_switch_.blocksSendingTo(envelope.receiver.address)) {
    counters_.dropped_fault_switch.add();
    return;
  }
  if (envelope.receiver.address == self_.address) {
    deliverToSelf(std::move(envelope));
    return;
  }
  const std::string payload = api::encodeEnvelope(envelope);
  if (payload.size() > settings_.maximum_envelope_bytes) {
    counters_.dropped_too_large.add();
    common::LogEvent(log_, common::LogLevel::kError, "message_too_large")
        .field("type", static_cast<std::uint16_t>(envelope.type))
        .field("bytes", payload.size());
    return;
  }
  if (OutgoingPeer* peer = outgoingTo(envelope.receiver.address)) {
    counters_.queuedBytes(envelope.type).add(payload.size() + kFrameHeaderBytes);
    peer->send(encodeFrame(payload));
  }
}

std::size_t TcpPeerTransport::queuedMessages() const {
  std::size_t queued = 0;
  for (const auto& [address, peer] : outgoing_) {
    queued += peer->sendableMessages();
  }
  return queued;
}

OutgoingPeer* TcpPeerTransport::outgoingTo(const common::Address& address) {
  const auto known = outgoing_.find(address);
  if (known != outgoing_.end()) {
    return known->second.get();
  }
  forgetIdlePeers();
  try {
    auto peer = std::make_shared<OutgoingPeer>(context_, toEndpoint(address), settings_, counters_,
                                               random_, log_);
    return outgoing_.emplace(address, std::move(peer)).first->second.get();
  } catch (const common::AddressError& error) {
    counters_.dropped_bad_address.add();
    common::LogEvent(log_, common::LogLevel::kWarning, "peer_address_unusable")
        .field("error", error.what());
    return nullptr;
  }
}

void TcpPeerTransport::deliverToSelf(api::Envelope envelope) {
  asio::post(context_, [this, alive = std::weak_ptr<bool>(alive_), envelope = std::move(envelope)] {
    if (!alive.expired() && dispatcher_ != nullptr) {
      dispatch(envelope);
    }
  });
}

void TcpPeerTransport::accept() {
  acceptor_.async_accept([this, alive = std::weak_ptr<bool>(alive_)](const std::error_code& error,
                                                                     asio::ip::tcp::socket socket) {
    if (alive.expired()) {
      return;
    }
    if (error) {
      scheduleAccept();
      return;
    }
    accept();
    addIncoming(std::move(socket));
  });
}

void TcpPeerTransport::scheduleAccept() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const std::error_code&) {
    if (!alive.expired()) {
      accept();
    }
  });
}

void TcpPeerTransport::addIncoming(asio::ip::tcp::socket socket) {
  if (incoming_.size() >= settings_.maximum_incoming_connections) {
    counters_.refused_connections.add();
    return;
  }
  auto peer = std::make_shared<IncomingPeer>(std::move(socket), *this);
  incoming_.insert(peer);
  peer->start();
}

void TcpPeerTransport::receive(std::string_view frame) {
  const api::Envelope envelope = api::decodeEnvelope(frame.data(), frame.size());
  counters_.received_messages.add();
  if (fault_switch_.blocksReceivingFrom(envelope.sender.address)) {
    counters_.dropped_fault_switch.add();
    return;
  }
  dispatch(envelope);
}

void TcpPeerTransport::dispatch(const api::Envelope& envelope) {
  const auto wanted = envelope.receiver.incarnation;
  if (wanted != 0 && wanted != self_.incarnation) {
    counters_.dropped_other_incarnation.add();
    return;
  }
  const auto origin = [&] {
    return "type " + std::to_string(static_cast<std::uint16_t>(envelope.type)) + " of " +
           envelope.sender.toString();
  };
  if (!guard_.run(common::EventSource::kPeerMessage, origin,
                  [&] { dispatcher_->dispatch(envelope); })) {
    counters_.dropped_handler_error.add();
  }
}

void TcpPeerTransport::forgetIdlePeers() {
  if (outgoing_.size() < kSweepThreshold) {
    return;
  }
  std::erase_if(outgoing_, [](const auto& entry) { return entry.second->idle(); });
}

}  // namespace cypresswall::runtime
