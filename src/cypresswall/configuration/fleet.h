/// The fleet configuration that operators declare, and the changes made to it. Every change has a
/// version; a configuration is the result of all changes up to its version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::configuration {

struct ZoneDeclaration {
  common::ZoneName name;
  std::string region;
};

/// The zones declared from a version on.
struct ZoneSet {
  std::uint64_t version = 0;
  /// Sorted.
  std::vector<common::ZoneName> zones;
};

/// Maximum length of FleetConfiguration::zone_sets; older sets are dropped.
inline constexpr std::size_t kRetainedZoneSets = 8;

struct AdapterDeclaration {
  std::string name;
  std::string weights_uri;
};

/// A model and the version of it to serve.
struct ModelDeclaration {
  common::ModelName name;
  std::string version;
  std::string weights_uri;
  std::vector<AdapterDeclaration> adapters;
};

/// An inference engine that the system may send requests and control commands to.
struct EngineDeclaration {
  common::EngineName name;
  common::ZoneName zone;
  common::MachineName machine;
  common::Address address;
  /// Model that the engine serves.
  common::ModelName model;
  engines::EngineRole initial_role = engines::EngineRole::kMixed;
  /// With autoscaling: the pool that the engine belongs to, the platform's own zone that it runs
  /// in, and whether the platform may reclaim it at short notice.
  std::string pool = {};
  std::string location = {};
  bool preemptible = false;
};

/// A pool of engines that the system scales by orders to the platform.
struct AutoscalingDeclaration {
  std::string pool;
  /// Bounds on the number of engines in each location, preemptible ones included.
  std::uint32_t minimum_engines = 0;
  std::uint32_t maximum_engines = 0;
  /// Time from an order until the engine accepts its first request.
  common::Duration boot_time{0};
  /// Price of a preemptible engine relative to a non-preemptible one; zero if none are offered.
  double preemptible_price = 0;
  /// Price per second of a non-preemptible engine, by location.
  std::map<std::string, double> location_prices;
};

enum class Urgency : std::uint8_t { kLow, kNormal, kHigh, kCritical };

/// A service backed by a language model. Callers name it in the OpenAI field "model".
struct ModelServiceDeclaration {
  common::ServiceName name;
  common::ModelName model;
  std::string adapter;
  Urgency urgency = Urgency::kNormal;
  common::Duration first_token_limit = std::chrono::milliseconds(1300);
  /// Target time to the first token, used to plan roles; zero uses first_token_limit.
  common::Duration first_token_target{0};
  common::Duration between_tokens_limit = std::chrono::milliseconds(79);
  std::uint32_t maximum_tokens = 4096;
  /// False if a request that may have run must not run again: it is neither retried nor resumed.
  /// Prefill alone does not count as running it and may be retried.
  bool repeatable = true;
  /// Maximum time from a request's arrival to its last token; zero means no limit.
  common::Duration time_limit{0};
  /// Maximum number of engines that a request may run on in turn; zero uses the node's default.
  std::uint32_t maximum_runs = 0;
  /// Services of the same pool share their back ends and the limits on these, such as the retry
  /// budget; empty if the model's engines serve no other pool.
  std::string backend_pool;
};

/// One kind of call to a plain HTTP service, found by method and longest path prefix.
struct OperationDeclaration {
  /// Empty matches every method that no other operation with the same prefix names.
  std::string method;
  std::string path_prefix;
  /// False if the operation may run at most once.
  bool repeatable = false;
  common::Duration time_limit = std::chrono::seconds(5);
  /// Maximum number of back ends that a request may run on in turn; zero uses the node's default.
  std::uint32_t maximum_runs = 0;
};

struct BackendDeclaration {
  common::ZoneName zone;
  common::MachineName machine;
  common::Address address;
};

/// A plain HTTP service (portal, booking) behind the gateway at /services/<name>/.
struct HttpServiceDeclaration {
  common::ServiceName name;
  Urgency urgency = Urgency::kNormal;
  std::vector<BackendDeclaration> backends;
  std::vector<OperationDeclaration> operations;
  /// Services of the same pool share their back ends and the limits on these, such as the retry
  /// budget; empty if the back ends serve no other service.
  std::string backend_pool;
};

/// A tenant and its rate limits over the whole zone; zero means no limit.
struct TenantDeclaration {
  common::TenantName name;
  /// Key that callers send as "Authorization: Bearer <key>"; empty for the tenant "default".
  std::string api_key;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  /// Additional keys, for key rotation: the new key is added before the old one is removed.
  std::vector<std::string> further_api_keys = {};
  /// If set, overrides the urgency of the service that the tenant calls.
  std::optional<Urgency> urgency = {};
};

/// How the planner trades goodput against role changes.
struct PlanningPolicy {
  /// Cost of one role change: the number of answers delivered in time that it must gain beyond
  /// those it loses. Low values favour goodput, high values favour stable roles.
  double role_change_weight = 1.0;
  /// Time within which a role change must recover its cost.
  common::Duration horizon = std::chrono::seconds(120);
  /// False keeps the roles that operators set.
  bool automatic_roles = true;
};

/// A manual override of an engine by an operator; the planner does not change the engine.
struct EngineOverride {
  common::EngineName engine;
  bool drained = false;
  bool role_pinned = false;
  engines::EngineRole role = engines::EngineRole::kMixed;
};

/// All declared objects at one version.
struct FleetConfiguration {
  std::uint64_t version = 0;
  std::map<common::ZoneName, ZoneDeclaration> zones;
  std::map<common::ModelName, ModelDeclaration> models;
  std::map<common::EngineName, EngineDeclaration> engines;
  std::map<common::ServiceName, ModelServiceDeclaration> model_services;
  std::map<common::ServiceName, HttpServiceDeclaration> http_services;
  std::map<common::TenantName, TenantDeclaration> tenants;
  std::map<common::EngineName, EngineOverride> engine_overrides;
  /// Nodes and machines drained by operators, by machine name or node address.
  std::map<std::string, bool> drained_nodes;
  PlanningPolicy planning;
  /// By pool; only where the platform declares the fleet.
  std::map<std::string, AutoscalingDeclaration> autoscaling;
  /// Derived from the changes: successive sets of zones, oldest first, the last one in force. Empty
  /// until a zone is declared; earlier sets may be missing once it holds kRetainedZoneSets.
  std::vector<ZoneSet> zone_sets;
};

/// Kinds of declared objects.
enum class ObjectKind : std::uint8_t {
  kZone,
  kModel,
  kEngine,
  kModelService,
  kHttpService,
  kTenant,
  kEngineOverride,
  kNodeDrain,
  kPlanning,
};

/// Sets or removes one declared object. The value is the object as JSON (docs/settings.md), empty
/// for a removal.
struct ObjectChange {
  ObjectKind kind = ObjectKind::kZone;
  std::string name;
  bool removed = false;
  std::string value_json;
};

/// A set of object changes that takes effect atomically.
struct ConfigurationChange {
  /// Consecutive, starting at 1.
  std::uint64_t version = 0;
  /// Chosen by the operator's client, so that a retry after a lost answer is recognised.
  std::string change_id;
  std::string author;
  std::vector<ObjectChange> objects;
};

}  // namespace cypresswall::configuration
