// Parsing of scenario files.
#include <yaml-cpp/yaml.h>

#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "bench/simulate/scenario.h"

namespace cypresswall::bench {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

/// One map of the file. Keys that were never read are reported as unknown.
class Section {
 public:
  Section(const YAML::Node& node, std::string path, const std::string& file)
      : node_(node), path_(std::move(path)), file_(file) {
    if (!node_.IsMap()) {
      fail(node_, path_, "must be a map");
    }
  }

  bool has(const std::string& key) {
    known_.insert(key);
    return node_[key].IsDefined();
  }

  std::string text(const std::string& key, const std::string& fallback) {
    return has(key) ? node_[key].as<std::string>() : fallback;
  }

  double number(const std::string& key, double fallback, double least = 0) {
    if (!has(key)) {
      return fallback;
    }
    return numberOf(node_[key], pathOf(key), least);
  }

  std::uint32_t count(const std::string& key, std::uint32_t fallback, std::uint32_t least = 0) {
    const double value = number(key, fallback, least);
    if (value != std::floor(value) || value > UINT32_MAX) {
      fail(node_[key], pathOf(key), "must be a whole number");
    }
    return static_cast<std::uint32_t>(value);
  }

  /// Reads a duration given in seconds.
  common::Duration time(const std::string& key, common::Duration fallback) {
    return common::fromSeconds(number(key, common::toSeconds(fallback)));
  }
  common::Duration milliseconds(const std::string& key, common::Duration fallback) {
    const double value = number(key, common::toSeconds(fallback) * kMillisecondsPerSecond);
    return common::fromSeconds(value / kMillisecondsPerSecond);
  }

  TokenRange range(const std::string& key) {
    if (!has(key) || !node_[key].IsSequence() || node_[key].size() != 2) {
      fail(has(key) ? node_[key] : node_, pathOf(key), "must be a list of two numbers");
    }
    TokenRange range;
    range.least = static_cast<std::uint32_t>(numberOf(node_[key][0], pathOf(key), 1));
    range.most = static_cast<std::uint32_t>(numberOf(node_[key][1], pathOf(key), range.least));
    return range;
  }

  Section section(const std::string& key) {
    known_.insert(key);
    return {node_[key], pathOf(key), file_};
  }

  std::vector<Section> list(const std::string& key, bool required) {
    std::vector<Section> sections;
    if (!has(key)) {
      if (required) {
        fail(node_, pathOf(key), "is required");
      }
      return sections;
    }
    if (!node_[key].IsSequence()) {
      fail(node_[key], pathOf(key), "must be a list");
    }
    for (const YAML::Node& entry : node_[key]) {
      sections.emplace_back(entry, pathOf(key) + "[" + std::to_string(sections.size()) + "]",
                            file_);
    }
    return sections;
  }

  void refuseUnknown() const {
    for (const auto& entry : node_) {
      const auto key = entry.first.as<std::string>();
      if (known_.count(key) == 0) {
        fail(entry.first, pathOf(key), "is not a known key");
      }
    }
  }

  [[noreturn]] void fail(const std::string& key, const std::string& message) const {
    fail(node_[key].IsDefined() ? node_[key] : node_, pathOf(key), message);
  }

 private:
  std::string pathOf(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
  }

  double numberOf(const YAML::Node& node, const std::string& path, double least) const {
    double value = 0;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !std::isfinite(value)) {
      fail(node, path, "must be a number");
    }
    if (value < least) {
      std::ostringstream message;
      message << "must be at least " << least;
      fail(node, path, message.str());
    }
    return value;
  }

  [[noreturn]] void fail(const YAML::Node& node, const std::string& path,
                         const std::string& message) const {
    throw ScenarioError(file_ + ":" + std::to_string(node.Mark().line + 1) + ": " + path + ": " +
                        message);
  }

  YAML::Node node_;
  std::string path_;
  const std::string& file_;
  std::set<std::string> known_;
};

configuration::Urgency parseUrgencyName(Section& section) {
  const std::string name = section.text("urgency", "normal");
  const std::map<std::string, configuration::Urgency> names = {
      {"low", configuration::Urgency::kLow},
      {"normal", configuration::Urgency::kNormal},
      {"high", configuration::Urgency::kHigh},
      {"critical", configuration::Urgency::kCritical}};
  const auto urgency = names.find(name);
  if (urgency == names.end()) {
    section.fail("urgency", "must be low, normal, high or critical");
  }
  return urgency->second;
}

