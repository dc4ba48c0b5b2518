#include "cypresswall/settings/settings_loader.h"

#include <algorithm>
#include <utility>

#include "cypresswall/runtime/curl_multi.h"
#include "cypresswall/runtime/machine_memory.h"
#include "cypresswall/settings/key_table.h"

namespace cypresswall::settings {
namespace {

/// On the platform kObjects, an attempt without a first token is abandoned no earlier than after
/// twice the first-token limit: earlier, another engine would only have to repeat the prefill.
constexpr double kObjectsPlatformStallShare = 2;

/// Share of the machine's memory that callers' requests and answers may take.
constexpr std::size_t kCallerMemoryDivisor = 4;

std::size_t machineBytes(const DaemonSettings& settings) {
  constexpr double kBytesPerMegabyte = 1e6;
  return settings.machine_megabytes > 0
             ? static_cast<std::size_t>(settings.machine_megabytes * kBytesPerMegabyte)
             : runtime::machineMemoryBytes();
}

/// \return an eighth of the machine's memory, within a range that holds the longest answer
std::size_t collectedResponseBytes(const DaemonSettings& settings) {
  constexpr std::size_t kMachineDivisor = 8;
  const std::size_t most = runtime::CurlMultiSettings().maximum_collected_bytes;
  const std::size_t least = std::min(settings.services.maximum_answer_bytes, most);
  return std::clamp(machineBytes(settings) / kMachineDivisor, least, most);
}

/// \return the memory in which a request with the longest body has room beside small ones
std::size_t leastCallerMemory(const DaemonSettings& settings) {
  return settings.server.maximum_body_bytes + settings.server.maximum_body_bytes / 2;
}

/// Applies values to the defaults and collects all problems.
class Loader {
 public:
  explicit Loader(const SourceValues& values) : values_(values) {}

  DaemonSettings load() {
    for (const SettingKey& key : settingKeys()) {
      applyKey(key);
    }
    if (problems_.empty()) {
      checkConsistency();
    }
    if (!problems_.empty()) {
      throw SettingsError(problems_);
    }
    settings_.node.membership.gateway_address = settings_.server.address;
    settings_.node.local_share.window = settings_.node.retries.window;
    settings_.node.connection_share = fleet_limits::connectionShareSettings(
        settings_.node.local_share, settings_.connections.idle_limit);
    return std::move(settings_);
  }

 private:
  void applyKey(const SettingKey& key) {
    const auto given = values_.find(key.name);
    if (given == values_.end()) {
      if (key.required) {
        problems_.push_back(key.name + ": must be given, in the settings file or as a flag");
      }
      return;
    }
    try {
      key.apply(settings_, given->second.value);
    } catch (const ValueError& error) {
      report(key.name, error.what());
    }
  }

  /// Checks constraints that involve several keys.
  void checkConsistency() {
    const auto& membership = settings_.node.membership;
    const auto& lease = settings_.node.lease;
    require(settings_.transport.listen_address != settings_.server.address, "node.gateway_address",
            "must differ from node.peer_address");
    require(settings_.readiness_address != settings_.server.address &&
                settings_.readiness_address != settings_.transport.listen_address,
            "node.readiness_address",
            "must differ from node.gateway_address and node.peer_address");
    require(membership.suspect_after > membership.heartbeat_interval, "timings.suspect_after",
            "must be longer than timings.heartbeat_interval");
    require(membership.dead_after > membership.suspect_after, "timings.dead_after",
            "must be longer than timings.suspect_after");
    require(lease.drift_margin * 2 < lease.duration, "timings.lease_drift_margin",
            "must be less than half of timings.lease_duration");
    require(lease.renew_interval < lease.duration - lease.drift_margin,
            "timings.lease_renew_interval",
            "must be less than timings.lease_duration without its margin");
    require(settings_.gateway.resume_below_bytes < settings_.gateway.pause_above_bytes,
            "limits.resume_below_bytes", "must be less than limits.pause_above_bytes");
    require(settings_.caller_memory_bytes == 0 ||
                settings_.caller_memory_bytes >= leastCallerMemory(settings_),
            "limits.caller_memory", "must be one and a half times limits.body_bytes or more");
    const auto& retries = settings_.node.retries;
    require(retries.fleet_share > 0 || retries.fleet_burst <= 0 || retries.fleet_burst >= 1,
            "retries.fleet_burst", "no node could ever use less than one repeat; write 0 for none");
    require(settings_.node.checkpoint.maximum_age > 2 * settings_.node.checkpoint.interval,
            "checkpoint.maximum_age", "must be longer than twice checkpoint.interval");
    checkSeeds();
  }

  void checkSeeds() {
    for (const auto& zone : settings_.node.membership.other_zones) {
      require(zone.zone != settings_.zone, "seeds",
              "zone '" + zone.zone + "' is the own zone; write its seeds as IP:port");
    }
  }

  void require(bool holds, const std::string& key, const std::string& problem) {
    if (!holds) {
      report(key, problem);
    }
  }

  void report(const std::string& key, const std::string& problem) {
    const auto given = values_.find(key);
    const std::string location = given == values_.end() ? "default" : given->second.location;
    problems_.push_back(location + ": " + key + ": " + problem);
  }

  const SourceValues& values_;
  DaemonSettings settings_;
  std::vector<std::string> problems_;
};

}  // namespace

DaemonSettings makeSettings(const SourceValues& values) {
  DaemonSettings settings = Loader(values).load();
  if (settings.caller_memory_bytes == 0) {
    settings.caller_memory_bytes =
        std::max(machineBytes(settings) / kCallerMemoryDivisor, leastCallerMemory(settings));
  }
  settings.collected_response_bytes = collectedResponseBytes(settings);
  if (settings.platform_protocol == PlatformProtocol::kObjects) {
    // This platform counts every request that reaches a back end, even if the back end refuses it.
    // It counts the requests of all nodes together and keeps the counts when nodes restart.
    settings.node.execution.charge_refused_attempts = true;
    settings.node.local_share.withhold_after_start = true;
    settings.node.connection_share.withhold_after_start = true;
    settings.node.router.copies_prefixes = settings.copied_prefixes;
    settings.node.execution.first_token_stall_share = kObjectsPlatformStallShare;
    // The platform's engines have only the roles "prefill" and "decode", and its store stays
    // available when nodes stop.
    settings.node.lease_in_store = true;
    settings.node.controller.order.engines_finish_streams = true;
    settings.node.make_planner = [planner = settings.disaggregated_planner] {
      return std::make_unique<planning::DisaggregatedPlanner>(planner);
    };
  }
  return settings;
}

SourceValues merged(SourceValues lower, const SourceValues& upper) {
  for (const auto& [name, value] : upper) {
    lower.insert_or_assign(name, value);
  }
  return lower;
}

}  // namespace cypresswall::settings
