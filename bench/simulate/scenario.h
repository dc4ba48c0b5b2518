/// A scenario file: a fleet, its load over time, and the faults injected.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/emulation/engine_settings.h"

namespace cypresswall::bench {

/// An invalid scenario; what() is "file:line: key: message".
class ScenarioError : public common::Error {
 public:
  using common::Error::Error;
};

/// A uniformly distributed number of tokens.
struct TokenRange {
  std::uint32_t least = 1;
  std::uint32_t most = 1;
};

/// One kind of requests, backed by a model service of the same name.
struct ScenarioKind {
  std::string name;
  TokenRange prompt_tokens;
  TokenRange output_tokens;
  common::Duration first_token_limit = std::chrono::milliseconds(1300);
  common::Duration between_tokens_limit = std::chrono::milliseconds(79);
  configuration::Urgency urgency = configuration::Urgency::kNormal;
  /// Number of common prompt prefixes; each prompt starts with one of them. Zero for none.
  std::uint32_t prefix_groups = 0;
  /// Length of a common prefix, in cache pieces.
  std::uint32_t prefix_pieces = 1;
};

struct ScenarioFleetSize {
  std::uint32_t zones = 1;
  std::uint32_t nodes_per_zone = 2;
  std::uint32_t engines_per_zone = 4;
  common::Duration between_zones = std::chrono::microseconds(1500);
  /// One-way delay between callers and gateways.
  common::Duration to_clients = std::chrono::milliseconds(3);
  emulation::EngineSettings engine;
};

/// Requests per second of each kind at a time; rates are interpolated linearly between points.
struct LoadPoint {
  common::Duration at{0};
  std::map<std::string, double> rates;
};

enum class ScenarioFaultKind : std::uint8_t {
  kEngineCrash,      ///< crashes the engine with index `value`
  kStoreDown,        ///< for `value` seconds
  kLoadLag,          ///< of all engines, in seconds
  kCacheEventLoss,   ///< of all engines, 0 to 1
  kCacheEventDelay,  ///< of all engines, in seconds
  kRateLimit         ///< announced by the first `value` engines
};

struct ScenarioFault {
  common::Duration at{0};
  ScenarioFaultKind kind = ScenarioFaultKind::kEngineCrash;
  double value = 0;
  /// For kRateLimit: the limit that each of the engines announces.
  double requests_per_second = 0;
};

struct Scenario {
  std::string name;
  common::Duration duration = std::chrono::minutes(10);
  /// Requests sent before this time are not counted.
  common::Duration warm_up = std::chrono::seconds(30);
  ScenarioFleetSize fleet;
  configuration::PlanningPolicy planning;
  std::vector<ScenarioKind> kinds;
  std::vector<LoadPoint> load;
  std::vector<ScenarioFault> faults;

  /// \return requests per second of a kind, `at` after the start.
  double rateAt(const std::string& kind, common::Duration at) const;
  /// \return the highest rate of a kind.
  double peakRate(const std::string& kind) const;
};

/// \param file_name used only in error messages. \throws ScenarioError
Scenario parseScenario(const std::string& text, const std::string& file_name);
/// \throws ScenarioError, also if the file can't be read
Scenario loadScenario(const std::string& path);

}  // namespace cypresswall::bench
