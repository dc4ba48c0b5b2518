#include "cypresswall/duties/fleet_duties.h"

#include <algorithm>
#include <utility>

namespace cypresswall::duties {
namespace {

constexpr common::Duration kTickInterval = std::chrono::milliseconds(50);

common::TimeOfDay orZero(const common::TimeOfDay& time_of_day) {
  return time_of_day ? time_of_day : [] { return common::Duration{0}; };
}

}  // namespace

FleetDuties::FleetDuties(const DutySettings& settings, const api::ProcessContext& context,
                         membership::MembershipView& membership, common::MachineName machine,
                         object_store::ObjectStore& store, DutyPlatform* platform,
                         const common::TimeOfDay& time_of_day)
    : settings_(settings),
      context_(context),
      machine_(std::move(machine)),
      no_platform_(context.scheduler),
      platform_(platform != nullptr ? *platform : no_platform_),
      time_(context.clock, orZero(time_of_day)),
      collectors_(membership, settings.usage.collectors),
      lease_(settings.lease, kDutiesLeaseKey, context, membership, store),
      collector_(settings.usage, context, membership, collectors_, time_),
      counter_(settings.usage, context, membership, collectors_, time_,
               [this](const UsageUpdate& update) { collector_.onUpdate(context_.self, update); }),
      reporter_(settings.usage, context, membership, collectors_, machine_, time_, collector_,
                lease_, store, platform_) {}

void FleetDuties::start() {
  if (!settings_.usage.reports && additional_work_.empty()) {
    return;
  }
  counter_.start();
  reporter_.start();
  lease_.start();
  tick();
}

void FleetDuties::resign() { lease_.resign(); }

void FleetDuties::tick() {
  context_.scheduler.schedule(kTickInterval, [this] { tick(); });
  lease_.setNeeded(reporter_.needed() ||
                   std::any_of(additional_work_.begin(), additional_work_.end(),
                               [](const auto& needed) { return needed(); }));
}

}  // namespace cypresswall::duties
