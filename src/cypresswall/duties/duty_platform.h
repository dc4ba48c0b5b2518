/// Calls of the platform that are the duty of one node of the whole fleet at a time: what the fleet
/// served, and how many engines it wants. Implemented by the platform's client and by the
/// simulator.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::duties {

/// Under which authority a call is made.
struct DutyAuthority {
  common::MachineName holder;
  /// Fencing token: rises with each holder, and no two holders use one.
  std::uint32_t token = 0;
};

/// Why a call did not do what it was to do.
enum class DutyFailure : std::uint8_t {
  kUnavailable,     ///< the platform did nothing; it may later
  kUnknownOutcome,  ///< no answer: it may have been done, or be done seconds later
  kSuperseded,      ///< the platform has seen a higher fencing token
  kNoneAvailable,   ///< no engines of that kind are to be had there now
  kInvalid,         ///< the platform can't read the call
};

/// \return the name of a failure in logs, "none" for a call that did what it was to do.
const char* toString(std::optional<DutyFailure> failure);

using TenantCounts = std::map<common::TenantName, std::uint64_t>;

/// The requests of one window of time that began to run, by tenant.
struct UsageReport {
  /// Window k begins k window lengths after the start of 1970.
  std::uint64_t window = 0;
  TenantCounts counts;

  bool operator==(const UsageReport&) const = default;
};

/// How many engines a service is to have in one of the platform's zones.
struct CapacityOrder {
  /// The platform's name of the service.
  std::string service;
  std::string zone;
  std::uint32_t engines = 0;
  /// Engines that cost less and may be taken away; the two kinds are counted apart.
  bool preemptible = false;

  bool operator==(const CapacityOrder&) const = default;
};

/// Called once, never before the call returns; without a failure the call was carried out.
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
