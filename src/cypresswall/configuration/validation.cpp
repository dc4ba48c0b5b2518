#include <algorithm>
#include <set>
#include <string>

#include "cypresswall/configuration/address.h"
#include "cypresswall/configuration/change.h"

namespace cypresswall::configuration {
namespace {

constexpr std::size_t kMaximumNameLength = 128;
constexpr double kSmallestTenantWeight = 0.001;
constexpr double kLargestTenantWeight = 1000;

/// Collects the errors of a configuration.
class Validator {
 public:
  explicit Validator(const FleetConfiguration& configuration) : configuration_(configuration) {}

  std::vector<ObjectError> run() {
    for (const auto& [name, zone] : configuration_.zones) {
      checkName(ObjectKind::kZone, name);
    }
    for (const auto& [name, model] : configuration_.models) {
      checkModel(model);
    }
    for (const auto& [name, engine] : configuration_.engines) {
      checkEngine(engine);
    }
    for (const auto& [name, service] : configuration_.model_services) {
      checkModelService(service);
    }
    for (const auto& [name, service] : configuration_.http_services) {
      checkHttpService(service);
    }
    for (const auto& [name, tenant] : configuration_.tenants) {
      checkTenant(tenant);
    }
    for (const auto& [name, engine_override] : configuration_.engine_overrides) {
      requireDeclared(configuration_.engines, ObjectKind::kEngine, name,
                      {ObjectKind::kEngineOverride, name, "engine", {}});
    }
    checkPlanning();
    return std::move(errors_);
  }

 private:
  void add(ObjectKind kind, const std::string& name, const std::string& field,
           const std::string& message) {
    errors_.push_back(ObjectError{kind, name, field, message});
  }

  void checkName(ObjectKind kind, const std::string& name) {
    const bool usable = std::all_of(name.begin(), name.end(), [](unsigned char c) {
      return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/' || c == ':';
    });
    if (!usable) {
      add(kind, name, "name", "may hold only letters, digits and - _ . / :");
    } else if (name.size() > kMaximumNameLength) {
      add(kind, name, "name", "is longer than " + std::to_string(kMaximumNameLength));
    }
  }

  /// If `objects` contains no object `name`, adds `error` with a message that says so.
  template <typename Objects>
  void requireDeclared(const Objects& objects, ObjectKind kind, const std::string& name,
                       ObjectError error) {
    if (objects.count(name) == 0) {
      error.message = std::string(toString(kind)) + " " + name + " is not declared";
      errors_.push_back(std::move(error));
    }
  }

  void checkAddress(ObjectKind kind, const std::string& name, const std::string& field,
                    const std::string& address) {
    if (!isNumericEndpoint(address)) {
      add(kind, name, field, "must be IP:port with an IP number, not \"" + address + "\"");
      return;
    }
    const std::string owner = std::string(toString(kind)) + " " + name;
    const auto [entry, inserted] = owner_of_address_.emplace(address, owner);
    if (!inserted) {
      add(kind, name, field, address + " is already the address of " + entry->second);
    }
  }

  void checkModel(const ModelDeclaration& model) {
    checkName(ObjectKind::kModel, model.name);
    if (model.version.empty()) {
      add(ObjectKind::kModel, model.name, "version", "must not be empty");
    }
    std::set<std::string> names;
    for (std::size_t index = 0; index < model.adapters.size(); ++index) {
      const std::string field = "adapters[" + std::to_string(index) + "].name";
      if (model.adapters[index].name.empty()) {
        add(ObjectKind::kModel, model.name, field, "must not be empty");
      } else if (!names.insert(model.adapters[index].name).second) {
        add(ObjectKind::kModel, model.name, field, "is named twice");
      }
    }
  }

  void checkEngine(const EngineDeclaration& engine) {
    checkName(ObjectKind::kEngine, engine.name);
    requireDeclared(configuration_.zones, ObjectKind::kZone, engine.zone,
                    {ObjectKind::kEngine, engine.name, "zone", {}});
    requireDeclared(configuration_.models, ObjectKind::kModel, engine.model,
                    {ObjectKind::kEngine, engine.name, "model", {}});
    checkAddress(ObjectKind::kEngine, engine.name, "address", engine.address);
  }

  void checkModelService(const ModelServiceDeclaration& service) {
    constexpr ObjectKind kKind = ObjectKind::kModelService;
    checkName(kKind, service.name);
    requireDeclared(configuration_.models, ObjectKind::kModel, service.model,
                    {kKind, service.name, "model", {}});
    if (!service.adapter.empty() && !hasAdapter(service.model, service.adapter)) {
      add(kKind, service.name, "adapter",
          "model " + service.model + " has no adapter " + service.adapter);
    }
    requirePositive(kKind, service.name, "first_token_limit", service.first_token_limit);
    requirePositive(kKind, service.name, "between_tokens_limit", service.between_tokens_limit);
    requireNotNegative(kKind, service.name, "time_limit", common::toSeconds(service.time_limit));
    if (service.maximum_tokens == 0) {
      add(kKind, service.name, "maximum_tokens", "must be at least 1");
    }
    if (configuration_.http_services.count(service.name) > 0) {
      add(kKind, service.name, "name", "is also the name of an http_service");
    }
  }

