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

/// The zones that are declared from `version` until the next set's version.
struct ZoneSet {
  std::uint64_t version = 0;
  /// Sorted by name.
  std::vector<common::ZoneName> zones;
};

/// Maximum length of FleetConfiguration::zone_sets; the oldest sets beyond it are dropped.
inline constexpr std::size_t kRetainedZoneSets = 8;

struct AdapterDeclaration {
  std::string name;
  std::string weights_uri;
};

/// A model, and the version of its weights that engines are to serve.
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
  common::BuildName build = {};
  /// Autoscaling pool that the engine belongs to. This and the following fields are set only if the
  /// platform declares the fleet.
  std::string pool = {};
  /// The platform's own zone in which the engine runs.
  std::string location = {};
  /// True if the platform may reclaim the engine at short notice.
  bool preemptible = false;
};

/// A pool of engines whose number the system changes by ordering or releasing engines at the
/// platform.
struct AutoscalingDeclaration {
  std::string pool;
  /// Minimum number of engines in each location, preemptible ones included.
  std::uint32_t minimum_engines = 0;
  /// Maximum number of engines in each location, preemptible ones included.
  std::uint32_t maximum_engines = 0;
  /// Time from ordering an engine until it accepts its first request.
  common::Duration boot_time{0};
  /// Price of a preemptible engine as a fraction of the price of a non-preemptible one; zero if the
  /// platform offers no preemptible engines.
  double preemptible_price = 0;
  /// Price per second of a non-preemptible engine, by location.
  std::map<std::string, double> location_prices;
};

enum class Urgency : std::uint8_t { kLow, kNormal, kHigh, kCritical };

/// A service backed by a language model. Callers give the service's name in the field "model" of
/// the OpenAI API.
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
  /// False if a request that may have run must not run again; it is then neither retried nor
  /// resumed. A request of which only the prefill ran does not count as run and may be retried.
  bool repeatable = true;
  /// Maximum time from a request's arrival to its last token; zero means no limit.
  common::Duration time_limit{0};
  /// Maximum number of engines that a request may run on in turn; zero uses the node's default.
  std::uint32_t maximum_runs = 0;
  /// Name of a group of services that share their back ends and the limits on the back ends, such
  /// as the retry budget; empty if the model's engines serve no other pool.
  std::string backend_pool;
};

/// One kind of call to a plain HTTP service. A request belongs to the operation that matches its
/// method and has the longest prefix of its path.
struct OperationDeclaration {
  /// HTTP method; empty for all methods that no other operation with the same prefix names.
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
  /// Name of a group of services that share their back ends and the limits on the back ends, such
  /// as the retry budget; empty if the back ends serve no other service.
  std::string backend_pool;
};

/// Limit on a tenant's requests, kept as a sum over all nodes.
struct TenantQuota {
  /// Units per second; zero means no limit. A unit is a token or a request.
  double rate = 0;
  /// Units that the tenant may use at once after a pause.
  double burst = 0;
  bool counts_tokens = false;
  /// Units that a request with unknown token counts uses if tokens are counted.
  double tokens_of_plain_request = 0;
};

/// A tenant. Its rate limits apply to all nodes of a zone together; zero means no limit.
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
  TenantQuota quota = {};
  /// The tenant's part of scarce engines and back ends, relative to that of other tenants.
  double weight = 1;
};

/// Policy by which the planner weighs goodput (the rate of answers delivered in time) against the
/// cost of changing engines' roles.
struct PlanningPolicy {
  /// Net number of answers delivered in time that a role change has to gain, after subtracting
  /// those lost during the change. Low values favour goodput, high values favour stable roles.
  double role_change_weight = 1.0;
  /// Time within which a role change has to gain that number.
  common::Duration horizon = std::chrono::seconds(120);
  /// If false, the planner changes no roles, and engines keep those that operators set.
  bool automatic_roles = true;
};

/// An operator's override for one engine. The planner does not change an engine that is drained or
/// whose role is pinned.
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
  /// Nodes and machines drained by operators; the key is a machine name or a node address.
  std::map<std::string, bool> drained_nodes;
  PlanningPolicy planning;
  /// By name of the pool; empty unless the platform declares the fleet.
  std::map<std::string, AutoscalingDeclaration> autoscaling;
  /// Successive sets of zones, derived from the changes. The oldest is first and the last one is in
  /// force. Empty until a zone is declared; holds the latest kRetainedZoneSets sets at most.
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

/// Sets or removes one declared object.
struct ObjectChange {
  ObjectKind kind = ObjectKind::kZone;
  std::string name;
  bool removed = false;
  /// The object as JSON (docs/settings.md); empty for a removal.
  std::string value_json;
};

/// A set of object changes that takes effect atomically.
struct ConfigurationChange {
  /// Version of the configuration that the change produces. Versions are consecutive, starting
  /// at 1.
  std::uint64_t version = 0;
  /// Identifier chosen by the operator's client, by which a retry after a lost answer is
  /// recognised.
  std::string change_id;
  std::string author;
  std::vector<ObjectChange> objects;
};

}  // namespace cypresswall::configuration
