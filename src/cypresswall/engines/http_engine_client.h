/// Client of model engines over HTTP (docs/protocols.md).
#pragma once

#include <chrono>

#include "cypresswall/common/counters.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/engines/http_stream.h"
#include "cypresswall/runtime/curl_multi.h"

namespace cypresswall::engines {

struct HttpEngineSettings {
  common::Duration connect_time_limit = std::chrono::milliseconds(500);
  common::Duration order_time_limit = std::chrono::seconds(2);
  common::Duration report_time_limit = std::chrono::seconds(1);
  /// A stream that receives no byte for this long fails, whatever time limit its request has.
  common::Duration stream_idle_time_limit = std::chrono::seconds(120);
};

/// \pre `curl` and `counters` outlive the client and its streams
class HttpEngineClient final : public EngineClient {
 public:
  HttpEngineClient(runtime::CurlMulti& curl, common::CounterRegistry& counters,
                   const HttpEngineSettings& settings = {});

  std::unique_ptr<Stream> startStream(const EngineEndpoint& engine, StreamRequest request,
                                      StreamHandler& handler) override;
  void sendOrder(const EngineEndpoint& engine, const EngineOrder& order,
                 EngineCallback<OrderReply> callback) override;
  void fetchLoad(const EngineEndpoint& engine, EngineCallback<EngineLoad> callback) override;
  void fetchCacheEvents(const EngineEndpoint& engine, std::uint64_t after,
                        EngineCallback<CacheEvents> callback) override;

 private:
  runtime::CurlRequest get(const EngineEndpoint& engine, std::string target) const;
  runtime::CurlRequest post(const EngineEndpoint& engine, std::string target,
                            std::string body) const;

  runtime::CurlMulti& curl_;
  HttpStreamCounters stream_counters_;
  HttpEngineSettings settings_;
};

}  // namespace cypresswall::engines
