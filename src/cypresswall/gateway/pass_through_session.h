/// One model request whose answer is given to its caller byte for byte as the engine made it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cypresswall/execution/model_executor.h"
#include "cypresswall/gateway/reader_pace.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

/// An answer that breaks off after its head is ended by an abort of the connection, so that it
/// can't be taken for a whole one.
class PassThroughSession final : public Session, private execution::ModelCallObserver {
 public:
  /// \param write_error answers a request that failed before the head of its answer
  PassThroughSession(GatewayContext& context, const GatewaySettings& settings,
                     GatewayCounters& counters, execution::ModelCall call,
                     std::shared_ptr<http::Responder> responder, ErrorWriter write_error);

  void start(std::function<void()> ended) override;

 private:
  void onHead(const engines::AnswerHead& head) override;
  void onToken(std::uint32_t index, const std::string& text) override;
  void onFinished(const engines::StreamUsage& usage) override;
  void onError(const execution::ExecutionError& error) override;

  void callerGone(const std::string& reason);
  /// Nothing is done with the execution or the caller after this.
  void end(const char* result, const std::string& reason);

  GatewayContext& context_;
  GatewayCounters& counters_;
  execution::ModelCall call_;
  std::string request_id_;
  common::ServiceName service_;
  std::shared_ptr<http::Responder> responder_;
  ErrorWriter write_error_;
  std::function<void()> ended_;
  std::unique_ptr<execution::ModelExecution> execution_;
  ReaderPace pace_;
  bool head_given_ = false;
  bool over_ = false;
};

}  // namespace cypresswall::gateway
