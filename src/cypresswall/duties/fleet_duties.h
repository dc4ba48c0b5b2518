/// Duties that one node performs for the whole fleet. Contains the lease that selects the node, the
/// collection of usage counts on the collectors, and the reports of these counts to the platform.
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
  /// `lease.handover_gap` must be longer than the platform's limit on how soon calls of one holder
  /// may follow calls of another.
  lease::StoreLeaseSettings lease;
};

/// Store key of the lease that all duties of the fleet share.
inline constexpr const char* kDutiesLeaseKey = "duties/lease";

/// Fails every call with DutyFailure::kUnavailable. Used if the platform accepts neither usage
/// reports nor capacity orders.
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

/// Requests the lease only while this node has a usage report to send or work added by addWork(),
/// so that an idle fleet makes no calls to the object store.
class FleetDuties {
 public:
  /// \pre all references outlive this object
  /// \param platform null if the platform accepts neither usage reports nor capacity orders
  /// \param time_of_day wall-clock time since the Unix epoch; may be empty if
  ///   `settings.usage.reports` is false
  FleetDuties(const DutySettings& settings, const api::ProcessContext& context,
              membership::MembershipView& membership, common::MachineName machine,
              object_store::ObjectStore& store, DutyPlatform* platform,
              const common::TimeOfDay& time_of_day);
  FleetDuties(const FleetDuties&) = delete;
  FleetDuties& operator=(const FleetDuties&) = delete;

  void start();
  /// Stops acquiring and renewing the lease, before a planned stop of this node. Does not send
  /// unsent usage counts; see flushUsage().
  void resign();
  void flushUsage() { counter_.flushUsage(); }

  UsageRecorder& usage() { return counter_; }
  const UsageReporter& reporter() const { return reporter_; }
  lease::AuthorityView& authority() { return lease_; }
  DutyPlatform& platform() { return platform_; }
  const Collectors& collectors() const { return collectors_; }
  const common::MachineName& machine() const { return machine_; }
  /// Registers a component that does work under the lease, such as ordering engines. The component
  /// itself does the work while authority() holds the lease; this object only requests the lease
  /// for it. To be called before start().
  /// \param needed called periodically; returns true while the component needs the lease
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
