#include "bench/scale/scale_run.h"

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "bench/load/process_usage.h"
#include "bench/scale/hollow_fleet.h"
#include "cypresswall/configuration/object_codec.h"

namespace cypresswall::bench {
namespace {

constexpr common::Duration kPollInterval = std::chrono::milliseconds(10);
constexpr common::Duration kBringUpLimit = std::chrono::seconds(120);
constexpr common::Duration kChangeLimit = std::chrono::seconds(30);
/// Objects in one change while the fleet is declared.
constexpr std::size_t kObjectsPerChange = 500;

/// Control traffic of one node so far.
struct Traffic {
  double sent_bytes = 0;
  double received_bytes = 0;
  double sent_messages = 0;
  std::map<std::string, double> bytes_by_type;
};

Traffic trafficOf(const HollowNode& node) {
  Traffic traffic{node.counters().total("cypresswall_transport_sent_bytes_total"),
                  node.counters().total("cypresswall_transport_received_bytes_total"),
                  node.counters().total("cypresswall_transport_sent_messages_total"),
                  {}};
  const auto queued = node.counters().entries().find("cypresswall_transport_queued_bytes_total");
  if (queued != node.counters().entries().end()) {
    for (const auto& [type, counter] : queued->second.by_label) {
      traffic.bytes_by_type[type] = counter->value();
    }
  }
  return traffic;
}

/// \return what was queued between two readings, by message type, in bytes a second.
std::map<std::string, double> ratesByType(const Traffic& before, const Traffic& after,
                                          double seconds) {
  std::map<std::string, double> rates;
  for (const auto& [type, bytes] : after.bytes_by_type) {
    const auto earlier = before.bytes_by_type.find(type);
    const double base = earlier == before.bytes_by_type.end() ? 0 : earlier->second;
    rates[type] = (bytes - base) / seconds;
  }
  return rates;
}

/// One run on its event loop. Each step blocks by running the loop until its event has come.
class ScaleRun {
 public:
  explicit ScaleRun(const ScaleSettings& settings)
      : settings_(settings), fleet_(context_, settings) {
    report_.settings = settings;
  }

  ScaleReport run() {
    require(waitFor([this] { return allReady(); }, kBringUpLimit), "not all nodes became ready");
    declareFleet();
    runFor(settings_.settle);
    report_.zones_with_holder = countHolders();
    measureSteadyState();
    for (std::uint32_t change = 0; change < settings_.configuration_changes; ++change) {
      measureChange(change);
    }
    for (std::uint32_t kill = 0; kill < settings_.kills; ++kill) {
      measureDeath(kill);
    }
    return report_;
  }

 private:
  static void require(bool condition, const std::string& message) {
    if (!condition) {
      throw ScaleError(message);
    }
  }

  void runFor(common::Duration duration) {
    bool over = false;
    fleet_.scheduler().schedule(duration, [&over] { over = true; });
    while (!over) {
      context_.run_one();
    }
  }

  bool waitFor(const std::function<bool()>& condition, common::Duration limit) {
    const auto deadline = fleet_.clock().now() + limit;
    while (!condition()) {
      if (fleet_.clock().now() > deadline) {
        return false;
      }
      runFor(kPollInterval);
    }
    return true;
  }

  bool allReady() {
    auto& nodes = fleet_.nodes();
    return std::all_of(nodes.begin(), nodes.end(),
                       [](const auto& node) { return node->node().ready(); });
  }

  bool allHold(std::uint64_t version) {
    auto& nodes = fleet_.nodes();
    return std::all_of(nodes.begin(), nodes.end(), [version](const auto& node) {
      return node->node().configuration().current()->version >= version;
    });
  }

  std::uint32_t countHolders() {
    std::uint32_t holders = 0;
    for (auto& node : fleet_.nodes()) {
      holders += node->node().authority().heldEpoch() ? 1 : 0;
    }
    return holders;
  }

  /// Submits a change through the first hollow node and waits for its answer.
  configuration::CommitResult submit(std::vector<configuration::ObjectChange> objects) {
    configuration::ConfigurationChangeRequest request;
    request.objects = std::move(objects);
    request.change_id = "scale-" + std::to_string(settings_.seed) + "-" + std::to_string(getpid()) +
                        "-" + std::to_string(++changes_);
    request.author = "cypresswall-bench";
    std::optional<configuration::CommitResult> result;
    fleet_.nodes().front()->node().configuration().submit(
        request, [&result](const configuration::CommitResult& answer) { result = answer; });
    require(waitFor([&result] { return result.has_value(); }, kChangeLimit),
            "no answer to a change");
    return *result;
  }

