/// Runtime state that queries show in addition to the configuration: typed rows about the node and
/// its zone, provided by components of the daemon. By default, each method returns no rows.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::operators {

/// The last known state of an engine in this zone.
struct EngineRow {
  common::EngineName name;
  engines::EngineState state = engines::EngineState::kReady;
  /// False if no load report of the engine is available.
  bool seen = false;
  engines::EngineRole role = engines::EngineRole::kMixed;
  common::ModelName model;
  std::string version;
  std::uint32_t running_streams = 0;
  std::uint32_t waiting_streams = 0;
  /// Number of streams that the engine runs at a time; zero if not known.
  std::uint32_t maximum_streams = 0;
  /// Expected time between two delivered tokens of a stream; zero if this node does not learn it.
  common::Duration token_gap{0};
  /// That time relative to the one at a usual engine of the model with as many streams; zero if
  /// this node does not learn it.
  double slowness = 0;
  std::uint32_t cache_pieces_used = 0;
  std::uint32_t cache_pieces_total = 0;
  /// Age of the load report.
  common::Duration age{0};
};

/// A request in flight on this node.
struct RequestRow {
  std::string id;
  common::TenantName tenant;
  common::ServiceName service;
  common::EngineName engine;
  std::string state;
  std::uint32_t tokens = 0;
  common::Duration age{0};
};

struct LeaseRow {
  common::ZoneName zone;
  /// Empty if no holder is known.
  std::string holder;
  std::string epoch;
  bool held_here = false;
};

/// A node of this zone.
struct NodeRow {
  common::Address address;
  common::MachineName machine;
  std::string state;
  common::Address gateway_address;
  std::uint64_t configuration_version = 0;
  /// Number of the set of message types that the node's build supports (api::MessageSet). Older
  /// builds support smaller sets.
  std::uint64_t message_set = 0;
};

/// A service's retry budget on this node.
struct RetryRow {
  common::ServiceName service;
  /// Number of retries in the budget's last time window.
  double used = 0;
  double left = 0;
  /// Retries refused because the budget was exhausted.
  std::uint64_t refused = 0;
  /// Each service may make a burst of retries that its number of requests does not cover. This is
  /// the fraction of the fleet's burst that this node may use now, from 0 to 1.
  double share = 0;
};

/// A request that nodes do not send to engines, because engines crashed while processing it before.
struct QuarantineRow {
  common::RequestFingerprint request = 0;
  common::Duration time_left{0};
};

/// A rate limit that an engine or backend advertises for the whole fleet.
struct RateLimitRow {
  std::string server;
  double requests_per_second = 0;
  /// Time since a response last advertised the limit.
  common::Duration age{0};
  /// The node that grants permits to send requests under the limit.
  common::Address keeper;
  /// Number of permits granted. This and `refused` are known only on the node that grants permits
  /// and are zero elsewhere.
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
};

/// What a node saw a tenant ask of the pools that are divided while they are short of room.
struct TenantShareRow {
  common::TenantName tenant;
  std::uint64_t asked = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Fraction of its requests that the tenant may send now; 1 if it is not limited.
  double share = 1;
};

/// A time window for which a node reports usage to the platform, as known on that node.
struct UsageRow {
  std::uint64_t window = 0;
  std::uint64_t requests = 0;
  std::uint64_t tenants = 0;
  /// "fixed" once the window's counts are final, "reported" once the platform has accepted them.
  std::string state;
  /// Fencing token of the accepted report; zero if there is none yet.
  std::uint64_t token = 0;
  /// Nodes whose counts were incomplete when the window was closed.
  std::uint64_t nodes_missing = 0;
  common::Duration age{0};
};

/// Numbers of present and wanted engines of a pool in one location, as known on the node that does
/// autoscaling. Preemptible engines may be reclaimed by the platform at short notice; all others
/// are lasting.
struct CapacityRow {
  std::string pool;
  std::string location;
  std::uint64_t lasting = 0;
  std::uint64_t preemptible = 0;
  std::uint64_t wanted_lasting = 0;
  std::uint64_t wanted_preemptible = 0;
  /// Fencing token of the autoscaling duty.
  std::uint64_t token = 0;
  std::string reason;
};

/// One-line summary of another zone.
struct ZoneSummaryRow {
  common::ZoneName zone;
  std::string summary;
};

/// One line of the response to `why`.
struct Explanation {
  std::string item;
  std::string value;
};

class StateProviders {
 public:
  virtual ~StateProviders() = default;
  virtual std::vector<EngineRow> engines() const { return {}; }
  virtual std::vector<RequestRow> requests() const { return {}; }
  virtual std::vector<LeaseRow> leases() const { return {}; }
  virtual std::vector<NodeRow> nodes() const { return {}; }
  virtual std::vector<RetryRow> retries() const { return {}; }
  virtual std::vector<QuarantineRow> quarantine() const { return {}; }
  virtual std::vector<RateLimitRow> limits() const { return {}; }
  virtual std::vector<TenantShareRow> tenantShares() const { return {}; }
  virtual std::vector<UsageRow> usage() const { return {}; }
  virtual std::vector<CapacityRow> capacity() const { return {}; }
  virtual std::vector<ZoneSummaryRow> zoneSummaries() const { return {}; }
  /// \return inputs, alternatives and costs of the last decision on an engine's role; empty if none
  ///   is known.
  virtual std::vector<Explanation> explainEngine(const common::EngineName&) const { return {}; }
  /// \return the state and attempts of a request; empty if it is not known.
  virtual std::vector<Explanation> explainRequest(const std::string&) const { return {}; }
};

}  // namespace cypresswall::operators
