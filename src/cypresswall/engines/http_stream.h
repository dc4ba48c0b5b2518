/// The stream of one attempt over HTTP: converts server-sent events to tokens.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cypresswall/common/counters.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/engines/sse_parser.h"
#include "cypresswall/engines/stream_event.h"
#include "cypresswall/runtime/curl_multi.h"

namespace cypresswall::engines {

/// \return what an engine says about itself in an answer: that it leaves, or how long a pause it
///   wants
common::ServerAnnouncement announcementIn(const runtime::CurlResponse& response);

/// Counters shared by all streams of a client.
struct HttpStreamCounters {
  explicit HttpStreamCounters(common::CounterRegistry& registry);

  common::Counter& tokens;
  common::Counter& failed;
};

/// Delivers each event as it arrives, with the attempt number that the engine put into it; the
/// handler decides which events belong to its answer. The stream ends with the done event that has
/// the stream's own attempt number.
class HttpStream final : public Stream, private runtime::CurlTransferHandler {
 public:
  HttpStream(runtime::CurlMulti& curl, runtime::CurlRequest request, std::uint32_t attempt,
             HttpStreamCounters& counters, StreamHandler& handler,
             common::AnnouncementReporter announce);
  void pause() override;
  void resume() override;

 private:
  void onHead(const runtime::CurlResponse& head) override;
  void onBody(std::string_view bytes) override;
  void onDone(runtime::CurlResponse response) override;

  /// Reports what the answer's head says about the engine once, when the head is first available:
  /// its rate limit to the handler, the rest to the client.
  void reportAnnouncements(const runtime::CurlResponse& head);
  /// The three handle functions return false if no more events are to be read, because the stream
  /// has ended or the handler has destroyed this object.
  bool handleEvent(std::string_view data);
  bool handleToken(const TokenEvent& event);
  bool handleDone(const DoneEvent& event);
  void failWithResponse(const runtime::CurlResponse& response);
  void fail(StreamFailure failure, const std::string& message);

  std::uint32_t attempt_;
  HttpStreamCounters& counters_;
  /// Null after the handler's last call.
  StreamHandler* handler_;
  SseParser parser_;
  TokenEvent token_;
  std::optional<StreamUsage> usage_;
  common::AnnouncementReporter announce_;
  bool announcements_reported_ = false;
  /// Weak pointers to this flag expire when this object is destroyed; the parsing loop uses them to
  /// detect that the handler destroyed the object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  /// Declared last so that it is destroyed first.
  std::unique_ptr<runtime::CurlTransfer> transfer_;
};

}  // namespace cypresswall::engines
