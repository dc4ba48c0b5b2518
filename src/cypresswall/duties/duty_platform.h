/// Calls to the platform that one node makes for the whole fleet at a time: usage reports and
/// capacity orders. Implemented by the platform's client and by the simulator.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::duties {

/// Authority under which a call is made.
struct DutyAuthority {
  common::MachineName holder;
  /// Fencing token: increases with each holder and is never shared by two holders.
  std::uint32_t token = 0;
};

/// Reason why a call failed.
enum class DutyFailure : std::uint8_t {
  kUnavailable,     ///< the platform did nothing; a retry may succeed
  kUnknownOutcome,  ///< no answer: the call may have taken effect, or may do so seconds later
  kSuperseded,      ///< the platform has seen a higher fencing token
  kNoneAvailable,   ///< no engines of that kind are available in that zone now
  kInvalid,         ///< the platform rejected the call as malformed
};

/// \return the name of a failure in logs, "none" for success.
const char* toString(std::optional<DutyFailure> failure);

using TenantCounts = std::map<common::TenantName, std::uint64_t>;

/// Requests that started to run in one time window, by tenant.
struct UsageReport {
  /// Window k begins k window lengths after the Unix epoch.
  std::uint64_t window = 0;
  TenantCounts counts;

  bool operator==(const UsageReport&) const = default;
};

/// Target number of engines of a service in one of the platform's zones.
struct CapacityOrder {
  /// Name of the service on the platform.
  std::string service;
  std::string zone;
  std::uint32_t engines = 0;
  /// Cheaper engines that the platform may reclaim. Both kinds are ordered separately.
  bool preemptible = false;

  bool operator==(const CapacityOrder&) const = default;
};

/// Called once, never before the call returns; no failure means that the call was executed.
using DutyCallback = std::function<void(std::optional<DutyFailure>)>;

class DutyPlatform {
 public:
  virtual ~DutyPlatform() = default;
  virtual void reportUsage(const DutyAuthority& authority, const UsageReport& report,
                           DutyCallback callback) = 0;
  virtual void orderCapacity(const DutyAuthority& authority, const CapacityOrder& order,
                             DutyCallback callback) = 0;
};

}  // namespace cypresswall::duties
