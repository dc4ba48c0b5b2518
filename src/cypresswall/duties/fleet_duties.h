/// The duties of one node of the whole fleet, put together: who holds them, what is counted and
/// reported.
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
  /// The hand-over gap has to outlast the platform's own bound on holders that take turns.
  lease::StoreLeaseSettings lease;
};

/// Key of the lease that all duties of the fleet share.
inline constexpr const char* kDutiesLeaseKey = "duties/lease";

/// Answers every call at once: nothing was done. For platforms without such duties.
class NoDutyPlatform final : public DutyPlatform {
 public:
  explicit NoDutyPlatform(common::Scheduler& scheduler) : scheduler_(scheduler) {}
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

/// Takes the lease only while there is something to do: a fleet at rest makes no call.
class FleetDuties {
 public:
  /// \pre all references outlive this object
  /// \param platform null if it has no such duties
  /// \param time_of_day may be empty if no usage is reported
  FleetDuties(const DutySettings& settings, const api::ProcessContext& context,
              membership::MembershipView& membership, common::MachineName machine,
              object_store::ObjectStore& store, DutyPlatform* platform,
              const common::TimeOfDay& time_of_day);
  FleetDuties(const FleetDuties&) = delete;
  FleetDuties& operator=(const FleetDuties&) = delete;

  void start();
  /// Takes no duty any more; see flushUsage() for what is not told yet.
  void resign();
  void flushUsage() { counter_.flushUsage(); }

  UsageRecorder& usage() { return counter_; }
  const UsageReporter& reporter() const { return reporter_; }
  lease::AuthorityView& authority() { return lease_; }
  DutyPlatform& platform() { return platform_; }
  const Collectors& collectors() const { return collectors_; }
  const common::MachineName& machine() const { return machine_; }
  /// Further work of the holder. \param needed asked at each tick whether there is some
  void addWork(std::function<bool()> needed) { further_work_.push_back(std::move(needed)); }

 private:
  void tick();

  const DutySettings settings_;
  const api::ProcessContext& context_;
  const common::MachineName machine_;
  NoDutyPlatform no_platform_;
  DutyPlatform& platform_;
  FleetTime time_;
  Collectors collectors_;
  lease::StoreLease lease_;
  UsageCollector collector_;
  UsageCounter counter_;
  UsageReporter reporter_;
  std::vector<std::function<bool()>> further_work_;
};

}  // namespace cypresswall::duties
