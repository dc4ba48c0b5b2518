/// Finds the tenant of a request by its API key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

/// Tenant of requests that carry no key.
inline constexpr const char* kDefaultTenant = "default";

/// The tenant that a key belongs to. The key itself goes no further than this.
struct KeyHolder {
  common::TenantName tenant;
  /// Goes before the urgency of the service that the tenant calls.
  std::optional<configuration::Urgency> urgency;
};

/// Keys of one version of the configuration, rebuilt when the version changes.
class TenantIndex {
 public:
  /// \throws RequestError (401) for a key that no tenant has, or another scheme than Bearer
  const common::TenantName& tenantOf(const http::Request& request,
                                     const configuration::FleetConfiguration& configuration);
  /// \return the holder of a key, null if no tenant has it; valid until the next call
  const KeyHolder* holderOf(const std::string& key,
                            const configuration::FleetConfiguration& configuration);

 private:
  void rebuild(const configuration::FleetConfiguration& configuration);

  std::uint64_t version_ = 0;
  std::unordered_map<std::string, KeyHolder> holder_by_key_;
};

}  // namespace cypresswall::gateway
