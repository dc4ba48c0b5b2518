/// What commands show beside the configuration: typed rows about the node's own zone, given by the
/// parts of the daemon. Each method has an empty default, so that a share that is not wired shows
/// nothing.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::operators {

/// An engine of the own zone as last seen.
struct EngineRow {
  common::EngineName name;
  engines::EngineState state = engines::EngineState::kReady;
  /// False while no report of the engine is held.
  bool seen = false;
  engines::EngineRole role = engines::EngineRole::kMixed;
  common::ModelName model;
  std::string version;
  std::uint32_t running_streams = 0;
  std::uint32_t waiting_streams = 0;
  std::uint32_t cache_pieces_used = 0;
  std::uint32_t cache_pieces_total = 0;
  /// How old the report is.
  common::Duration age{0};
};

/// A request that runs through this node.
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

/// A node of the own zone.
struct NodeRow {
  common::Address address;
  common::MachineName machine;
  std::string state;
  common::Address gateway_address;
  std::uint64_t configuration_version = 0;
  /// The messages that the node's build handles (api::MessageSet); nodes with less are older.
  std::uint64_t message_set = 0;
};

/// A service's account of repeats at this node.
struct RetryRow {
  common::ServiceName service;
  /// Repeats of the last window.
  double used = 0;
  double left = 0;
  /// Repeats that were not made, since the account was empty.
  std::uint64_t refused = 0;
  /// Part of the fleet's burst that this node may use now, from 0 to 1.
  double share = 0;
};

/// A request that is kept from engines, since engines end under it.
struct QuarantineRow {
  common::RequestFingerprint request = 0;
  common::Duration time_left{0};
};

/// A limit that an engine or back end named on requests from the whole fleet.
struct RateLimitRow {
  std::string server;
  double requests_per_second = 0;
  /// Since an answer last named it.
  common::Duration age{0};
  /// The node that gives permits for it.
  common::Address keeper;
  /// Permits given and refused, on the node that keeps the account.
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
};

/// A window of time whose requests were counted for the platform, as the node knows that reported
/// it.
struct UsageRow {
  std::uint64_t window = 0;
  std::uint64_t requests = 0;
  std::uint64_t tenants = 0;
  /// "fixed" until the platform has taken the report, then "reported".
  std::string state;
  /// Fencing token of the report; zero if there was none.
  std::uint64_t token = 0;
  /// Nodes that had not told all of it when it was fixed.
  std::uint64_t nodes_missing = 0;
  common::Duration age{0};
};

/// Engines of a pool in one location, on the node that orders them.
struct CapacityRow {
  std::string pool;
  std::string location;
  std::uint64_t lasting = 0;
  std::uint64_t preemptible = 0;
  std::uint64_t wanted_lasting = 0;
  std::uint64_t wanted_preemptible = 0;
  /// Fencing token of the duty.
  std::uint64_t token = 0;
  std::string reason;
};

/// What this node knows of another zone, in one line.
struct ZoneSummaryRow {
  common::ZoneName zone;
  std::string summary;
};

/// One line of the answer to `why`.
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
  virtual std::vector<UsageRow> usage() const { return {}; }
  virtual std::vector<CapacityRow> capacity() const { return {}; }
  virtual std::vector<ZoneSummaryRow> zoneSummaries() const { return {}; }
  /// \return inputs, alternatives and costs of the last decision about an engine's role; empty if
  ///   there was none.
  virtual std::vector<Explanation> explainEngine(const common::EngineName&) const { return {}; }
  /// \return what became of a request and where it was sent; empty if it is not known.
  virtual std::vector<Explanation> explainRequest(const std::string&) const { return {}; }
};

}  // namespace cypresswall::operators
