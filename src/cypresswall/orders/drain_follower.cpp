#include "cypresswall/orders/drain_follower.h"

#include <tuple>

namespace cypresswall::orders {

DrainFollower::DrainFollower(const DrainSettings& settings, const api::ProcessContext& context,
                             routing::EngineDirectory& directory)
    : settings_(settings),
      context_(context),
      directory_(directory),
      stale_(context.counters.counter("cypresswall_drain_announcements_stale_total",
                                      "Drain tables ignored: a newer one is in force")),
      expired_(context.counters.counter("cypresswall_drains_expired_total",
                                        "Drain tables dropped: no holder renewed them")) {
  context_.dispatcher.handle<DrainAnnouncement>(
      [this](const common::NodeId& sender, const DrainAnnouncement& announcement) {
        if (apply(announcement)) {
          context_.sendTo(sender, DrainAck{announcement.epoch, announcement.version});
        }
      });
}

bool DrainFollower::apply(const DrainAnnouncement& announcement) {
  if (std::tie(announcement.epoch, announcement.version) < std::tie(epoch_, version_)) {
    stale_.add();
    return false;
  }
  epoch_ = announcement.epoch;
  version_ = announcement.version;
  renewed_at_ = context_.clock.now();
  std::set<common::EngineName> engines(announcement.engines.begin(), announcement.engines.end());
  if (engines != engines_) {
    engines_ = std::move(engines);
    directory_.setDraining(engines_);
  }
  if (!engines_.empty() && expiry_timer_ == 0) {
    expiry_timer_ = context_.scheduler.schedule(settings_.expiry, [this] { checkExpiry(); });
  }
  return true;
}

void DrainFollower::checkExpiry() {
  expiry_timer_ = 0;
  if (engines_.empty()) {
    return;
  }
  const common::Duration left = settings_.expiry - (context_.clock.now() - renewed_at_);
  if (left.count() > 0) {
    expiry_timer_ = context_.scheduler.schedule(left, [this] { checkExpiry(); });
    return;
  }
  expired_.add();
  common::LogEvent(context_.log, common::LogLevel::kWarning, "drain_table_expired")
      .field("epoch", epoch_.toString())
      .field("engines", engines_.size());
  engines_.clear();
  directory_.setDraining(engines_);
}

}  // namespace cypresswall::orders
