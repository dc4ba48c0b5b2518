/// What the sessions of callers share: the gateway's surroundings, limits and counters.
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

/// What a gateway is built from; all of it must outlive the gateway.
struct GatewayContext {
  execution::ModelExecutor& models;
  execution::ServiceExecutor& services;
  configuration::ConfigurationView& configuration;
  common::Scheduler& scheduler;
  common::LogSink& log;
  common::CounterRegistry& counters;
  common::RandomSource& random;
  /// Seconds since 1970, for the field "created".
  std::function<std::int64_t()> unix_time;
};

struct GatewaySettings {
  /// A stream whose caller has taken none of so many bytes stops taking tokens from the engine,
  /// and goes on when fewer than the second number are left.
  std::size_t pause_above_bytes = 32U << 10;
  std::size_t resume_below_bytes = 8U << 10;
  /// How long a paused stream waits for its caller before it is ended.
  common::Duration stuck_reader_limit = std::chrono::seconds(30);
  /// Largest text of an answer that is not streamed.
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
  common::Counter& stuck_readers;
  common::Counter& open_requests;

 private:
  common::CounterRegistry& registry_;
};

/// Writes the final answer to a request that was not served.
using ErrorWriter = std::function<void(http::Responder&, const execution::ExecutionError&,
                                       const std::string& request_id)>;

using SessionId = std::uint64_t;

/// One request under way.
class Session {
 public:
  virtual ~Session() = default;
  /// Starts the execution. `ended` is called once, possibly from within an execution's callback;
  /// the session must then be destroyed, but not before that callback has returned.
  virtual void start(std::function<void()> ended) = 0;
};

}  // namespace cypresswall::gateway
