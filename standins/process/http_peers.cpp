#include "standins/process/http_peers.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace cypresswall::standins {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr common::Duration kKvTimeLimit = std::chrono::seconds(5);
/// Delay before weights are requested again if the platform gave no Retry-After.
constexpr common::Duration kWeightRetry = std::chrono::seconds(1);

std::optional<emulation::KvExport> decodeKv(const runtime::CurlResponse& response) {
  const json body = json::parse(response.body, nullptr, false);
  if (response.status != kOk || !body.is_object()) {
    return std::nullopt;
  }
  return emulation::KvExport{body.value("tokens", std::uint32_t{0}),
                             body.value("bytes", std::uint64_t{0})};
}

emulation::WeightTransfer decodeTransfer(const runtime::CurlResponse& response) {
  emulation::WeightTransfer transfer;
  const json body = json::parse(response.body, nullptr, false);
  transfer.complete = response.status == kOk && body.is_object();
  if (transfer.complete) {
    transfer.bytes = body.value("bytes", std::uint64_t{0});
    return transfer;
  }
  const long seconds = std::strtol(response.header("Retry-After").c_str(), nullptr, 10);
  transfer.retry_after =
      seconds > 0 ? common::Duration(std::chrono::seconds(seconds)) : kWeightRetry;
  return transfer;
}

}  // namespace

void HttpKvPeer::fetchKv(const common::Address& source, const std::string& stream_id,
                         std::function<void(std::optional<emulation::KvExport>)> callback) {
  const auto local = local_.find(source);
  if (local != local_.end()) {
    scheduler_.schedule(common::Duration{0},
                        [engine = local->second, stream_id, callback = std::move(callback)] {
                          callback(engine->exportKv(stream_id));
                        });
    return;
  }
  runtime::CurlRequest request;
  request.method = "POST";
  request.address = source;
  request.target = "/v1/kv/export";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = json{{"stream_id", stream_id}}.dump();
  request.total_time_limit = kKvTimeLimit;
  curl_.fetch(std::move(request),
              [callback = std::move(callback)](const runtime::CurlResponse& response) {
                callback(decodeKv(response));
              });
}

void HttpWeightSource::fetch(const std::string& uri,
                             std::function<void(emulation::WeightTransfer)> callback) {
  runtime::CurlRequest request;
  request.address = platform_;
  request.target = "/weights?uri=" + runtime::percentEncode(uri);
  curl_.fetch(std::move(request),
              [callback = std::move(callback)](const runtime::CurlResponse& response) {
                callback(decodeTransfer(response));
              });
}

}  // namespace cypresswall::standins
