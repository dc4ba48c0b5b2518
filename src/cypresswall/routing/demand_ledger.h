/// Counts what callers asked of each model at this node, for the planner of the zone.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <utility>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::routing {

/// Work asked for, since the counting began.
struct DemandCount {
  std::uint64_t requests = 0;
  /// Prompt tokens that an engine has to compute, without those expected in its cache.
  std::uint64_t prefill_tokens = 0;
  std::uint64_t decode_tokens = 0;
  /// Requests refused because no engine could meet their limits.
  std::uint64_t refused = 0;
  /// Of these, requests whose prompt takes an engine longer than one step, and their prompt tokens.
  std::uint64_t long_requests = 0;
  std::uint64_t long_prefill_tokens = 0;

  MSGPACK_DEFINE_ARRAY(requests, prefill_tokens, decode_tokens, refused, long_requests,
                       long_prefill_tokens)
};

class DemandLedger {
 public:
  /// Counts one request that was routed or refused.
  /// \param is_long the prompt takes an engine longer than one step
  void asked(const common::ModelName& model, std::uint64_t prefill_tokens,
             std::uint64_t decode_tokens, bool refused, bool is_long) {
    DemandCount& count = counts_[model];
    ++count.requests;
    count.prefill_tokens += prefill_tokens;
    count.decode_tokens += decode_tokens;
    count.refused += refused ? 1 : 0;
    count.long_requests += is_long ? 1 : 0;
    count.long_prefill_tokens += is_long ? prefill_tokens : 0;
  }
  /// \return everything counted since the last call.
  std::map<common::ModelName, DemandCount> take() { return std::exchange(counts_, {}); }

 private:
  std::map<common::ModelName, DemandCount> counts_;
};

}  // namespace cypresswall::routing
