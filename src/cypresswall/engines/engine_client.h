/// Client interface to model engines, implemented over HTTP (HttpEngineClient) and by the
/// simulator.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "cypresswall/api/server_connections.h"
#include "cypresswall/common/rate_limit_notice.h"
#include "cypresswall/common/result.h"
#include "cypresswall/common/server_announcement.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::engines {

/// Receives the events of the stream of one attempt (see StreamRequest). The client does not check
/// the attempt number that the engine put into an event: the handler must ignore events with the
/// number of another attempt. The last call is either onFailed, or onFinished with the number of
/// this attempt. Nothing is called once the stream is cancelled.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  /// Reports what the engine's answer says about its rate limit (possibly that there is none),
  /// whatever the HTTP status of the answer. Called once, before all other calls; not called if the
  /// engine did not answer.
  virtual void onRateLimit(std::uint32_t /*attempt*/, const common::RateLimitNotice& /*notice*/) {}
  /// Delivers the HTTP status and headers of an answer that is passed through unchanged, before its
  /// first token. Called only for requests with StreamRequest::pass_through set.
  virtual void onHead(std::uint32_t /*attempt*/, const AnswerHead& /*head*/) {}
  /// \param attempt attempt number from the event
  /// \param index position of the token in the whole answer, starting at 0
  virtual void onToken(std::uint32_t attempt, std::uint32_t index, const std::string& text) = 0;
  virtual void onFinished(std::uint32_t attempt, const StreamUsage& usage) = 0;
  virtual void onFailed(StreamFailure failure, const std::string& message) = 0;
};

/// Handle of a running stream; destroying the handle cancels the stream on the engine.
class Stream {
 public:
  virtual ~Stream() = default;
  /// Stops reading from the engine until resume(); applies back-pressure from a slow caller.
  virtual void pause() = 0;
  virtual void resume() = 0;
};

enum class EngineFailure {
  kUnavailable,     ///< the request did not reach the engine
  kUnknownOutcome,  ///< the engine may have acted; an order should be sent again unchanged
  kMalformed,
};

template <typename Value>
using EngineCallback = std::function<void(common::Result<Value, EngineFailure>)>;

class EngineClient {
 public:
  virtual ~EngineClient() = default;
  /// Starts an attempt. `handler` must outlive the returned object. It is never called before this
  /// function returns or after the returned object is destroyed.
  virtual std::unique_ptr<Stream> startStream(const EngineEndpoint& engine, StreamRequest request,
                                              StreamHandler& handler) = 0;
  /// \return true if a later attempt can continue the answer after a token with this text, which it
  ///   then sends as StreamRequest::last_token. Called only for requests with
  ///   StreamRequest::pass_through set.
  virtual bool marksPosition(const std::string& /*token*/) const { return true; }
  /// Sends an order, which the engine rejects if its epoch is outdated (see EngineOrder). The
  /// callback is called exactly once, never before this function returns.
  virtual void sendOrder(const EngineEndpoint& engine, const EngineOrder& order,
                         EngineCallback<OrderReply> callback) = 0;
  virtual void fetchLoad(const EngineEndpoint& engine, EngineCallback<EngineLoad> callback) = 0;
  /// Fetches the cache events with sequence numbers greater than `after`.
  virtual void fetchCacheEvents(const EngineEndpoint& engine, std::uint64_t after,
                                EngineCallback<CacheEvents> callback) = 0;
  /// \return true if a call to this engine may find an idle connection.
  virtual bool hasIdleConnection(const EngineEndpoint& /*engine*/) const { return false; }
  /// Sets the function that is told what an engine announces in an answer of any kind: to a stream,
  /// an order or a query, whatever its status. It is called before the answer is delivered.
  void observeAnnouncements(common::AnnouncementObserver observer) {
    announcement_observer_ = std::move(observer);
  }
  /// Sets where the client reports connections that it opens, or could not open.
  void reportConnectionsTo(const api::ServerConnections* connections) {
    connections_ = connections;
  }

 protected:
  /// \return a function that reports whether a connection to the server was established
  std::function<void(bool established)> connectionReporter(const common::Address& address) const {
    return [this, address](bool established) {
      if (connections_ != nullptr) {
        connections_->report(address, established);
      }
    };
  }
  void announce(const common::EngineName& engine,
                const common::ServerAnnouncement& announcement) const {
    if (announcement_observer_) {
      announcement_observer_(engine, announcement);
    }
  }

 private:
  common::AnnouncementObserver announcement_observer_;
  const api::ServerConnections* connections_ = nullptr;
};

}  // namespace cypresswall::engines