ScenarioFleetSize readFleet(Section section) {
  ScenarioFleetSize fleet;
  fleet.zones = section.count("zones", fleet.zones, 1);
  fleet.nodes_per_zone = section.count("nodes_per_zone", fleet.nodes_per_zone, 1);
  fleet.engines_per_zone = section.count("engines_per_zone", fleet.engines_per_zone, 1);
  fleet.between_zones = section.milliseconds("between_zones_ms", fleet.between_zones);
  fleet.to_clients = section.milliseconds("to_clients_ms", fleet.to_clients);
  emulation::EngineSettings& engine = fleet.engine;
  emulation::EngineSpeed& speed = engine.speed;
  speed.prefill_tokens_per_second =
      section.number("prefill_tokens_per_second", speed.prefill_tokens_per_second, 1);
  speed.decode_step_base = section.milliseconds("decode_step_base_ms", speed.decode_step_base);
  speed.decode_step_per_stream =
      section.milliseconds("decode_step_per_stream_ms", speed.decode_step_per_stream);
  speed.steps_per_event = section.count("steps_per_event", speed.steps_per_event, 1);
  engine.maximum_streams = section.count("maximum_streams", engine.maximum_streams, 1);
  engine.cache_pieces = section.count("cache_pieces", engine.cache_pieces);
  engine.role_change_time = section.time("role_change_time", engine.role_change_time);
  engine.restart_time = section.time("restart_time", engine.restart_time);
  section.refuseUnknown();
  return fleet;
}

configuration::PlanningPolicy readPlanning(Section section) {
  configuration::PlanningPolicy planning;
  planning.role_change_weight = section.number("role_change_weight", planning.role_change_weight);
  planning.horizon = section.time("horizon", planning.horizon);
  section.refuseUnknown();
  return planning;
}

ScenarioKind readKind(Section& section) {
  ScenarioKind kind;
  kind.name = section.text("name", "");
  if (kind.name.empty()) {
    section.fail("name", "is required");
  }
  kind.prompt_tokens = section.range("prompt_tokens");
  kind.output_tokens = section.range("output_tokens");
  kind.first_token_limit = section.time("first_token_limit", kind.first_token_limit);
  kind.between_tokens_limit = section.time("between_tokens_limit", kind.between_tokens_limit);
  kind.urgency = parseUrgencyName(section);
  kind.prefix_groups = section.count("prefix_groups", kind.prefix_groups);
  kind.prefix_pieces = section.count("prefix_pieces", kind.prefix_pieces, 1);
  section.refuseUnknown();
  return kind;
}

LoadPoint readLoadPoint(Section& section, const std::vector<ScenarioKind>& kinds) {
  LoadPoint point;
  point.at = section.time("at", point.at);
  for (const ScenarioKind& kind : kinds) {
    point.rates[kind.name] = section.number(kind.name, 0);
  }
  section.refuseUnknown();
  return point;
}

ScenarioFault readFault(Section& section) {
  const std::vector<std::pair<std::string, ScenarioFaultKind>> names = {
      {"engine_crash", ScenarioFaultKind::kEngineCrash},
      {"store_down", ScenarioFaultKind::kStoreDown},
      {"load_lag", ScenarioFaultKind::kLoadLag},
      {"cache_event_loss", ScenarioFaultKind::kCacheEventLoss},
      {"cache_event_delay", ScenarioFaultKind::kCacheEventDelay},
      {"rate_limited_engines", ScenarioFaultKind::kRateLimit}};
  ScenarioFault fault;
  fault.at = section.time("at", fault.at);
  for (const auto& [name, kind] : names) {
    if (section.has(name)) {
      fault.kind = kind;
      fault.value = section.number(name, 0);
    }
  }
  fault.requests_per_second = section.number("requests_per_second", fault.requests_per_second);
  section.refuseUnknown();
  return fault;
}

/// Rejects a kind whose prompts an engine can't compute within the kind's limit: no policy could
/// meet the limit.
void checkKindFits(const ScenarioFleetSize& fleet, const ScenarioKind& kind, Section& section) {
  const double seconds = kind.prompt_tokens.least / fleet.engine.speed.prefill_tokens_per_second;
  if (common::fromSeconds(seconds) > kind.first_token_limit) {
    section.fail("prompt_tokens", "no engine computes the shortest prompt within the limit");
  }
}

}  // namespace

Scenario parseScenario(const std::string& text, const std::string& file_name) {
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& error) {
    throw ScenarioError(file_name + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg);
  }
  Section file(root, "", file_name);
  Scenario scenario;
  scenario.name = file.text("name", file_name);
  scenario.duration = file.time("duration", scenario.duration);
  scenario.warm_up = file.time("warm_up", scenario.warm_up);
  if (file.has("fleet")) {
    scenario.fleet = readFleet(file.section("fleet"));
  }
  if (file.has("planning")) {
    scenario.planning = readPlanning(file.section("planning"));
  }
  for (Section& section : file.list("kinds", true)) {
    scenario.kinds.push_back(readKind(section));
    checkKindFits(scenario.fleet, scenario.kinds.back(), section);
  }
  for (Section& section : file.list("load", true)) {
    scenario.load.push_back(readLoadPoint(section, scenario.kinds));
    const std::size_t count = scenario.load.size();
    if (count > 1 && scenario.load[count - 2].at >= scenario.load[count - 1].at) {
      section.fail("at", "must be later than the point before");
    }
  }
  for (Section& section : file.list("faults", false)) {
    scenario.faults.push_back(readFault(section));
  }
  file.refuseUnknown();
  return scenario;
}

Scenario loadScenario(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw ScenarioError(path + ": can't be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parseScenario(text.str(), path);
}

}  // namespace cypresswall::bench