  configuration::CommitResult submitAccepted(
      const std::vector<configuration::ObjectChange>& objects) {
    const auto deadline = fleet_.clock().now() + kChangeLimit;
    while (true) {
      auto result = submit(objects);
      if (result.status == configuration::CommitStatus::kAccepted) {
        return result;
      }
      require(fleet_.clock().now() < deadline,
              std::string("change refused: ") + toString(result.status) + " " + result.message);
      runFor(std::chrono::milliseconds(200));
    }
  }

  void declareFleet() {
    const auto objects = scaleObjects(settings_);
    for (std::size_t first = 0; first < objects.size(); first += kObjectsPerChange) {
      const auto last = std::min(objects.size(), first + kObjectsPerChange);
      const auto result = submitAccepted({objects.begin() + static_cast<std::ptrdiff_t>(first),
                                          objects.begin() + static_cast<std::ptrdiff_t>(last)});
      require(waitFor([this, &result] { return allHold(result.version); }, kChangeLimit),
              "the fleet's declaration did not reach every node");
    }
  }

  void measureSteadyState() {
    std::vector<Traffic> before;
    for (auto& node : fleet_.nodes()) {
      before.push_back(trafficOf(*node));
    }
    const auto own_before = readProcessUsage(getpid());
    const auto real_before = usageOfRealNodes();
    const auto start = fleet_.clock().now();
    runFor(settings_.measure);
    const double seconds = common::toSeconds(fleet_.clock().now() - start);
    summarizeTraffic(before, seconds);
    const auto own_after = readProcessUsage(getpid());
    const auto count = static_cast<double>(fleet_.nodes().size());
    report_.hollow_core_share =
        common::toSeconds(own_after->processor_time - own_before->processor_time) / seconds / count;
    report_.hollow_resident_bytes = static_cast<double>(own_after->resident_bytes) / count;
    const auto real_after = usageOfRealNodes();
    for (std::size_t i = 0; i < real_after.size(); ++i) {
      report_.real_core_share.push_back(
          common::toSeconds(real_after[i].processor_time - real_before[i].processor_time) /
          seconds);
      report_.real_resident_bytes.push_back(static_cast<double>(real_after[i].resident_bytes));
    }
  }

  std::vector<ProcessUsage> usageOfRealNodes() const {
    std::vector<ProcessUsage> usages;
    for (const int pid : settings_.real_pids) {
      const auto usage = readProcessUsage(pid);
      require(usage.has_value(), "no process " + std::to_string(pid));
      usages.push_back(*usage);
    }
    return usages;
  }

  void summarizeTraffic(const std::vector<Traffic>& before, double seconds) {
    const auto count = static_cast<double>(before.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
      const Traffic now = trafficOf(*fleet_.nodes()[i]);
      const double sent = (now.sent_bytes - before[i].sent_bytes) / seconds;
      const double received = (now.received_bytes - before[i].received_bytes) / seconds;
      report_.sent_bytes_mean += sent / count;
      report_.received_bytes_mean += received / count;
      if (sent > report_.sent_bytes_maximum) {
        report_.sent_bytes_maximum = sent;
        report_.busiest_node_bytes_by_type = ratesByType(before[i], now, seconds);
      }
      report_.received_bytes_maximum = std::max(report_.received_bytes_maximum, received);
      report_.sent_messages_mean += (now.sent_messages - before[i].sent_messages) / seconds / count;
    }
  }

  void measureChange(std::uint32_t change) {
    configuration::TenantDeclaration tenant;
    tenant.name = "tenant-0";
    tenant.api_key = "key-0";
    tenant.requests_per_second = 101 + change;
    const auto start = fleet_.clock().now();
    const auto result = submitAccepted(
        {configuration::setObject(configuration::ObjectKind::kTenant, tenant.name, tenant)});
    const auto accepted = fleet_.clock().now();
    require(waitFor([this, &result] { return allHold(result.version); }, kChangeLimit),
            "a change did not reach every node");
    report_.accept_seconds.push_back(common::toSeconds(accepted - start));
    report_.change_seconds.push_back(common::toSeconds(fleet_.clock().now() - accepted));
  }

