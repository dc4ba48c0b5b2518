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
  const KeyHolder* const holder =
      holderOf(authorization.substr(kBearerLower.size()), configuration);
  if (holder == nullptr) {
    refuseKey("no tenant has this API key");
  }
  return holder->tenant;
}

const KeyHolder* TenantIndex::holderOf(const std::string& key,
                                       const configuration::FleetConfiguration& configuration) {
  if (version_ != configuration.version) {
    rebuild(configuration);
  }
  const auto found = holder_by_key_.find(key);
  return found == holder_by_key_.end() ? nullptr : &found->second;
}

void TenantIndex::rebuild(const configuration::FleetConfiguration& configuration) {
  holder_by_key_.clear();
  for (const auto& [name, tenant] : configuration.tenants) {
    if (!tenant.api_key.empty()) {
      holder_by_key_.emplace(tenant.api_key, KeyHolder{name, tenant.urgency});
    }
    for (const std::string& key : tenant.further_api_keys) {
      holder_by_key_.emplace(key, KeyHolder{name, tenant.urgency});
    }
  }
  version_ = configuration.version;
}

}  // namespace cypresswall::gateway
