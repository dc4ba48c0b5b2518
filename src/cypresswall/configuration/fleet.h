/// What operators declare: the typed fleet configuration and the changes made to it. Every change
/// has a version; a configuration is the result of all changes up to its version.
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

/// The zones that are declared from one version on.
struct ZoneSet {
  std::uint64_t version = 0;
  /// Sorted.
  std::vector<common::ZoneName> zones;
};

/// Older sets of zones are forgotten.
inline constexpr std::size_t kRetainedZoneSets = 8;

struct AdapterDeclaration {
  std::string name;
  std::string weights_uri;
};

/// A model with the version that is to be served.
struct ModelDeclaration {
  common::ModelName name;
  std::string version;
  std::string weights_uri;
  std::vector<AdapterDeclaration> adapters;
};

/// A runner of the platform that the system may give work and orders to.
struct EngineDeclaration {
  common::EngineName name;
  common::ZoneName zone;
  common::MachineName machine;
  common::Address address;
  /// Model that the engine is to serve.
  common::ModelName model;
  engines::EngineRole initial_role = engines::EngineRole::kMixed;
  /// Where the platform lets the number of engines be chosen: the pool that the engine belongs to,
  /// the platform's own zone that it stands in, and whether it may be taken away at short notice.
  std::string pool = {};
  std::string location = {};
  bool preemptible = false;
};

/// A pool of engines whose number the system orders from the platform.
struct AutoscalingDeclaration {
  std::string pool;
  /// Bounds of the engines in each location, of both kinds together.
  std::uint32_t minimum_engines = 0;
  std::uint32_t maximum_engines = 0;
  /// From an order to the first request that the engine takes.
  common::Duration boot_time{0};
  /// Price of a preemptible engine relative to a lasting one; zero if none are offered.
  double preemptible_price = 0;
  /// Price of a second of a lasting engine by location.
  std::map<std::string, double> location_prices;
};

enum class Urgency : std::uint8_t { kLow, kNormal, kHigh, kCritical };

/// A service that language models back. Callers name it in the OpenAI field "model".
struct ModelServiceDeclaration {
  common::ServiceName name;
  common::ModelName model;
  std::string adapter;
  Urgency urgency = Urgency::kNormal;
  common::Duration first_token_limit = std::chrono::milliseconds(1300);
  /// First token that operators aim at, by which roles are planned; zero takes the limit.
  common::Duration first_token_target{0};
  common::Duration between_tokens_limit = std::chrono::milliseconds(79);
  std::uint32_t maximum_tokens = 4096;
  /// False if a request that may have run must not run again: it is neither repeated nor resumed.
  /// An engine that only computes the prompt does not run it, so that this may be repeated.
  bool repeatable = true;
  /// Longest time that a request is held, from its arrival to its last token; zero sets no limit.
  common::Duration time_limit{0};
  /// Engines that one request may run on, one after the other; zero leaves it to the node.
  std::uint32_t maximum_runs = 0;
  /// Services of the same pool share their back ends and the limits of these, like that of repeats;
  /// empty if the model's engines serve no other pool.
  std::string backend_pool;
};

/// One kind of call to a plain HTTP service, found by method and longest path prefix.
struct OperationDeclaration {
  /// Empty for any method that no operation with the same prefix names.
  std::string method;
  std::string path_prefix;
  /// False for operations that may run at most once.
  bool repeatable = false;
  common::Duration time_limit = std::chrono::seconds(5);
  /// Back ends that one request may run on, one after the other; zero leaves it to the node.
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
  /// Services of the same pool share their back ends and the limits of these, like that of repeats;
  /// empty if no other service has them.
  std::string backend_pool;
};

/// Limits of one tenant over the whole zone, zero meaning no limit.
struct TenantDeclaration {
  common::TenantName name;
  /// Key that callers give as "Authorization: Bearer <key>"; empty for the tenant "default".
  std::string api_key;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  /// Further keys of the tenant: a key is replaced by adding one before the old one goes.
  std::vector<std::string> further_api_keys = {};
  /// Goes before the urgency of the service that the tenant calls; nothing leaves that in force.
  std::optional<Urgency> urgency = {};
};

/// How the planner weighs goodput against role changes.
struct PlanningPolicy {
  /// Cost of one role change, in answers delivered in time that it must save beyond those it
  /// loses. Low where goodput counts most, high where changes do.
  double role_change_weight = 1.0;
  /// Over how long a change has to pay for itself.
  common::Duration horizon = std::chrono::seconds(120);
  /// False leaves the roles as operators set them.
  bool automatic_roles = true;
};

/// A role that an operator set by hand; the planner leaves the engine alone.
struct EngineOverride {
  common::EngineName engine;
  bool drained = false;
  bool role_pinned = false;
  engines::EngineRole role = engines::EngineRole::kMixed;
};

/// Everything declared, at one version.
struct FleetConfiguration {
  std::uint64_t version = 0;
  std::map<common::ZoneName, ZoneDeclaration> zones;
  std::map<common::ModelName, ModelDeclaration> models;
  std::map<common::EngineName, EngineDeclaration> engines;
  std::map<common::ServiceName, ModelServiceDeclaration> model_services;
  std::map<common::ServiceName, HttpServiceDeclaration> http_services;
  std::map<common::TenantName, TenantDeclaration> tenants;
  std::map<common::EngineName, EngineOverride> engine_overrides;
  /// Nodes and machines that operators drain, by machine or node address.
  std::map<std::string, bool> drained_nodes;
  PlanningPolicy planning;
  /// By pool; only where the platform declares the fleet.
  std::map<std::string, AutoscalingDeclaration> autoscaling;
  /// Follows from the changes: the sets of zones up to now, oldest first, the last one in force.
  /// Empty until a zone is declared; as many as kRetainedZoneSets may lack earlier ones.
  std::vector<ZoneSet> zone_sets;
};

/// Kinds of declared objects, as named in files and commands.
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

/// One declared object set or removed. The value is the object as JSON (docs/settings.md), empty
/// when the object is removed.
struct ObjectChange {
  ObjectKind kind = ObjectKind::kZone;
  std::string name;
  bool removed = false;
  std::string value_json;
};

/// One accepted change: all of it is in force, or none.
struct ConfigurationChange {
  /// Dense, from 1.
  std::uint64_t version = 0;
  /// Given by the operator's client; settles lost answers.
  std::string change_id;
  std::string author;
  std::vector<ObjectChange> objects;
};

}  // namespace cypresswall::configuration
