#include "cypresswall/engines/http_stream.h"

#include <utility>

#include "cypresswall/engines/engine_json.h"

namespace cypresswall::engines {
namespace {

constexpr int kStatusOk = 200;
constexpr const char* kRateLimitHeader = "X-Cypresswall-Rate-Limit";
constexpr const char* kLeavingHeader = "X-Cypresswall-Leaving";
constexpr const char* kRetryAfterHeader = "Retry-After";

}  // namespace

common::ServerAnnouncement announcementIn(const runtime::CurlResponse& response) {
  return common::announcementOf(response.status, response.header(kLeavingHeader),
                                response.header(kRetryAfterHeader));
}

HttpStreamCounters::HttpStreamCounters(common::CounterRegistry& registry)
    : tokens(registry.counter("cypresswall_engine_tokens_total", "Tokens received from engines.")),
      failed(registry.counter("cypresswall_engine_streams_failed_total",
                              "Attempts at streams that failed on the engine's side.")) {}

HttpStream::HttpStream(runtime::CurlMulti& curl, runtime::CurlRequest request,
                       std::uint32_t attempt, HttpStreamCounters& counters, StreamHandler& handler,
                       common::AnnouncementReporter announce)
    : attempt_(attempt),
      counters_(counters),
      handler_(&handler),
      announce_(std::move(announce)),
      transfer_(curl.start(std::move(request), *this)) {}

void HttpStream::pause() { transfer_->pause(); }

void HttpStream::resume() { transfer_->resume(); }

void HttpStream::onHead(const runtime::CurlResponse& head) {
  if (handler_ != nullptr) {
    reportAnnouncements(head);
  }
}

void HttpStream::reportAnnouncements(const runtime::CurlResponse& head) {
  if (std::exchange(announcements_reported_, true) || head.status == 0) {
    return;
  }
  announce_(announcementIn(head));
  handler_->onRateLimit(attempt_, common::parseRateLimit(head.header(kRateLimitHeader)));
}

void HttpStream::onBody(std::string_view bytes) {
  if (handler_ == nullptr) {
    return;
  }
  // The parser is moved to the stack while it runs, since the handler may destroy this object.
  SseParser parser = std::move(parser_);
  const std::weak_ptr<bool> alive = alive_;
  try {
    parser.feed(bytes,
                [&](std::string_view data) { return handleEvent(data) && !alive.expired(); });
    if (!alive.expired()) {
      parser_ = std::move(parser);
    }
  } catch (const common::Error& error) {
    fail(StreamFailure::kMalformed, error.what());
  }
}

bool HttpStream::handleEvent(std::string_view data) {
  if (parseTokenEventFast(data, token_)) {
    return handleToken(token_);
  }
  const StreamEvent event = parseStreamEvent(data);
  if (const auto* token = std::get_if<TokenEvent>(&event)) {
    return handleToken(*token);
  }
  return handleDone(std::get<DoneEvent>(event));
}

bool HttpStream::handleToken(const TokenEvent& event) {
  counters_.tokens.add();
  const std::weak_ptr<bool> alive = alive_;
  // The text is copied, since the handler may destroy this object.
  const std::string text = event.text;
  handler_->onToken(event.attempt, event.index, text);
  return !alive.expired();
}

bool HttpStream::handleDone(const DoneEvent& event) {
  if (event.attempt == attempt_) {
    // The end is reported only when the HTTP response is complete, so that its connection can be
    // reused.
    usage_ = event.usage;
    return false;
  }
  const std::weak_ptr<bool> alive = alive_;
  handler_->onFinished(event.attempt, event.usage);
  return !alive.expired();
}

void HttpStream::onDone(runtime::CurlResponse response) {
  if (handler_ == nullptr) {
    return;
  }
  reportAnnouncements(response);
  if (usage_) {
    std::exchange(handler_, nullptr)->onFinished(attempt_, *usage_);
  } else {
    failWithResponse(response);
  }
}

void HttpStream::failWithResponse(const runtime::CurlResponse& response) {
  if (response.outcome == runtime::CurlOutcome::kNotSent) {
    fail(StreamFailure::kNotSent, response.error);
    return;
  }
  if (response.outcome == runtime::CurlOutcome::kBroken || response.status == kStatusOk) {
    fail(StreamFailure::kBroken,
         response.error.empty() ? "the stream ended without its last event" : response.error);
    return;
  }
  const StreamRefusal refusal = parseStreamRefusal(response.body);
  const std::string message = "status " + std::to_string(response.status) + ": " + refusal.error;
  fail(refusal.not_run ? StreamFailure::kRefused : StreamFailure::kMalformed, message);
}

void HttpStream::fail(StreamFailure failure, const std::string& message) {
  counters_.failed.add();
  if (StreamHandler* const handler = std::exchange(handler_, nullptr)) {
    handler->onFailed(failure, message);
  }
}

}  // namespace cypresswall::engines
