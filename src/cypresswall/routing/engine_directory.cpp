#include "cypresswall/routing/engine_directory.h"

#include <algorithm>

#include "cypresswall/common/at_scope_end.h"

namespace cypresswall::routing {
namespace {

/// A node that has heard nothing of a new engine for this long reads its load itself: the engine's
/// watcher may stand still, which is noticed much later. Far longer than a watcher needs.
constexpr common::Duration kFirstReportLimit = std::chrono::milliseconds(400);
/// Time after which an engine without reports isn't new any more: watchers that stand still have
/// been replaced by then.
constexpr common::Duration kNewEngineTime = std::chrono::seconds(3);
/// In its first moments a node hears of all engines from their watchers, by and by.
constexpr common::Duration kStartupTime = std::chrono::seconds(3);

}  // namespace

EngineDirectory::EngineDirectory(const DirectorySettings& settings,
                                 const api::ProcessContext& context, engines::EngineClient& client,
                                 configuration::ConfigurationView& configuration,
                                 membership::MembershipView& membership)
    : settings_(settings),
      context_(context),
      membership_(membership),
      configuration_(configuration),
      swept_at_(context.clock.now()),
      catch_up_until_(context.clock.now()),
      table_(settings),
      groups_(settings.groups, membership, table_),
      prefixes_(settings.prefix_index),
      claims_(context, table_),
      exchange_(settings, context, groups_, table_, prefixes_, claims_),
      work_(context, groups_, table_),
      ejection_(settings.ejection, context, groups_, table_, claims_),
      poller_(settings, context, client, table_, prefixes_,
              [this](EngineSlot slot, bool stored, common::PieceHash piece) {
                exchange_.addCacheHint(slot, stored, piece);
              }),
      pauses_(context.counters.counter("cypresswall_routing_own_pauses_total",
                                       "Times that routing stopped to catch up after a pause")) {
  table_.onChange([this](EngineSlot slot, bool restarted) {
    if (restarted) {
      prefixes_.forgetEngine(slot);
      poller_.engineRestarted(slot);
      exchange_.forget(slot);
      noteNew(slot);
    }
    if (unreported_.contains(slot)) {
      exchange_.reported(slot);
    }
  });
  claims_.onChange([this] { claims_changed_ = true; });
  configuration.onChange(
      [this](const configuration::FleetConfiguration& fleet) { onConfiguration(fleet); });
  membership.onChange([this] { onMembership(); });
}

void EngineDirectory::start() {
  onConfiguration(*configuration_.current());
  poller_.start();
  exchange_.start(poller_);
  swept_at_ = context_.clock.now();
  started_at_ = swept_at_;
  sweep();
}

void EngineDirectory::noteNew(EngineSlot slot) {
  const common::MonotonicTime now = context_.clock.now();
  if (!table_.record(slot).reported && now - started_at_ > kStartupTime) {
    unreported_[slot] = now;
  }
}

bool EngineDirectory::firstReportLate(EngineSlot slot) const {
  const auto found = unreported_.find(slot);
  if (found == unreported_.end() || table_.record(slot).reported || !groups_.routesTo(slot)) {
    return false;
  }
  const common::Duration age = context_.clock.now() - found->second;
  return age > kFirstReportLimit && age <= kNewEngineTime;
}

void EngineDirectory::forgetReported() {
  std::erase_if(unreported_, [this](const auto& item) {
    return table_.record(item.first).reported || !groups_.routesTo(item.first) ||
           context_.clock.now() - item.second > kNewEngineTime;
  });
}

void EngineDirectory::onConfiguration(const configuration::FleetConfiguration& fleet) {
  table_.declare(fleet, context_.zone, context_.clock.now());
  std::set<EngineSlot> declared(table_.roster().begin(), table_.roster().end());
  std::erase_if(handed_over_, [&](const auto& item) { return declared.count(item.first) == 0; });
  roster_changed_ = true;
  onMembership();
}

void EngineDirectory::onMembership() {
  table_.markLeaving(
      [this](const configuration::EngineDeclaration& engine) {
        return membership_.machineLeaving(engine.machine) ||
               membership_.addressLeaving(engine.address);
      },
      context_.clock.now());
  members_changed_ = true;
  // In a zone divided into groups, membership changes are applied by the next sweep(), so that
  // groups are not recomputed for each change while many nodes join and leave.
  if (roster_changed_ || groups_.everyNodeRoutes()) {
    assignWatches();
  }
}

bool EngineDirectory::awaitsPeers() const {
  return membership_.joining() && membership_.members().size() == 1;
}

void EngineDirectory::forgetUnroutedEngines() {
  for (const EngineSlot slot : table_.roster()) {
    if (!groups_.routesTo(slot)) {
      prefixes_.forgetEngine(slot);
    }
  }
  prefixes_.setEngineCount(groups_.routedEngineCount());
}

void EngineDirectory::assignWatches() {
  const auto& members = membership_.members();
  const common::MonotonicTime now = context_.clock.now();
  members_changed_ = false;
  if (members == assigned_members_ && !roster_changed_ && !claims_changed_ &&
      handed_over_.empty() && unreported_.empty()) {
    return;
  }
  if (awaitsPeers()) {
    return;
  }
  if (members != assigned_members_ || roster_changed_) {
    assigned_members_ = members;
    roster_changed_ = false;
    groups_.update();
    forgetUnroutedEngines();
    dropClaimsOfFormerMembers();
  }
  claims_changed_ = false;
  std::set<EngineSlot> watched;
  for (const EngineSlot slot : table_.roster()) {
    const EngineRecord& record = table_.record(slot);
    if (watches(slot)) {
      watched.insert(slot);
      handed_over_.erase(slot);
      continue;
    }
    if (record.watched_here) {
      handed_over_.try_emplace(slot, now + settings_.hand_over_overlap);
    }
    const auto overlap = handed_over_.find(slot);
    if (overlap != handed_over_.end() && overlap->second > now) {
      watched.insert(slot);
    } else if (overlap != handed_over_.end()) {
      handed_over_.erase(overlap);
    }
  }
  poller_.watch(watched);
  for (const auto& [slot, declared_at] : unreported_) {
    poller_.pollFirst(slot);
  }
  forgetReported();
}

bool EngineDirectory::watches(EngineSlot slot) const {
  const common::NodeId watcher = groups_.watcherOf(slot);
  if (watcher == context_.self || watcher.empty() || firstReportLate(slot)) {
    return true;
  }
  const auto& unable = claims_.of(slot);
  return !unable.empty() && groups_.watcherOf(slot, unable) == context_.self;
}

void EngineDirectory::dropClaimsOfFormerMembers() {
  std::set<common::NodeId> members;
  for (const membership::Member& member : membership_.members()) {
    members.insert(member.node);
  }
  claims_.keepOnly(members);
}

void EngineDirectory::detectPause() {
  const common::MonotonicTime now = context_.clock.now();
  if (now - swept_at_ > settings_.pause_limit) {
    swept_at_ = now;
    catch_up_until_ = now + settings_.catch_up_time;
    pauses_.add();
  }
}

bool EngineDirectory::catchingUp() {
  detectPause();
  return context_.clock.now() < catch_up_until_;
}

void EngineDirectory::sweep() {
  const common::AtScopeEnd again(
      [this] { context_.scheduler.schedule(settings_.poll_period, [this] { sweep(); }); });
  detectPause();
  swept_at_ = context_.clock.now();
  table_.sweep(context_.clock.now());
  const bool assigns = !handed_over_.empty() || !unreported_.empty() || members_changed_ ||
                       roster_changed_ || claims_changed_;
  if (assigns) {
    assignWatches();
  }
}

void EngineDirectory::setAnnounced(availability::AnnouncedAvailability& announced) {
  announced_ = &announced;
  table_.setAnnounced(announced);
  announced.onChange([this](const std::string& server) {
    table_.announcementChanged(server, context_.clock.now());
  });
}

std::vector<std::string> EngineDirectory::unavailableByAnnouncement() const {
  return announced_ == nullptr ? std::vector<std::string>{} : announced_->unavailable();
}

void EngineDirectory::setDraining(const std::set<common::EngineName>& engines) {
  table_.setDraining(engines, context_.clock.now());
}

std::vector<EngineRecord> EngineDirectory::records() const {
  std::vector<EngineRecord> rows;
  rows.reserve(table_.roster().size());
  for (const EngineSlot slot : table_.roster()) {
    rows.push_back(table_.record(slot));
  }
  return rows;
}

const EngineRecord* EngineDirectory::find(const common::EngineName& name) const {
  const EngineSlot slot = table_.slotOf(name);
  return slot == kNoEngineSlot ? nullptr : &table_.record(slot);
}

}  // namespace cypresswall::routing
