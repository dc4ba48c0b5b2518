/// Counts the requests for each model at this node, for the planner of the zone.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <utility>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::planning {

/// Demand for one model at one node since the node's last report to the planner. Fields whose names
/// end in `_us` are engine time in microseconds.
struct DemandCount {
  std::uint64_t requests = 0;
  /// Prompt tokens that engines have to compute: without those expected in the engine's cache or
  /// copied from another one's.
  std::uint64_t prefill_tokens = 0;
  std::uint64_t decode_tokens = 0;
  /// Requests refused because no engine could meet their limits.
  std::uint64_t refused = 0;
  /// Requests whose prompt takes more than one engine step to compute ("long prompts").
  std::uint64_t long_requests = 0;
  /// Tokens of the long prompts, counted as in `prefill_tokens`.
  std::uint64_t long_prefill_tokens = 0;
  /// Requests whose prompt is computed by a prefill engine and whose output by another engine.
  std::uint64_t prefill_engine_requests = 0;
  /// Time that these prompts occupy the prefill engines.
  std::uint64_t prefill_engine_us = 0;
  /// Time that the other prompts occupy engines that also generate the output.
  std::uint64_t decode_engine_us = 0;
  /// Part of `prefill_engine_us` due to flexible prompts (see RequestDemand::flexible).
  std::uint64_t flexible_prefill_us = 0;
  /// Part of `decode_engine_us` due to flexible prompts.
  std::uint64_t flexible_decode_us = 0;
  /// Flexible prompts computed by the engine that also generates the output.
  std::uint64_t flexible_decode_requests = 0;
  /// Engine time that the output takes (see RequestDemand::output_time).
  std::uint64_t output_us = 0;

  MSGPACK_DEFINE_ARRAY(requests, prefill_tokens, decode_tokens, refused, long_requests,
                       long_prefill_tokens, prefill_engine_requests, prefill_engine_us,
                       decode_engine_us, flexible_prefill_us, flexible_decode_us,
                       flexible_decode_requests, output_us)
};

/// The demand of one request.
struct RequestDemand {
  std::uint64_t prefill_tokens = 0;
  std::uint64_t decode_tokens = 0;
  bool refused = false;
  /// The prompt takes more than one engine step.
  bool is_long = false;
  /// A prefill engine computes the prompt, and another engine generates the output.
  bool split = false;
  /// Time for which the prompt occupies the engine that computes it.
  common::Duration prompt_time{0};
  /// The prompt is long, but a decode engine may compute it without delaying output too much.
  bool flexible = false;
  /// Time to generate the output on an engine whose stream slots are all in use, divided by the
  /// number of its slots.
  common::Duration output_time{0};
};

class DemandCounter {
 public:
  /// Counts one request that was routed or refused.
  void record(const common::ModelName& model, const RequestDemand& request) {
    DemandCount& count = counts_[model];
    const auto prompt_us = static_cast<std::uint64_t>(request.prompt_time.count());
    ++count.requests;
    count.prefill_tokens += request.prefill_tokens;
    count.decode_tokens += request.decode_tokens;
    count.refused += request.refused ? 1 : 0;
    count.long_requests += request.is_long ? 1 : 0;
    count.long_prefill_tokens += request.is_long ? request.prefill_tokens : 0;
    count.prefill_engine_requests += request.split ? 1 : 0;
    (request.split ? count.prefill_engine_us : count.decode_engine_us) += prompt_us;
    if (request.flexible) {
      (request.split ? count.flexible_prefill_us : count.flexible_decode_us) += prompt_us;
      count.flexible_decode_requests += request.split ? 0 : 1;
    }
    count.output_us += static_cast<std::uint64_t>(request.output_time.count());
  }
  /// \return the counts since the last call.
  std::map<common::ModelName, DemandCount> take() { return std::exchange(counts_, {}); }

 private:
  std::map<common::ModelName, DemandCount> counts_;
};

}  // namespace cypresswall::planning
