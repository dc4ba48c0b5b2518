/// Identifies the tenant of a request by its API key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

/// Tenant of requests without an API key.
inline constexpr const char* kDefaultTenant = "default";

/// The tenant that an API key belongs to. The key itself is not passed on to other components.
struct KeyHolder {
  common::TenantName tenant;
  /// If set, overrides the urgency of the service that the tenant calls.
  std::optional<configuration::Urgency> urgency;
};

/// Index of the API keys in one version of the configuration, rebuilt when the version changes.
class TenantIndex {
 public:
  /// \throws RequestError (401) if no tenant has the key, or the scheme is not Bearer
  const common::TenantName& tenantOf(const http::Request& request,
                                     const configuration::FleetConfiguration& configuration);
  /// \return the holder of an API key, null if no tenant has the key. The pointer is valid until
  ///   the next call of a member function.
  const KeyHolder* holderOf(const std::string& key,
                            const configuration::FleetConfiguration& configuration);

 private:
  void rebuild(const configuration::FleetConfiguration& configuration);

  std::uint64_t version_ = 0;
  std::unordered_map<std::string, KeyHolder> holder_by_key_;
};

}  // namespace cypresswall::gateway
