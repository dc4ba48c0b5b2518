/// Definitions shared by all session types: dependencies, settings and counters of the gateway.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "cypresswall/common/counters.h"
#include "cypresswall/common/event_log.h"
#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/execution/model_executor.h"
#include "cypresswall/execution/service_executor.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

/// Dependencies of the gateway; all of them must outlive it.
struct GatewayContext {
  execution::ModelExecutor& models;
  execution::ServiceExecutor& services;
  configuration::ConfigurationView& configuration;
  common::Scheduler& scheduler;
  common::LogSink& log;
  common::CounterRegistry& counters;
  common::RandomSource& random;
  /// Returns the Unix time in seconds, used for the field "created".
  std::function<std::int64_t()> unix_time;
};

struct GatewaySettings {
  /// The stream from the engine is paused when more bytes than this are queued for the caller.
  std::size_t pause_above_bytes = 32U << 10;
  /// A paused stream resumes when no more bytes than this are queued for the caller.
  std::size_t resume_below_bytes = 8U << 10;
  /// Time that a stream may stay paused for a slow caller before the gateway ends it.
  common::Duration stalled_reader_timeout = std::chrono::seconds(30);
  /// Maximum text size of a non-streamed answer.
  std::size_t maximum_answer_bytes = 16U << 20;
  std::size_t maximum_idempotency_key_bytes = 255;
};

/// Counters of the gateway.
struct GatewayCounters {
  explicit GatewayCounters(common::CounterRegistry& registry);

  /// \param result "done", "not-run", "unknown" or "caller-gone"
  common::Counter& requestsEnded(const std::string& result);
  common::Counter& refusals(int status);
  common::Counter& rejections(int status);

  common::Counter& tokens;
  common::Counter& pauses;
  common::Counter& stalled_readers;
  common::Counter& open_requests;

 private:
  common::CounterRegistry& registry_;
};

/// Writes the error answer to a failed request.
using ErrorWriter = std::function<void(http::Responder&, const execution::ExecutionError&,
                                       const std::string& request_id)>;

using SessionId = std::uint64_t;

/// One request in progress.
class Session {
 public:
  virtual ~Session() = default;
  /// Starts the execution. `ended` is called once, possibly from a callback of the execution; the
  /// session must then be destroyed, but only after that callback has returned.
  virtual void start(std::function<void()> ended) = 0;
  /// Cancels the execution and answers the caller with the error; does nothing once the session has
  /// ended. Not to be called from a callback of the execution.
  virtual void cancel(const execution::ExecutionError& error) = 0;
};

}  // namespace cypresswall::gateway
