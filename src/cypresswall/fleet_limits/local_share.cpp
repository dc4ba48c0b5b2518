#include "cypresswall/fleet_limits/local_share.h"

#include <utility>

#include "cypresswall/common/at_scope_end.h"

namespace cypresswall::fleet_limits {
namespace {

constexpr common::Duration kCheckInterval = std::chrono::milliseconds(500);
/// If check() runs more than this late, the process is assumed to have been paused. Shorter pauses
/// need no action, as LocalShareSettings::settling_time is long enough to allow for them.
constexpr common::Duration kPauseThreshold = std::chrono::seconds(1);

}  // namespace

LocalShare::LocalShare(const LocalShareSettings& settings, const api::ProcessContext& context,
                       membership::MembershipView& membership)
    : settings_(settings),
      context_(context),
      membership_(membership),
      members_max_(settings.window + settings.settling_time),
      allowed_at_(context.clock.now()),
      checked_at_(context.clock.now()),
      part_gauge_(context.counters.gauge(
          settings.gauge, "Part of the fleet's limits that this node may use without asking")) {
  if (settings_.withhold_after_start) {
    withhold("the node started");
  }
  membership.onChange([this] { countMembers(); });
  countMembers();
  check();
}

void LocalShare::check() {
  const common::AtScopeEnd again(
      [this] { context_.scheduler.schedule(kCheckInterval, [this] { check(); }); });
  if (wasPaused()) {
    withhold("the process was paused");
  }
  checked_at_ = context_.clock.now();
  countMembers();
  part_gauge_.set(fraction());
}

void LocalShare::countMembers() {
  const auto now = context_.clock.now();
  const std::size_t members = membership_.members().size();
  members_max_.add(members, now);
  size_history_.add(members, now);
  if (!settings_.withhold_after_start) {
    return;
  }
  const bool cut_off = members > 0 && size_history_.seesMinority();
  const bool back = std::exchange(cut_off_, cut_off) && !cut_off;
  if (back) {
    withhold("the node was cut off from most others");
  }
}

void LocalShare::withhold(const char* reason) {
  allowed_at_ = context_.clock.now() + settings_.window + settings_.settling_time;
  common::LogEvent(context_.log, common::LogLevel::kInfo, "fleet_part_withheld")
      .field("reason", reason)
      .field("members", membership_.members().size());
}

bool LocalShare::wasPaused() const {
  return settings_.withhold_after_start &&
         context_.clock.now() - checked_at_ > kCheckInterval + kPauseThreshold;
}

double LocalShare::fraction() const {
  // The timers of a machine that was suspended resume with the time that remained, so a request may
  // arrive before check() notices the pause.
  if (wasPaused() || cut_off_ || context_.clock.now() < allowed_at_ || members_max_.value() == 0) {
    return 0;
  }
  return 1.0 / static_cast<double>(members_max_.value() * settings_.regions);
}

}  // namespace cypresswall::fleet_limits
