/// Duties that one node performs for the whole fleet: the lease that selects the node, the
/// collection of usage counts and their reports.
#pragma once

#include <functional>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/duties/collectors.h"
#include "cypresswall/duties/duty_platform.h"
#include "cypresswall/duties/fleet_time.h"
#include "cypresswall/duties/usage_collector.h"
#include "cypresswall/duties/usage_counter.h"
#include "cypresswall/duties/usage_reporter.h"
#include "cypresswall/duties/usage_settings.h"
#include "cypresswall/lease/store_lease.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::duties {

struct DutySettings {
  UsageSettings usage;
  /// The hand-over gap must exceed the platform's own limit for alternating calls of two holders.
  lease::StoreLeaseSettings lease;
};

/// Store key of the lease that all duties of the fleet share.
inline constexpr const char* kDutiesLeaseKey = "duties/lease";

/// Fails every call with kUnavailable. For platforms without such duties.
class NullDutyPlatform final : public DutyPlatform {
 public:
  explicit NullDutyPlatform(common::Scheduler& scheduler) : scheduler_(scheduler) {}
  void reportUsage(const DutyAuthority& /*authority*/, const UsageReport& /*report*/,
                   DutyCallback callback) override {
    refuse(std::move(callback));
  }
  void orderCapacity(const DutyAuthority& /*authority*/, const CapacityOrder& /*order*/,
                     DutyCallback callback) override {
    refuse(std::move(callback));
  }

 private:
  void refuse(DutyCallback callback) {
    scheduler_.schedule(common::Duration{0},
                        [callback = std::move(callback)] { callback(DutyFailure::kUnavailable); });
  }
  common::Scheduler& scheduler_;
};

/// Requests the lease only while there is work, so that an idle fleet makes no calls.
class FleetDuties {
 public:
  /// \pre all references outlive this object
  /// \param platform null if the platform has no such duties
  /// \param time_of_day may be empty if no usage is reported
  FleetDuties(const DutySettings& settings, const api::ProcessContext& context,
              membership::MembershipView& membership, common::MachineName machine,
              object_store::ObjectStore& store, DutyPlatform* platform,
              const common::TimeOfDay& time_of_day);
  FleetDuties(const FleetDuties&) = delete;
  FleetDuties& operator=(const FleetDuties&) = delete;

  void start();
  /// Stops acquiring and renewing the lease, for a planned stop. Unsent counts are sent by
  /// flushUsage().
  void resign();
  void flushUsage() { counter_.flushUsage(); }

  UsageRecorder& usage() { return counter_; }
  const UsageReporter& reporter() const { return reporter_; }
  lease::AuthorityView& authority() { return lease_; }
  DutyPlatform& platform() { return platform_; }
  const Collectors& collectors() const { return collectors_; }
  const common::MachineName& machine() const { return machine_; }
  /// Adds work that requires the lease. \param needed called at each tick, returns true if the
  ///   lease is needed
  void addWork(std::function<bool()> needed) { additional_work_.push_back(std::move(needed)); }

 private:
  void tick();

  const DutySettings settings_;
  const api::ProcessContext& context_;
  const common::MachineName machine_;
  NullDutyPlatform no_platform_;
  DutyPlatform& platform_;
  FleetTime time_;
  Collectors collectors_;
  lease::StoreLease lease_;
  UsageCollector collector_;
  UsageCounter counter_;
  UsageReporter reporter_;
  std::vector<std::function<bool()>> additional_work_;
};

}  // namespace cypresswall::duties