  bool hasAdapter(const std::string& model, const std::string& adapter) const {
    const auto found = configuration_.models.find(model);
    if (found == configuration_.models.end()) {
      return true;  // another check already reports the undeclared model
    }
    const auto& adapters = found->second.adapters;
    return std::any_of(adapters.begin(), adapters.end(),
                       [&](const AdapterDeclaration& known) { return known.name == adapter; });
  }

  void checkHttpService(const HttpServiceDeclaration& service) {
    constexpr ObjectKind kKind = ObjectKind::kHttpService;
    checkName(kKind, service.name);
    if (service.backends.empty()) {
      add(kKind, service.name, "backends", "must name at least one backend");
    }
    for (std::size_t index = 0; index < service.backends.size(); ++index) {
      const std::string field = "backends[" + std::to_string(index) + "]";
      const BackendDeclaration& backend = service.backends[index];
      requireDeclared(configuration_.zones, ObjectKind::kZone, backend.zone,
                      {kKind, service.name, field + ".zone", {}});
      checkAddress(kKind, service.name, field + ".address", backend.address);
    }
    checkOperations(service);
  }

  void checkOperations(const HttpServiceDeclaration& service) {
    constexpr ObjectKind kKind = ObjectKind::kHttpService;
    std::set<std::pair<std::string, std::string>> seen;
    for (std::size_t index = 0; index < service.operations.size(); ++index) {
      const std::string field = "operations[" + std::to_string(index) + "]";
      const OperationDeclaration& operation = service.operations[index];
      if (operation.path_prefix.empty() || operation.path_prefix.front() != '/') {
        add(kKind, service.name, field + ".path_prefix", "must begin with /");
      }
      requirePositive(kKind, service.name, field + ".time_limit", operation.time_limit);
      if (!seen.emplace(operation.method, operation.path_prefix).second) {
        add(kKind, service.name, field, "has the same method and path_prefix as another");
      }
    }
  }

  void checkTenant(const TenantDeclaration& tenant) {
    constexpr ObjectKind kKind = ObjectKind::kTenant;
    checkName(kKind, tenant.name);
    requireNotNegative(kKind, tenant.name, "requests_per_second", tenant.requests_per_second);
    requireNotNegative(kKind, tenant.name, "tokens_per_second", tenant.tokens_per_second);
    if (!(tenant.weight >= kSmallestTenantWeight && tenant.weight <= kLargestTenantWeight)) {
      add(kKind, tenant.name, "weight", "must be from 0.001 to 1000");
    }
    if (tenant.api_key.empty()) {
      if (tenant.name != "default") {
        add(kKind, tenant.name, "api_key", "must not be empty");
      }
      return;
    }
    checkKey(tenant, "api_key", tenant.api_key);
    for (std::size_t index = 0; index < tenant.further_api_keys.size(); ++index) {
      checkKey(tenant, "further_api_keys[" + std::to_string(index) + "]",
               tenant.further_api_keys[index]);
    }
  }

  void checkKey(const TenantDeclaration& tenant, const std::string& field, const std::string& key) {
    if (key.empty()) {
      add(ObjectKind::kTenant, tenant.name, field, "must not be empty");
      return;
    }
    const auto [entry, inserted] = owner_of_key_.emplace(key, tenant.name);
    if (!inserted) {
      add(ObjectKind::kTenant, tenant.name, field, "is already the key of tenant " + entry->second);
    }
  }

  void checkPlanning() {
    const std::string name(kPlanningObjectName);
    requireNotNegative(ObjectKind::kPlanning, name, "role_change_weight",
                       configuration_.planning.role_change_weight);
    requirePositive(ObjectKind::kPlanning, name, "horizon", configuration_.planning.horizon);
  }

  void requirePositive(ObjectKind kind, const std::string& name, const std::string& field,
                       common::Duration value) {
    if (value <= common::Duration::zero()) {
      add(kind, name, field, "must be longer than zero");
    }
  }

  void requireNotNegative(ObjectKind kind, const std::string& name, const std::string& field,
                          double value) {
    if (!(value >= 0)) {
      add(kind, name, field, "must not be negative");
    }
  }

  const FleetConfiguration& configuration_;
  std::map<std::string, std::string> owner_of_address_;
  std::map<std::string, std::string> owner_of_key_;
  std::vector<ObjectError> errors_;
};

}  // namespace

std::vector<ObjectError> validate(const FleetConfiguration& configuration) {
  return Validator(configuration).run();
}

}  // namespace cypresswall::configuration
