#include "cypresswall/settings/key_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cypresswall/runtime/log_sink.h"
#include "cypresswall/settings/policy_keys.h"

namespace cypresswall::settings {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Keys = std::vector<SettingKey>;

constexpr std::size_t kKibibyte = std::size_t{1} << 10;
constexpr std::size_t kMebibyte = std::size_t{1} << 20;
constexpr std::size_t kGibibyte = std::size_t{1} << 30;

SettingKey logLevelKey() {
  SettingKey key;
  key.name = "log.level";
  key.unit = "level";
  key.range = "debug, info, warning, error";
  key.default_text = runtime::toString(DaemonSettings().log_level);
  key.meaning = "Least level of events that are logged. Read again on SIGHUP.";
  key.apply = [](DaemonSettings& settings, const RawValue& value) {
    try {
      settings.log_level = runtime::parseLogLevel(singleText(value));
    } catch (const runtime::LogLevelError& error) {
      throw ValueError(error.what());
    }
  };
  return key;
}

SettingKey platformProtocolKey() {
  SettingKey key;
  key.name = "platform.protocol";
  key.unit = "protocol";
  key.range = "cypresswall, objects";
  key.default_text = "cypresswall";
  key.meaning =
      "Protocol of the platform: the project's own, or that of the folder platform/, where the "
      "platform also declares the fleet and callers come by the platform's routes.";
  key.apply = [](DaemonSettings& settings, const RawValue& value) {
    const std::string& text = singleText(value);
    if (text != "cypresswall" && text != "objects") {
      throw ValueError("'" + text + "' is not a protocol; use cypresswall or objects");
    }
    settings.platform_protocol =
        text == "objects" ? PlatformProtocol::kObjects : PlatformProtocol::kCypresswall;
  };
  return key;
}

void addOtherZoneSeed(std::vector<membership::ZoneSeed>& zones, const Seed& seed) {
  const auto known = std::find_if(zones.begin(), zones.end(),
                                  [&](const auto& zone) { return zone.zone == seed.zone; });
  if (known == zones.end()) {
    zones.push_back({seed.zone, seed.region, {seed.address}});
    return;
  }
  if (known->region != seed.region) {
    throw ValueError("zone '" + seed.zone + "' is given two regions");
  }
  known->addresses.push_back(seed.address);
}

SettingKey seedsKey() {
  SettingKey key;
  key.name = "seeds";
  key.unit = "list of IP:port or zone/region@IP:port";
  key.range = "addresses of peers";
  key.default_text = "[]";
  key.meaning =
      "Nodes to begin with: IP:port in the own zone, zone/region@IP:port in another one. A few of "
      "each zone are enough; the own address may be among them.";
  key.is_list = true;
  key.apply = [](DaemonSettings& settings, const RawValue& value) {
    membership::MembershipSettings& membership = settings.node.membership;
    membership.seeds.clear();
    membership.other_zones.clear();
    for (const std::string& item : value.items) {
      Seed seed = parseSeed(item);
      if (seed.zone.empty()) {
        membership.seeds.push_back(std::move(seed.address));
      } else {
        addOtherZoneSeed(membership.other_zones, seed);
      }
    }
  };
  return key;
}

SettingKey blockedPeersKey(std::string name, SettingField<std::vector<std::string>> field,
                           std::string meaning) {
  SettingKey key;
  key.name = std::move(name);
  key.unit = "list of IP, IP:port or the beginning of IP numbers with a dot at its end";
  key.range = "addresses";
  key.default_text = "[]";
  key.meaning = std::move(meaning);
  key.is_list = true;
  key.apply = [field](DaemonSettings& settings, const RawValue& value) {
    field(settings) = value.items;
  };
  return key;
}

SettingKey zoneRegionsKey() {
  constexpr char kSeparator = '/';
  SettingKey key;
  key.name = "platform.zone_regions";
  key.unit = "list of ZONE/REGION";
  key.range = "names";
  key.default_text = "[]";
  key.meaning =
      "Region of each zone of the platform, if the platform has several regions. Engines are "
      "ordered "
      "by nodes of their own region only.";
  key.is_list = true;
  key.apply = [](DaemonSettings& settings, const RawValue& value) {
    for (const std::string& item : value.items) {
      const auto separator = item.find(kSeparator);
      const bool complete = separator != std::string::npos && separator > 0 &&
                            separator + 1 < item.size() &&
                            item.find(kSeparator, separator + 1) == std::string::npos;
      if (!complete) {
        throw ValueError("'" + item + "' is not ZONE/REGION");
      }
      const std::string zone = item.substr(0, separator);
      const auto [known, added] =
          settings.platform_zone_regions.try_emplace(zone, item.substr(separator + 1));
      if (!added && known->second != item.substr(separator + 1)) {
        throw ValueError("zone '" + zone + "' is given two regions");
      }
    }
  };
  return key;
}

Keys nodeKeys() {
  return {
      addressKey(
          "node.peer_address", "", [](auto& s) -> auto& { return s.transport.listen_address; },
          "Where other nodes reach this one; messages between nodes."),
      addressKey(
          "node.gateway_address", "", [](auto& s) -> auto& { return s.server.address; },
          "Where callers, operators and metrics readers reach this node over HTTP."),
      optionalAddressKey(
          "node.readiness_address", [](auto& s) -> auto& { return s.readiness_address; },
          "Where the node serves /readyz, /healthz, /metrics and /operators, if not at the address "
          "for callers."),
      nameKey(
          "node.zone", [](auto& s) -> auto& { return s.zone; }, "Zone that this node works in."),
      nameKey(
          "node.region", [](auto& s) -> auto& { return s.node.membership.region; },
          "Region of the zone."),
      nameKey(
          "node.machine", [](auto& s) -> auto& { return s.node.membership.machine; },
          "Machine that the process runs on, as the platform's machine list names it."),
      numberKey(
          "node.link_megabits", 0, 1e7,
          [](auto& s) -> auto& { return s.node.membership.link_megabits; },
          "Bandwidth of the machine's link in Mbit/s; zero if not known. Nodes with more of it "
          "read "
          "the platform's store for the others."),
      seedsKey(),
      platformProtocolKey(),
      addressKey(
          "platform.object_api", "", [](auto& s) -> auto& { return s.object_store.address; },
          "The platform's object API."),
      addressKey(
          "platform.machine_list", "", [](auto& s) -> auto& { return s.machine_list.address; },
          "The platform's machine list."),
      zoneRegionsKey(),
      logLevelKey(),
  };
}

Keys limitKeys() {
  return {
      countKey(
          "limits.connections", 1, 1000000,
          [](auto& s) -> auto& { return s.server.maximum_connections; },
          "Connections of callers held at a time; further ones are not accepted. Before so many "
          "are "
          "open, those that have sent nothing are closed for new ones, as are requests that have "
          "stopped arriving."),
      countKey(
          "limits.management_connections", 1, 1000000,
          [](auto& s) -> auto& { return s.management_connections; },
          "Connections held at a time at node.readiness_address; before so many are open, those "
          "that have sent nothing are closed for new ones."),
      numberKey(
          "limits.machine_megabytes", 0, 1e9, [](auto& s) -> auto& { return s.machine_megabytes; },
          "Memory that the process may use, in units of 10^6 bytes; zero is all that the system "
          "reports."),
      bytesKey(
          "limits.caller_memory", 0, 1024 * kGibibyte,
          [](auto& s) -> auto& { return s.caller_memory_bytes; },
          "Memory for callers' requests that arrive, wait or run, and for answers that they have "
          "not taken. Beyond it, the connection that holds the most for the longest time without "
          "progress is ended. Zero is a quarter of the machine's memory, but at least one and a "
          "half times limits.body_bytes."),
      countKey(
          "limits.cache_pieces", 64, 16777216,
          [](auto& s) -> auto& { return s.node.directory.prefix_index.maximum_pieces; },
          "Cached pieces of prompts whose engines a node remembers; each takes some 150 bytes."),
      countKey(
          "limits.shared_zone_nodes", 1, 100000,
          [](auto& s) -> auto& { return s.node.shared_zone_nodes; },
          "Nodes up to which all nodes of a zone hear each other and decide about all engines; in "
          "a "
          "larger zone each hears four, and two decide about an engine. The same on all nodes."),
      countKey(
          "limits.engines_per_group", 1, 10000,
          [](auto& s) -> auto& { return s.node.directory.groups.engines_per_group; },
          "Engines of a model that the same two nodes decide about in a larger zone, on average. "
          "The "
          "same on all nodes."),
      countKey(
          "limits.working_engines", 0, 100000,
          [](auto& s) -> auto& { return s.node.working_engines; },
          "Engines that the nodes of a zone use at most, unless the load needs more; the others "
          "are "
          "in reserve. Zero uses all."),
      countKey(
          "limits.backends_per_node", 0, 100000,
          [](auto& s) -> auto& { return s.node.backends_per_node; },
          "Back ends of a plain HTTP service that one node uses at most. Zero uses all."),
      bytesKey(
          "limits.header_bytes", kKibibyte, kMebibyte,
          [](auto& s) -> auto& { return s.server.maximum_header_bytes; },
          "Longest head of a caller's request."),
      bytesKey(
          "limits.body_bytes", kKibibyte, kGibibyte,
          [](auto& s) -> auto& { return s.server.maximum_body_bytes; },
          "Longest body of a caller's request."),
      bytesKey(
          "limits.answer_bytes", kKibibyte, kGibibyte,
          [](auto& s) -> auto& { return s.services.maximum_answer_bytes; },
          "Longest answer of a plain HTTP service."),
      bytesKey(
          "limits.pause_above_bytes", kKibibyte, 64 * kMebibyte,
          [](auto& s) -> auto& { return s.gateway.pause_above_bytes; },
          "A stream pauses when its caller has so many bytes not yet taken."),
      bytesKey(
          "limits.resume_below_bytes", 0, 64 * kMebibyte,
          [](auto& s) -> auto& { return s.gateway.resume_below_bytes; },
          "A paused stream goes on below so many bytes."),
      countKey(
          "limits.peer_connections", 1, 100000,
          [](auto& s) -> auto& { return s.transport.maximum_incoming_connections; },
          "Connections of other nodes held at a time."),
      bytesKey(
          "limits.peer_queue_bytes", 64 * kKibibyte, kGibibyte,
          [](auto& s) -> auto& { return s.transport.maximum_queued_bytes; },
          "Messages waiting for one other node; the oldest are dropped first."),
  };
}

Keys membershipTimingKeys() {
  return {
      durationKey(
          "timings.heartbeat_interval", milliseconds(10), seconds(60),
          [](auto& s) -> auto& { return s.node.membership.heartbeat_interval; },
          "Between two heartbeats to the nodes of the zone."),
      durationKey(
          "timings.suspect_after", milliseconds(20), seconds(600),
          [](auto& s) -> auto& { return s.node.membership.suspect_after; },
          "Silence after which a node is suspected; longer than heartbeat_interval."),
      durationKey(
          "timings.dead_after", milliseconds(30), seconds(600),
          [](auto& s) -> auto& { return s.node.membership.dead_after; },
          "Silence after which a node is taken for dead; longer than suspect_after."),
      durationKey(
          "timings.machine_poll_interval", milliseconds(50), seconds(60),
          [](auto& s) -> auto& { return s.node.membership.machine_poll_interval; },
          "Between two reads of the machine list by the zone's one reader."),
      durationKey(
          "timings.lease_duration", milliseconds(100), seconds(60),
          [](auto& s) -> auto& { return s.node.lease.duration; },
          "How long a grant of the zone's lease lasts."),
      durationKey(
          "timings.lease_drift_margin", milliseconds(1), seconds(10),
          [](auto& s) -> auto& { return s.node.lease.drift_margin; },
          "How much earlier a holder stops; less than half of lease_duration."),
      durationKey(
          "timings.lease_renew_interval", milliseconds(10), seconds(30),
          [](auto& s) -> auto& { return s.node.lease.renew_interval; },
          "Between two renewals; less than lease_duration without its margin."),
  };
}

Keys controlTimingKeys() {
  return {
      durationKey(
          "timings.engine_poll_interval", milliseconds(10), seconds(60),
          [](auto& s) -> auto& { return s.node.directory.poll_period; },
          "Between two load reports read from a watched engine; twice that while its load stands "
          "still."),
      durationKey(
          "timings.cache_poll_interval", milliseconds(10), seconds(60),
          [](auto& s) -> auto& { return s.node.directory.cache_poll_period; },
          "Between two reads of a watched engine's cache events; up to four times that while none "
          "come."),
      durationKey(
          "timings.engine_publish_interval", milliseconds(10), seconds(60),
          [](auto& s) -> auto& { return s.node.directory.publish_period; },
          "Least time between two publications of engines' load to the zone."),
      durationKey(
          "timings.owner_answer_limit", milliseconds(1), seconds(10),
          [](auto& s) -> auto& { return s.node.placement.answer_limit; },
          "Longest wait for the answer of a node that decides about engines, before another one is "
          "asked."),
      durationKey(
          "timings.configuration_repair_interval", milliseconds(50), seconds(60),
          [](auto& s) -> auto& { return s.node.configuration.repair_interval; },
          "Between two comparisons of the configuration's version with peers."),
      durationKey(
          "timings.store_probe_interval", milliseconds(100), seconds(600),
          [](auto& s) -> auto& { return s.node.configuration.probe_interval; },
          "Between two checks of the store, by the zone's one reader, beside its watch."),
      durationKey(
          "timings.store_watch_time", milliseconds(100), seconds(60),
          [](auto& s) -> auto& { return s.object_store.watch_poll_time; },
          "How long the store may hold a watch that has nothing to tell."),
  };
}

Keys requestTimingKeys() {
  return {
      durationKey(
          "timings.store_read_limit", milliseconds(50), seconds(60),
          [](auto& s) -> auto& { return s.object_store.read_time_limit; },
          "Time limit of a read from the store."),
      durationKey(
          "timings.store_write_limit", milliseconds(50), seconds(60),
          [](auto& s) -> auto& { return s.object_store.write_time_limit; },
          "Time limit of a write to the store; then its outcome is unknown until read back."),
      durationKey(
          "timings.engine_connect_limit", milliseconds(10), seconds(30),
          [](auto& s) -> auto& { return s.engines.connect_time_limit; },
          "Time limit of a connection to an engine."),
      durationKey(
          "timings.engine_order_limit", milliseconds(50), seconds(60),
          [](auto& s) -> auto& { return s.engines.order_time_limit; },
          "Time limit of an order to an engine; then the same order is sent again."),
      durationKey(
          "timings.kv_transfer", std::chrono::microseconds(1), seconds(10),
          [](auto& s) -> auto& { return s.node.router.kv_transfer_per_thousand_tokens; },
          "Time that engines take to hand over the KV cache of 1,000 tokens."),
      durationKey(
          "timings.service_connect_limit", milliseconds(10), seconds(30),
          [](auto& s) -> auto& { return s.services.connect_time_limit; },
          "Time limit of a connection to a plain HTTP service."),
      durationKey(
          "timings.header_limit", milliseconds(100), minutes(10),
          [](auto& s) -> auto& { return s.server.header_time_limit; },
          "Time in which a caller's request must arrive, from its first byte."),
      durationKey(
          "timings.idle_limit", seconds(1), hours(24),
          [](auto& s) -> auto& { return s.server.idle_time_limit; },
          "Longest silence of a caller's connection."),
      durationKey(
          "timings.stop_limit", milliseconds(0), hours(24),
          [](auto& s) -> auto& { return s.node.stop_limit; },
          "How long a planned stop (SIGTERM) waits for requests that run; callers of those that "
          "still run then get an error."),
      durationKey(
          "timings.stop_lame_duck", milliseconds(0), hours(1),
          [](auto& s) -> auto& { return s.stop_lame_duck; },
          "How long a planned stop takes requests after /readyz has turned, before stop_limit."),
      durationKey(
          "timings.startup_hold", milliseconds(0), seconds(2),
          [](auto& s) -> auto& { return s.node.execution.startup_hold; },
          "How long a request may wait at a node that has just started, until the node knows the "
          "declared services and engines; zero refuses it at once."),
  };
}

Keys faultKeys() {
  if (!runtime::kFaultSwitchesCompiled) {
    return {};
  }
  return {
      blockedPeersKey(
          "faults.block_sending_to", [](auto& s) -> auto& { return s.blocked_peers.sending_to; },
          "Peers, engines and platform parts to which nothing is sent. Read again on SIGHUP."),
      blockedPeersKey(
          "faults.block_receiving_from",
          [](auto& s) -> auto& { return s.blocked_peers.receiving_from; },
          "Peers whose messages are dropped. Read again on SIGHUP."),
  };
}

Keys allKeys() {
  Keys keys;
  for (Keys (*const part)() :
       {nodeKeys, limitKeys, membershipTimingKeys, controlTimingKeys, planningKeys, engineSpeedKeys,
        retryKeys, connectionKeys, admissionKeys, quarantineKeys, checkpointKeys, dutyKeys,
        autoscalingKeys, executionKeys, mechanismKeys, requestTimingKeys, faultKeys}) {
    Keys added = part();
    std::move(added.begin(), added.end(), std::back_inserter(keys));
  }
  return keys;
}

}  // namespace

const std::vector<SettingKey>& settingKeys() {
  static const std::vector<SettingKey> keys = allKeys();
  return keys;
}

const SettingKey* findKey(const std::string& name) {
  const auto& keys = settingKeys();
  const auto key = std::find_if(keys.begin(), keys.end(), [&](const SettingKey& candidate) {
    return candidate.name == name;
  });
  return key == keys.end() ? nullptr : &*key;
}

}  // namespace cypresswall::settings
