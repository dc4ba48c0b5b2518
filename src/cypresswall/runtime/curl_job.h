/// One libcurl easy handle with all data that it references. Internal to CurlMulti.
#pragma once

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "cypresswall/common/handler_guard.h"
#include "cypresswall/runtime/curl_multi.h"
#include "cypresswall/runtime/curl_request.h"
#include "cypresswall/runtime/response_framing.h"

namespace cypresswall::runtime {

struct CurlEasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using CurlEasyPointer = std::unique_ptr<CURL, CurlEasyDeleter>;
struct CurlListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// A request in progress. Exactly one of `handler` and `callback` is set until the request ends or
/// is abandoned.
class CurlJob {
 public:
  /// \param easy a handle without options; if empty, a new one is created
  /// \throws CurlError if libcurl can't allocate a handle
  CurlJob(CurlRequest request, CurlTransferHandler* handler,
          std::function<void(CurlResponse)> callback, CurlEasyPointer easy = nullptr);

  CURL* easy() const { return easy_.get(); }
  /// Releases the handle, with its options reset, after the request has ended; easy() then returns
  /// null.
  CurlEasyPointer takeEasy();
  const CurlRequest& request() const { return request_; }
  /// Sets how the request uses connections, before it is passed to libcurl.
  void setConnectionUse(ConnectionUse use);
  /// Marks the request as one that counts against its peer's share of connections.
  void enterPool(common::Duration silence_limit);
  /// Runs the owner's handlers under `guard` from now on; it may be null. A response whose handler
  /// fails before its end is broken off.
  void setGuard(common::HandlerGuard* guard) { guard_ = guard; }
  /// Called whenever the request is about to be sent on connection().
  /// \param opened the socket if the connection was opened for this request
  /// \return the socket of the connection, if it is known
  using SendingListener =
      std::function<std::optional<curl_socket_t>(std::optional<curl_socket_t> opened)>;
  void onSending(SendingListener listener) { on_sending_ = std::move(listener); }
  /// Sets the function to call with the size of each part of a body that is kept.
  void onCollected(std::function<void(std::size_t)> listener) {
    on_collected_ = std::move(listener);
  }
  /// \return the size of the part of the body that is kept until the request ends.
  std::size_t collectedBytes() const { return response_.body.size(); }
  /// Gives up the response and frees what is kept of its body; the request has to be ended.
  void giveUpBody();
  /// \return the name of the connection on which the request was last sent. No other open
  ///   connection of this process has it.
  const std::string& connection() const { return connection_; }
  bool pooled() const { return pooled_; }
  /// \return the connection on which the request was last sent, while it is open.
  std::optional<curl_socket_t> socket() const { return socket_; }
  /// Called when the connection socket() is closed.
  void socketClosed(bool by_peer_in_order);
  /// Records whether the peer has closed the connection in order.
  void recordClose(bool by_peer_in_order) { closed_in_order_ = by_peer_in_order; }
  /// Has the kernel probe the connection while it is idle.
  void probeIdleConnection() const;
  /// Records libcurl's result; called before finish().
  void ended(CURLcode code);
  /// \return why the response is not a whole one, after ended(); nothing if it is whole, or none
  ///   arrived
  std::optional<ResponseDefect> defect() const { return defect_; }
  BodyFraming bodyFraming() const { return framing_.framing(); }
  /// \return true if any part of a response arrived.
  bool responseBegan() const { return framing_.began(); }
  /// \return true if the answer is not one to this request.
  bool receivedForeignAnswer() const;
  /// \return true if the request met a kept connection that was closed or silent.
  bool stale() const { return stale_; }
  /// \return the time for which the peer keeps an idle connection, if it announced one.
  std::optional<common::Duration> announcedIdleTime() const { return announced_idle_time_; }
  /// Called when the owner of the request is destroyed. No further calls to `handler` or `callback`
  /// are made, and the next byte received ends the request.
  void abandon();
  bool abandoned() const { return handler_ == nullptr && !callback_; }
  /// Reports the end of the request to its owner.
  void finish(CURLcode code);
  /// Reports the failure of a request that was never passed to libcurl.
  void finishNotSent(const std::string& error);

  /// True while the easy handle is part of libcurl's multi handle.
  bool added = false;
  bool paused = false;

 private:
  static std::size_t onBodyBytes(char* data, std::size_t size, std::size_t count, void* job);
  static std::size_t onHeaderBytes(char* data, std::size_t size, std::size_t count, void* job);
  static int onProgress(void* job, curl_off_t, curl_off_t, curl_off_t, curl_off_t);
  static int onSocketMade(void* job, curl_socket_t socket, curlsocktype purpose);
  static int beforeSending(void* job, char* remote_ip, char* local_ip, int remote_port,
                           int local_port);

  /// Calls `handler` under the guard.
  template <typename Handler>
  void runHandler(Handler&& handler) {
    const auto origin = [this] { return request_.address + request_.target; };
    if (!common::runGuarded(guard_, common::EventSource::kAnswer, origin,
                            std::forward<Handler>(handler))) {
      handler_failed_ = true;
    }
  }
  void configure();
  /// \return false if the response is not worth reading further.
  bool checkChunkFraming();
  bool prepareToSend();
  /// Ends the check for a silent peer, after the first byte of a response.
  void stopSilenceCheck();
  bool foundStaleConnection(CURLcode code) const;
  void configureMethod();
  void configureHeaders();
  void configureTimeLimits();
  std::size_t takeBody(std::string_view bytes);
  /// \return false if the response is not worth reading further.
  bool takeHeader(std::string_view line);
  void takeField(std::string_view line);
  std::string errorOf(CURLcode code) const;
  void forwardHead();
  CurlOutcome outcomeOf(CURLcode code) const;
  long numberOf(CURLINFO info) const;
  void deliver(CurlResponse response);

  CurlRequest request_;
  CurlTransferHandler* handler_;
  common::HandlerGuard* guard_ = nullptr;
  bool handler_failed_ = false;
  std::function<void(CurlResponse)> callback_;
  CurlEasyPointer easy_;
  std::unique_ptr<curl_slist, CurlListDeleter> header_list_;
  CurlResponse response_;
  ResponseFraming framing_;
  std::optional<ResponseDefect> defect_;
  std::function<void(std::size_t)> on_collected_;
  std::string connection_;
  /// Bytes read from the connection before the request was sent.
  std::uint64_t read_before_ = 0;
  std::uint64_t body_bytes_at_progress_ = 0;
  std::uint32_t progress_calls_ = 0;
  bool closed_in_order_ = false;
  bool error_body_too_long_ = false;
  bool pooled_ = false;
  common::Duration silence_limit_{0};
  SendingListener on_sending_;
  std::optional<curl_socket_t> socket_;
  /// Whether the request was first sent on a kept connection.
  bool reused_ = false;
  bool stale_ = false;
  bool foreign_ = false;
  /// Data segments that a kept connection had received when the request was sent, and whether more
  /// came. libcurl does not count the bytes of a line that does not end.
  std::uint32_t segments_before_ = 0;
  bool bytes_received_ = false;
  bool silence_checked_ = false;
  bool timed_out_ = false;
  std::chrono::steady_clock::time_point sent_at_;
  std::optional<common::Duration> announced_idle_time_;
  /// Whether the body is passed to the handler as it arrives; depends on the status.
  bool streaming_ = false;
  bool head_forwarded_ = false;
  char error_text_[CURL_ERROR_SIZE] = {};
};

}  // namespace cypresswall::runtime
