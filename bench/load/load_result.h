/// Measurements of one load phase.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/load/latency_samples.h"

namespace cypresswall::bench {

/// Outcome of a request as seen by its caller.
enum class RequestEnd : std::uint8_t {
  kDone,       ///< complete, with the expected answer
  kRefused,    ///< 429, 503 or an engine's 409
  kNotRun,     ///< another error with the outcome "not-run"
  kUnknown,    ///< an error with the outcome "unknown" or none
  kBroken,     ///< the connection ended before the final event
  kWrong,      ///< complete, but not the expected answer
  kNotSent,    ///< no byte reached the target
  kAbandoned,  ///< still open when the phase ended
};
inline constexpr std::size_t kRequestEnds = 8;

/// \return for example "done" or "not_run".
const char* toString(RequestEnd end);

struct KindResult {
  std::array<std::uint64_t, kRequestEnds> ends{};
  LatencySamples first_token;
  std::uint64_t tokens = 0;

  std::uint64_t count(RequestEnd end) const { return ends[static_cast<std::size_t>(end)]; }
  std::uint64_t requests() const;
};

struct LoadResult {
  std::map<std::string, KindResult> kinds;
  LatencySamples between_tokens;
  /// Time until a refusal arrived.
  LatencySamples refusal;
  std::uint64_t refusals_with_retry_after = 0;
  /// Requests that the generator sent more than a millisecond late.
  std::uint64_t sent_late = 0;
  /// Number of failures by message.
  std::map<std::string, std::uint64_t> errors;

  void merge(const LoadResult& other);
  /// \return the sum over all kinds.
  KindResult total() const;
};

}  // namespace cypresswall::bench
