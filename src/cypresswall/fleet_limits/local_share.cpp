#include "cypresswall/fleet_limits/local_share.h"

#include <utility>

namespace cypresswall::fleet_limits {
namespace {

constexpr common::Duration kWatchInterval = std::chrono::milliseconds(500);
/// A timer later than this shows that the process stood still; the settling time covers less.
constexpr common::Duration kNoticedPause = std::chrono::seconds(1);

}  // namespace

LocalShare::LocalShare(const LocalShareSettings& settings, const api::ProcessContext& context,
                       membership::MembershipView& membership)
    : settings_(settings),
      context_(context),
      membership_(membership),
      lately_(settings.window + settings.settling_time),
      holds_from_(context.clock.now()),
      watched_at_(context.clock.now()),
      part_gauge_(context.counters.gauge(
          "cypresswall_fleet_limits_part",
          "Part of the fleet's limits that this node may use without asking")) {
  if (settings_.withhold_after_start) {
    waitAnew("the node started");
  }
  membership.onChange([this] { countMembers(); });
  countMembers();
  watch();
}

void LocalShare::watch() {
  if (stoodStill()) {
    waitAnew("the process stood still");
  }
  watched_at_ = context_.clock.now();
  countMembers();
  part_gauge_.set(fraction());
  context_.scheduler.schedule(kWatchInterval, [this] { watch(); });
}

void LocalShare::countMembers() {
  const auto now = context_.clock.now();
  const std::size_t members = membership_.members().size();
  lately_.add(members, now);
  remembered_.add(members, now);
  if (!settings_.withhold_after_start) {
    return;
  }
  const bool cut_off = members > 0 && remembered_.seesMinority();
  const bool back = std::exchange(cut_off_, cut_off) && !cut_off;
  if (back) {
    waitAnew("the node was cut off from most others");
  }
}

void LocalShare::waitAnew(const char* reason) {
  holds_from_ = context_.clock.now() + settings_.window + settings_.settling_time;
  common::LogEvent(context_.log, common::LogLevel::kInfo, "fleet_part_withheld")
      .field("reason", reason)
      .field("members", membership_.members().size());
}

bool LocalShare::stoodStill() const {
  return settings_.withhold_after_start &&
         context_.clock.now() - watched_at_ > kWatchInterval + kNoticedPause;
}

double LocalShare::fraction() const {
  // Timers of a machine that was suspended go on where they were: a request may come before the
  // one that notices it.
  if (stoodStill() || cut_off_ || context_.clock.now() < holds_from_ || lately_.value() == 0) {
    return 0;
  }
  return 1.0 / static_cast<double>(lately_.value() * settings_.regions);
}

}  // namespace cypresswall::fleet_limits
