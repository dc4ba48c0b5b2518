#include "apps/cypresswall-bench/scale_command.h"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>
#include <string>

#include "bench/scale/scale_run.h"

DEFINE_uint32(zones, 4, "scale: zones");
DEFINE_uint32(regions, 2, "scale: regions that the zones are spread over");
DEFINE_uint32(nodes_per_zone, 3, "scale: nodes of each zone");
DEFINE_uint32(runners_per_zone, 12, "scale: hollow engines of each zone");
DEFINE_uint32(models, 4, "scale: models");
DEFINE_uint32(tenants, 8, "scale: tenants");
DEFINE_string(platform, "127.0.0.1:8000", "scale: IP:port of the platform");
DEFINE_uint32(scale_port, 7700, "scale: port of the hollow nodes, at 127.1.ZONE.NODE");
DEFINE_uint32(real_nodes, 0, "scale: nodes of the first zone that other processes provide");
DEFINE_string(real_pids, "", "scale: comma-separated process numbers of those nodes");
DEFINE_double(settle, 10, "scale: seconds before the measurement");
DEFINE_double(measure, 20, "scale: seconds of the measurement");
DEFINE_uint32(configuration_changes, 10, "scale: changes whose spread is timed");
DEFINE_uint32(kills, 3, "scale: nodes whose end is timed");
DEFINE_uint64(scale_seed, 1, "scale: seed of the hollow engines");

namespace cypresswall::bench {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;

std::vector<int> readNumbers(const std::string& text) {
  std::vector<int> numbers;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    numbers.push_back(std::stoi(part));
  }
  return numbers;
}

ScaleSettings settingsFromFlags() {
  ScaleSettings settings;
  settings.zones = FLAGS_zones;
  settings.regions = FLAGS_regions;
  settings.nodes_per_zone = FLAGS_nodes_per_zone;
  settings.runners_per_zone = FLAGS_runners_per_zone;
  settings.models = FLAGS_models;
  settings.tenants = FLAGS_tenants;
  settings.platform = FLAGS_platform;
  settings.port = static_cast<std::uint16_t>(FLAGS_scale_port);
  settings.real_nodes = FLAGS_real_nodes;
  settings.real_pids = readNumbers(FLAGS_real_pids);
  settings.settle = common::fromSeconds(FLAGS_settle);
  settings.measure = common::fromSeconds(FLAGS_measure);
  settings.configuration_changes = FLAGS_configuration_changes;
  settings.kills = FLAGS_kills;
  settings.seed = FLAGS_scale_seed;
  return settings;
}

}  // namespace

int runScaleCommand() {
  try {
    const ScaleReport report = runScale(settingsFromFlags());
    std::cerr << describe(report) << "\n";
    std::cout << encodeJson(report) << "\n";
    return kExitDone;
  } catch (const common::Error& error) {
    std::cerr << "cypresswall-bench scale: " << error.what() << "\n";
    return kExitFailed;
  }
}

}  // namespace cypresswall::bench
