/// One request of a load, from its start to its end.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "bench/load/event_scanner.h"
#include "bench/load/load_result.h"
#include "bench/load/request_mix.h"
#include "cypresswall/emulation/answer.h"
#include "cypresswall/runtime/curl_multi.h"

namespace cypresswall::bench {

/// The server under load and the format of requests to it.
struct LoadTarget {
  /// "direct" or "gateway", for reports.
  std::string name;
  Dialect dialect = Dialect::kGateway;
  /// Used round-robin.
  std::vector<common::Address> addresses;
  /// Model, version and adapter that the engines serve; they determine the expected answers.
  common::ModelName model;
  std::string version;
  std::string adapter;
  /// Sent as "Authorization: Bearer"; none if empty.
  std::string api_key;
};

class LoadRequest final : public runtime::CurlTransferHandler, private EventListener {
 public:
  /// \param number unique in the run
  /// \param on_end called once, when the request has ended; it may destroy the request
  LoadRequest(const LoadTarget& target, const RequestKind& kind, std::uint64_t number,
              LoadResult& result, std::function<void()> on_end);

  void start(runtime::CurlMulti& curl);
  /// Cancels the request because its phase has ended.
  void abandon();
  std::uint64_t tokens() const { return tokens_; }

  void onBody(std::string_view bytes) override { scanner_.feed(bytes); }
  void onDone(runtime::CurlResponse response) override;

 private:
  void onToken(std::string_view text) override;
  void onComplete() override { complete_ = true; }
  void onErrorEvent(std::string_view body) override { error_event_ = std::string(body); }

  runtime::CurlRequest makeRequest() const;
  std::string makeBody() const;
  RequestEnd classify(const runtime::CurlResponse& response);
  RequestEnd classifyFailure(const runtime::CurlResponse& response);
  RequestEnd classifyStream(const runtime::CurlResponse& response);
  void recordError(const std::string& message);
  void record(RequestEnd end);

  const LoadTarget& target_;
  const RequestKind& kind_;
  std::uint64_t number_;
  LoadResult& result_;
  std::function<void()> on_end_;
  EventScanner scanner_;
  emulation::AnswerSeed seed_ = 0;
  std::string prompt_;
  std::unique_ptr<runtime::CurlTransfer> transfer_;
  std::chrono::steady_clock::time_point started_at_;
  std::chrono::steady_clock::time_point last_token_at_;
  std::uint32_t tokens_ = 0;
  bool matches_ = true;
  bool complete_ = false;
  std::string error_event_;
};

}  // namespace cypresswall::bench
