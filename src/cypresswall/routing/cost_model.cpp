#include "cypresswall/routing/cost_model.h"

#include <algorithm>

namespace cypresswall::routing {
namespace {

/// Speed assumed of an engine that declares none.
constexpr double kDefaultPrefillTokensPerSecond = 5000;

}  // namespace

void applyReport(EngineEstimate& estimate, const engines::EngineLoad& load,
                 common::MonotonicTime observed_at) {
  const double speed = load.prefill_tokens_per_second > 0 ? load.prefill_tokens_per_second
                                                          : kDefaultPrefillTokensPerSecond;
  estimate.observed_at = toModelTime(observed_at);
  estimate.seconds_per_prefill_token = 1.0 / speed;
  estimate.decode_step_base = common::toSeconds(load.decode_step_base);
  estimate.decode_step_per_stream = common::toSeconds(load.decode_step_per_stream);
  estimate.queued_prefill_tokens = static_cast<double>(load.queued_prefill_tokens);
  estimate.queued_decode_tokens = static_cast<double>(load.queued_decode_tokens);
  estimate.streams = load.running_streams + load.waiting_streams;
  estimate.maximum_streams = load.maximum_streams;
  estimate.role = load.role;
}

double slotSeconds(const EngineEstimate& engine) {
  const std::uint32_t streams = streamsOn(engine);
  if (engine.maximum_streams == 0 || streams < engine.maximum_streams) {
    return 0;
  }
  const double decode_tokens = engine.queued_decode_tokens + engine.unreported_decode_tokens;
  const double tokens_per_stream = decode_tokens / std::max<double>(streams, 1.0);
  const double seconds_per_stream = tokens_per_stream * stepSeconds(engine);
  const double places_needed = streams - engine.maximum_streams + 1.0;
  // Streams end one after the other, spread over the time that one takes.
  return seconds_per_stream * places_needed / engine.maximum_streams;
}

}  // namespace cypresswall::routing
