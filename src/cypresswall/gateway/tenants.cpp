#include "cypresswall/gateway/tenants.h"

#include <string_view>

#include "cypresswall/gateway/error_answer.h"

namespace cypresswall::gateway {
namespace {

constexpr std::string_view kBearerLower = "bearer ";

bool hasBearerScheme(const std::string& authorization) {
  if (authorization.size() < kBearerLower.size()) {
    return false;
  }
  for (std::size_t at = 0; at < kBearerLower.size(); ++at) {
    const auto lower = static_cast<char>(authorization[at] | 0x20);
    if (lower != kBearerLower[at]) {
      return false;
    }
  }
  return true;
}

[[noreturn]] void refuseKey(const char* message) {
  auto error = invalidRequestError(message, "", "invalid_api_key");
  error.status = 401;
  throw RequestError(error);
}

}  // namespace

const common::TenantName& TenantIndex::tenantOf(
    const http::Request& request, const configuration::FleetConfiguration& configuration) {
  static const common::TenantName kNoKeyTenant = kDefaultTenant;
  const auto authorization = request.header("Authorization");
  if (authorization.empty()) {
    return kNoKeyTenant;
  }
  if (!hasBearerScheme(authorization)) {
    refuseKey("Authorization must be 'Bearer <key>'");
  }
  if (version_ != configuration.version) {
    rebuild(configuration);
  }
  const auto found = tenant_by_key_.find(authorization.substr(kBearerLower.size()));
  if (found == tenant_by_key_.end()) {
    refuseKey("no tenant has this API key");
  }
  return found->second;
}

void TenantIndex::rebuild(const configuration::FleetConfiguration& configuration) {
  tenant_by_key_.clear();
  for (const auto& [name, tenant] : configuration.tenants) {
    if (!tenant.api_key.empty()) {
      tenant_by_key_.emplace(tenant.api_key, name);
    }
  }
  version_ = configuration.version;
}

}  // namespace cypresswall::gateway
