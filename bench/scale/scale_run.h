/// A scale run: hollow nodes of many zones in this process, beside daemons of other processes that
/// joined them, and the cost of control measured on each.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::bench {

/// Settings that can't be used, or a fleet that did not come up.
class ScaleError : public common::Error {
 public:
  using common::Error::Error;
};

struct ScaleSettings {
  std::uint32_t zones = 4;
  std::uint32_t regions = 2;
  std::uint32_t nodes_per_zone = 3;
  std::uint32_t runners_per_zone = 12;
  std::uint32_t models = 4;
  std::uint32_t tenants = 8;
  /// Object API and machine list.
  common::Address platform;
  /// First port of the hollow nodes; node k of zone z listens on 127.1.z.k.
  std::uint16_t port = 7700;
  /// Nodes of the first zone that other processes provide, at 127.1.0.1 and following; the hollow
  /// ones are counted from there.
  std::uint32_t real_nodes = 0;
  std::vector<int> real_pids;
  common::Duration settle = std::chrono::seconds(10);
  common::Duration measure = std::chrono::seconds(20);
  std::uint32_t configuration_changes = 10;
  std::uint32_t kills = 3;
  std::uint64_t seed = 1;
};

/// Figures of one run. Rates are per node and second, over the measured time.
struct ScaleReport {
  ScaleSettings settings;
  double sent_bytes_mean = 0;
  double sent_bytes_maximum = 0;
  double received_bytes_mean = 0;
  double received_bytes_maximum = 0;
  double sent_messages_mean = 0;
  /// Bytes that the node which sent most queued, by message type (a number of api::MessageType).
  std::map<std::string, double> busiest_node_bytes_by_type;
  /// Share of a core and resident bytes of this process, divided by its hollow nodes.
  double hollow_core_share = 0;
  double hollow_resident_bytes = 0;
  /// Share of a core and resident bytes of each real daemon.
  std::vector<double> real_core_share;
  std::vector<double> real_resident_bytes;
  /// Seconds from the acceptance of a change until every hollow node had it.
  std::vector<double> change_seconds;
  /// Seconds from the submission of a change to its acceptance.
  std::vector<double> accept_seconds;
  /// Seconds from the end of a node until its whole zone held it for dead.
  std::vector<double> death_seconds;
  std::uint32_t zones_with_holder = 0;
};

/// Runs the fleet and measures it. \throws ScaleError
ScaleReport runScale(const ScaleSettings& settings);

/// One line of figures with units.
std::string describe(const ScaleReport& report);
/// The report as JSON text.
std::string encodeJson(const ScaleReport& report);

}  // namespace cypresswall::bench
