/// libcurl's multi interface driven by Asio. One object per process performs all HTTP requests to
/// engines, platform and services on the process's single thread.
#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "cypresswall/common/counters.h"
#include "cypresswall/common/errors.h"
#include "cypresswall/common/handler_guard.h"
#include "cypresswall/runtime/connection_pool.h"
#include "cypresswall/runtime/curl_request.h"
#include "cypresswall/runtime/fault_switch.h"

namespace cypresswall::runtime {

/// Thrown if libcurl can't be initialized or can't allocate a handle; not recoverable.
class CurlError : public common::Error {
 public:
  using common::Error::Error;
};

/// Receives the response to one request. In any call the handler may destroy the transfer and start
/// other requests.
class CurlTransferHandler {
 public:
  virtual ~CurlTransferHandler() = default;
  /// Passes status and headers of a response with status 200, once, before the first byte of its
  /// body.
  virtual void onHead(const CurlResponse& /*head*/) {}
  /// Passes bytes of the body as they arrive, only for responses with status 200; other bodies are
  /// collected in CurlResponse::body.
  virtual void onBody(std::string_view bytes) = 0;
  /// The last call, made exactly once.
  virtual void onDone(CurlResponse response) = 0;
};

/// Owns a running request; destroying the object aborts the request without a call to the handler.
class CurlTransfer {
 public:
  virtual ~CurlTransfer() = default;
  /// Stops reading from the connection. Bytes already read may still be delivered.
  virtual void pause() = 0;
  /// Resumes reading in the next iteration of the event loop.
  virtual void resume() = 0;
};

struct CurlMultiSettings {
  /// Idle connections kept for reuse, over all peers.
  std::size_t maximum_idle_connections = 512;
  /// Maximum size of the bodies of all unfinished responses together. Beyond it, the request that
  /// holds the most ends as kBroken.
  std::size_t maximum_collected_bytes = 32U << 20;
};

class CurlMulti {
 public:
  /// \throws CurlError
  /// \param pool decides about connections of requests with CurlRequest::pooled_use; may be null,
  ///   and must outlive this object
  /// \param counters counts responses by framing and by defect; may be null, and must outlive this
  ///   object
  /// \param guard runs handlers and callbacks: one that throws on a part of a body ends its request
  ///   as kBroken. If null, exceptions leave the event loop. It must outlive this object
  explicit CurlMulti(asio::io_context& context, const CurlMultiSettings& settings = {},
                     ConnectionPool* pool = nullptr, common::CounterRegistry* counters = nullptr,
                     common::HandlerGuard* guard = nullptr);
  /// Aborts all requests without calling any handler or callback.
  ~CurlMulti();
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  /// Starts a request whose body is streamed. `handler` must outlive the returned object and is
  /// never called before start() returns.
  std::unique_ptr<CurlTransfer> start(CurlRequest request, CurlTransferHandler& handler);
  /// Performs a request and passes its complete response; `callback` is called exactly once, never
  /// before fetch() returns, unless the CurlMulti is destroyed first.
  void fetch(CurlRequest request, std::function<void(CurlResponse)> callback);
  /// Like fetch(), but destroying the returned object aborts the request without calling
  /// `callback`.
  std::unique_ptr<CurlTransfer> startFetch(CurlRequest request,
                                           std::function<void(CurlResponse)> callback);

  /// \return number of requests in progress.
  std::size_t running() const;
  /// \return true if a request with pooled_use kReuse may find an idle connection to the peer.
  bool hasIdleConnection(const common::Address& peer) const;
  /// \return the switch that blocks peers; effective in test builds only. Requests to blocked peers
  ///   end as kNotSent.
  FaultSwitch& faultSwitch();

 private:
  class Driver;
  std::shared_ptr<Driver> driver_;
};

}  // namespace cypresswall::runtime
