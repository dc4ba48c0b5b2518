/// Calls to the platform that only one node at a time makes, on behalf of the whole fleet: usage
/// reports and capacity orders. Implemented by the platform's client and by the simulator.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::duties {

/// Identifies the holder of the duties lease that makes a call.
struct DutyAuthority {
  common::MachineName holder;
  /// Fencing token of the lease: higher for each new holder, and never the same for two holders.
  /// The platform rejects calls with a token lower than the highest it has seen.
  std::uint32_t token = 0;
};

/// Reason why a call failed.
enum class DutyFailure : std::uint8_t {
  kUnavailable,     ///< the platform did nothing; a retry may succeed
  kUnknownOutcome,  ///< no answer; the call may have taken effect, or do so seconds later
  kSuperseded,      ///< the platform has seen a higher fencing token
  kNoneAvailable,   ///< no engines of that kind are available in that zone now
  kInvalid,         ///< the platform rejected the call as malformed
};

/// \return the name of the failure in logs; "none" for success
const char* toString(std::optional<DutyFailure> failure);

using TenantCounts = std::map<common::TenantName, std::uint64_t>;

/// Number of requests that started to run in one time window, by tenant.
struct UsageReport {
  /// Number of the window: window k begins k times UsageSettings::window after the Unix epoch.
  std::uint64_t window = 0;
  TenantCounts counts;

  bool operator==(const UsageReport&) const = default;
};

/// Orders a total number of engines of one kind, preemptible or lasting, for a service in one of
/// the platform's zones.
struct CapacityOrder {
  /// Name of the service on the platform.
  std::string service;
  std::string zone;
  std::uint32_t engines = 0;
  /// True for preemptible engines, which are cheaper and which the platform may reclaim; false for
  /// lasting engines. Each kind is ordered by its own CapacityOrder.
  bool preemptible = false;

  bool operator==(const CapacityOrder&) const = default;
};

/// Receives the result of a call to the platform; empty means that the call was executed. Called
/// once, and never before the function that starts the call has returned.
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
