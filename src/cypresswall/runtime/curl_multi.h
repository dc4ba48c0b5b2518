/// libcurl's multi interface driven by Asio: one object per process performs all HTTP requests
/// towards engines, platform and services on the process's one thread.
#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "cypresswall/common/errors.h"
#include "cypresswall/runtime/curl_request.h"
#include "cypresswall/runtime/fault_switch.h"

namespace cypresswall::runtime {

/// libcurl can't be set up; there is no way on.
class CurlError : public common::Error {
 public:
  using common::Error::Error;
};

/// Receives what one request gives. It may destroy the transfer, and start others, in any call.
class CurlTransferHandler {
 public:
  virtual ~CurlTransferHandler() = default;
  /// Gives status and headers of an answer with status 200, once, before its first byte of body.
  virtual void onHead(const CurlResponse& /*head*/) {}
  /// Gives bytes of the body as they come, only for answers with status 200; other bodies are
  /// collected into CurlResponse::body.
  virtual void onBody(std::string_view bytes) = 0;
  /// Called once, last.
  virtual void onDone(CurlResponse response) = 0;
};

/// Holds a running request; destroying it ends the request without a call to the handler.
class CurlTransfer {
 public:
  virtual ~CurlTransfer() = default;
  /// Stops reading from the connection. Bytes already read may still be given.
  virtual void pause() = 0;
  /// Reads on, from the next turn of the event loop.
  virtual void resume() = 0;
};

struct CurlMultiSettings {
  /// Idle connections kept for reuse, over all peers.
  std::size_t maximum_idle_connections = 512;
};

class CurlMulti {
 public:
  /// \throws CurlError
  explicit CurlMulti(asio::io_context& context, const CurlMultiSettings& settings = {});
  /// Ends all requests without calling anybody.
  ~CurlMulti();
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  /// Starts a request whose body is given in pieces. `handler` must outlive the returned object and
  /// is never called before this returns.
  std::unique_ptr<CurlTransfer> start(CurlRequest request, CurlTransferHandler& handler);
  /// Performs a request and gives its whole answer; `callback` is called exactly once, never
  /// before this returns, unless the CurlMulti is destroyed first.
  void fetch(CurlRequest request, std::function<void(CurlResponse)> callback);
  /// As fetch(), but destroying the returned object ends the request without a call.
  std::unique_ptr<CurlTransfer> startFetch(CurlRequest request,
                                           std::function<void(CurlResponse)> callback);

  /// \return number of requests under way.
  std::size_t running() const;
  /// Requests to blocked peers fail as not sent; test builds only.
  FaultSwitch& faultSwitch();

 private:
  class Driver;
  std::shared_ptr<Driver> driver_;
};

}  // namespace cypresswall::runtime
