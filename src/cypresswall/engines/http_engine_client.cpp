#include "cypresswall/engines/http_engine_client.h"

#include <utility>

#include "cypresswall/engines/engine_json.h"

namespace cypresswall::engines {
namespace {

using runtime::CurlOutcome;
using runtime::CurlRequest;
using runtime::CurlResponse;

constexpr int kStatusOk = 200;
/// Receive buffer per stream; kept small since many streams are open at once and tokens are short.
constexpr std::size_t kStreamBufferBytes = 4U << 10;

/// Converts an answer to a Result; `parse` converts the body of an answer with status 200.
template <typename Value, typename Parse>
common::Result<Value, EngineFailure> resultOf(const CurlResponse& response, Parse parse) {
  using Failure = common::Failure<EngineFailure>;
  if (response.outcome == CurlOutcome::kNotSent) {
    return Failure{EngineFailure::kUnavailable, response.error};
  }
  if (response.outcome == CurlOutcome::kBroken) {
    return Failure{EngineFailure::kUnknownOutcome, response.error};
  }
  if (response.status != kStatusOk) {
    return Failure{EngineFailure::kUnknownOutcome, "status " + std::to_string(response.status)};
  }
  try {
    return parse(response.body);
  } catch (const EngineProtocolError& error) {
    return Failure{EngineFailure::kMalformed, error.what()};
  }
}

}  // namespace

HttpEngineClient::HttpEngineClient(runtime::CurlMulti& curl, common::CounterRegistry& counters,
                                   const HttpEngineSettings& settings)
    : curl_(curl), stream_counters_(counters), settings_(settings) {}

std::unique_ptr<Stream> HttpEngineClient::startStream(const EngineEndpoint& engine,
                                                      StreamRequest request,
                                                      StreamHandler& handler) {
  CurlRequest sent = post(engine, "/v1/streams", streamRequestJson(request));
  sent.headers.push_back({"Accept", "text/event-stream"});
  sent.idle_time_limit = settings_.stream_idle_time_limit;
  sent.maximum_body_bytes = 0;
  sent.buffer_bytes = kStreamBufferBytes;
  return std::make_unique<HttpStream>(
      curl_, std::move(sent), request.attempt, stream_counters_, handler,
      [this, name = engine.name](const auto& announcement) { announce(name, announcement); });
}

void HttpEngineClient::sendOrder(const EngineEndpoint& engine, const EngineOrder& order,
                                 EngineCallback<OrderReply> callback) {
  CurlRequest request = post(engine, "/v1/orders", orderJson(order));
  request.total_time_limit = settings_.order_time_limit;
  curl_.fetch(std::move(request), [this, name = engine.name,
                                   callback = std::move(callback)](const CurlResponse& response) {
    announce(name, announcementIn(response));
    callback(resultOf<OrderReply>(response, parseOrderReply));
  });
}

void HttpEngineClient::fetchLoad(const EngineEndpoint& engine,
                                 EngineCallback<EngineLoad> callback) {
  curl_.fetch(get(engine, "/v1/load"), [this, name = engine.name, callback = std::move(callback)](
                                           const CurlResponse& response) {
    announce(name, announcementIn(response));
    callback(resultOf<EngineLoad>(response, parseEngineLoad));
  });
}

void HttpEngineClient::fetchCacheEvents(const EngineEndpoint& engine, std::uint64_t after,
                                        EngineCallback<CacheEvents> callback) {
  curl_.fetch(
      get(engine, "/v1/cache/events?after=" + std::to_string(after)),
      [this, name = engine.name, callback = std::move(callback)](const CurlResponse& response) {
        announce(name, announcementIn(response));
        callback(resultOf<CacheEvents>(response, parseCacheEvents));
      });
}

CurlRequest HttpEngineClient::get(const EngineEndpoint& engine, std::string target) const {
  CurlRequest request;
  request.address = engine.address;
  request.target = std::move(target);
  request.on_connection = connectionReporter(engine.address);
  request.connect_time_limit = settings_.connect_time_limit;
  request.total_time_limit = settings_.report_time_limit;
  return request;
}

CurlRequest HttpEngineClient::post(const EngineEndpoint& engine, std::string target,
                                   std::string body) const {
  CurlRequest request;
  request.method = "POST";
  request.address = engine.address;
  request.target = std::move(target);
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = std::move(body);
  request.on_connection = connectionReporter(engine.address);
  request.connect_time_limit = settings_.connect_time_limit;
  return request;
}

}  // namespace cypresswall::engines
