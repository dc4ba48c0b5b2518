#include "standins/fronts/engine_front.h"

#include <utility>

#include "standins/fronts/engine_json.h"

namespace cypresswall::standins {
namespace {

constexpr const char* kStreams = "/v1/streams";
constexpr const char* kStreamPrefix = "/v1/streams/";

}  // namespace

/// One stream sent to a caller as server-sent events.
class EngineFront::StreamConnection final : public emulation::StreamObserver {
 public:
  StreamConnection(EngineFront& front, StreamKey key, ResponderPointer responder)
      : front_(front),
        key_(std::move(key)),
        responder_(std::move(responder)),
        event_start_("data: {\"attempt\": " + std::to_string(key_.second)) {}

  void begin() {
    auto headers = front_.headers();
    headers.push_back({"Content-Type", "text/event-stream"});
    responder_->startStream(200, headers);
  }
  void abort() { responder_->abort(); }

  void onToken(std::uint32_t index, const std::string& text) override {
    // Emulated tokens contain no characters that JSON escapes.
    std::string event;
    event.reserve(event_start_.size() + text.size() + 40);
    event += event_start_;
    event += ", \"index\": ";
    event += std::to_string(index);
    event += ", \"token\": \"";
    event += text;
    event += "\"}\n\n";
    responder_->write(std::move(event));
  }

  void onFinished(const engines::StreamUsage& usage) override {
    responder_->write(event_start_ + ", \"done\": true, \"prompt_tokens\": " +
                      std::to_string(usage.prompt_tokens) +
                      ", \"cached_prompt_tokens\": " + std::to_string(usage.cached_prompt_tokens) +
                      ", \"output_tokens\": " + std::to_string(usage.output_tokens) +
                      ", \"finish_reason\": \"" + usage.finish_reason + "\"}\n\n");
    responder_->finishStream();
    end();
  }

  void onBroken() override {
    responder_->abort();
    end();
  }

 private:
  /// Destroys this object; must be the last call.
  void end() { front_.forget(StreamKey(key_)); }

  EngineFront& front_;
  StreamKey key_;
  ResponderPointer responder_;
  std::string event_start_;
};

std::vector<http::Header> EngineFront::headers() const {
  auto headers = rateLimitHeaders(engine_.faults().rate_limit);
  for (http::Header& header : announcementHeaders(engine_.faults().leaving)) {
    headers.push_back(std::move(header));
  }
  return headers;
}

EngineFront::~EngineFront() {
  for (const auto& [key, connection] : connections_) {
    engine_.cancelStream(key.first, key.second);
  }
}

void EngineFront::handle(const http::Request& request, const ResponderPointer& responder) {
  respondingToErrors(responder, [&] { route(request, responder); });
}

void EngineFront::route(const http::Request& request, const ResponderPointer& responder) {
  if (request.path.starts_with("/admin/")) {
    routeAdmin(request, responder);
    return;
  }
  if (engine_.down()) {
    responder->abort();
    return;
  }
  const std::string call = request.method + " " + request.path;
  if (call == std::string("POST ") + kStreams) {
    startStream(request, responder);
  } else if (request.method == "DELETE" && request.path.starts_with(kStreamPrefix)) {
    cancelStream(request, responder);
  } else if (call == "POST /v1/orders") {
    handleOrder(request, responder);
  } else if (call == "GET /v1/load") {
    respondJson(*responder, 200, encodeLoad(*engine_.load()), headers());
  } else if (call == "GET /v1/cache/events") {
    const auto events = engine_.cacheEvents(queryNumberOr(request, "after", 0));
    respondJson(*responder, 200, encodeCacheEvents(*events));
  } else if (call == "POST /v1/kv/export") {
    exportKv(request, responder);
  } else {
    respondError(*responder, 404, "no such call");
  }
}

void EngineFront::routeAdmin(const http::Request& request, const ResponderPointer& responder) {
  const std::string call = request.method + " " + request.path;
  if (call == "GET /admin/ledger") {
    respondJson(*responder, 200, encodeLedger(engine_.ledger()));
  } else if (call == "POST /admin/faults") {
    setFaults(request, responder);
  } else {
    respondError(*responder, 404, "no such call");
  }
}

void EngineFront::startStream(const http::Request& request, const ResponderPointer& responder) {
  engines::StreamRequest stream = decodeStreamRequest(parseObject(request.body));
  const StreamKey key{stream.stream_id, stream.attempt};
  auto connection = std::make_shared<StreamConnection>(*this, key, responder);
  const emulation::StreamStart start = engine_.startStream(std::move(stream), *connection);
  if (start.result != emulation::StartResult::kStarted) {
    const auto& pause = engine_.faults().pause;
    auto refused = headers();
    for (http::Header& header : announcementHeaders(false, pause)) {
      refused.push_back(std::move(header));
    }
    respondJson(*responder, pause ? 503 : 409, {{"error", start.message}, {"ran", false}},
                std::move(refused));
    return;
  }
  connection->begin();
  connections_[key] = connection;
  responder->onClosed([this, key, weak = std::weak_ptr(connection)] {
    if (!weak.expired()) {
      engine_.cancelStream(key.first, key.second);
      forget(key);
    }
  });
}

void EngineFront::cancelStream(const http::Request& request, const ResponderPointer& responder) {
  const StreamKey key{request.path.substr(std::string(kStreamPrefix).size()),
                      static_cast<std::uint32_t>(queryNumberOr(request, "attempt", 1))};
  engine_.cancelStream(key.first, key.second);
  const auto connection = connections_.find(key);
  if (connection != connections_.end()) {
    connection->second->abort();
    connections_.erase(connection);
  }
  responder->respond(204, {}, "");
}

void EngineFront::handleOrder(const http::Request& request, const ResponderPointer& responder) {
  const engines::EngineOrder order = decodeOrder(parseObject(request.body));
  respondJson(*responder, 200, encodeReply(*engine_.handleOrder(order)));
}

void EngineFront::exportKv(const http::Request& request, const ResponderPointer& responder) {
  const auto kv =
      engine_.exportKv(requiredField<std::string>(parseObject(request.body), "stream_id"));
  if (!kv) {
    respondError(*responder, 404, "no such KV cache");
    return;
  }
  respondJson(*responder, 200, {{"tokens", kv->tokens}, {"bytes", kv->bytes}});
}

void EngineFront::setFaults(const http::Request& request, const ResponderPointer& responder) {
  const nlohmann::json body = parseObject(request.body);
  emulation::EngineFaults faults = engine_.faults();
  decodeFaults(body, faults);
  engine_.setFaults(faults);
  if (fieldOr(body, "crash", false)) {
    engine_.crash();
  }
  responder->respond(204, {}, "");
}

}  // namespace cypresswall::standins