  /// Ends a hollow node without a word, as a crash does, and waits until its zone has noticed.
  void measureDeath(std::uint32_t kill) {
    auto& nodes = fleet_.nodes();
    const std::size_t victim =
        (nodes.size() - 1) - (kill * settings_.nodes_per_zone) % nodes.size();
    const auto zone = nodes[victim]->zone();
    const auto address = nodes[victim]->address();
    nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(victim));
    const auto start = fleet_.clock().now();
    const auto noticed = [&nodes, &zone, &address] {
      return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
        return node->zone() != zone || !knows(*node, address);
      });
    };
    require(waitFor(noticed, kChangeLimit), "a dead node was not noticed");
    report_.death_seconds.push_back(common::toSeconds(fleet_.clock().now() - start));
  }

  static bool knows(HollowNode& node, const common::Address& address) {
    const auto members = node.node().membership().members();
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& member) { return member.node.address == address; });
  }

  ScaleSettings settings_;
  asio::io_context context_{1};
  HollowFleet fleet_;
  ScaleReport report_;
  std::uint64_t changes_ = 0;
};

double maximumOf(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

double medianOf(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace

ScaleReport runScale(const ScaleSettings& settings) {
  if (settings.zones == 0 || settings.zones > 250 || settings.nodes_per_zone == 0 ||
      settings.nodes_per_zone > 250) {
    throw ScaleError("--zones and --nodes_per_zone must lie between 1 and 250");
  }
  if (settings.models == 0) {
    throw ScaleError("--models must be above zero");
  }
  if (settings.real_nodes >= settings.nodes_per_zone) {
    throw ScaleError("--real_nodes must leave a hollow node in the first zone");
  }
  return ScaleRun(settings).run();
}

std::string describe(const ScaleReport& report) {
  constexpr double kMegabyte = 1e6;
  std::ostringstream text;
  text << std::fixed << std::setprecision(0) << "zones=" << report.settings.zones
       << " nodes_per_zone=" << report.settings.nodes_per_zone
       << " runners_per_zone=" << report.settings.runners_per_zone
       << " holders=" << report.zones_with_holder
       << " sent_bytes_per_second=" << report.sent_bytes_mean
       << " sent_bytes_per_second_max=" << report.sent_bytes_maximum
       << " received_bytes_per_second=" << report.received_bytes_mean
       << " received_bytes_per_second_max=" << report.received_bytes_maximum << std::setprecision(1)
       << " sent_messages_per_second=" << report.sent_messages_mean << std::setprecision(5)
       << " hollow_core_share=" << report.hollow_core_share << std::setprecision(2)
       << " hollow_resident_megabytes=" << report.hollow_resident_bytes / kMegabyte;
  for (std::size_t i = 0; i < report.real_core_share.size(); ++i) {
    text << std::setprecision(5) << " real_core_share=" << report.real_core_share[i]
         << std::setprecision(2)
         << " real_resident_megabytes=" << report.real_resident_bytes[i] / kMegabyte;
  }
  text << std::setprecision(3) << " change_seconds_median=" << medianOf(report.change_seconds)
       << " change_seconds_max=" << maximumOf(report.change_seconds)
       << " accept_seconds_median=" << medianOf(report.accept_seconds)
       << " death_seconds_max=" << maximumOf(report.death_seconds);
  return text.str();
}

std::string encodeJson(const ScaleReport& report) {
  const nlohmann::json json = {{"zones", report.settings.zones},
                               {"nodes_per_zone", report.settings.nodes_per_zone},
                               {"runners_per_zone", report.settings.runners_per_zone},
                               {"zones_with_holder", report.zones_with_holder},
                               {"sent_bytes_mean", report.sent_bytes_mean},
                               {"sent_bytes_maximum", report.sent_bytes_maximum},
                               {"received_bytes_mean", report.received_bytes_mean},
                               {"received_bytes_maximum", report.received_bytes_maximum},
                               {"busiest_node_bytes_by_type", report.busiest_node_bytes_by_type},
                               {"sent_messages_mean", report.sent_messages_mean},
                               {"hollow_core_share", report.hollow_core_share},
                               {"hollow_resident_bytes", report.hollow_resident_bytes},
                               {"real_core_share", report.real_core_share},
                               {"real_resident_bytes", report.real_resident_bytes},
                               {"change_seconds", report.change_seconds},
                               {"accept_seconds", report.accept_seconds},
                               {"death_seconds", report.death_seconds}};
  return json.dump();
}

}  // namespace cypresswall::bench
