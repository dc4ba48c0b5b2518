#include "cypresswall/routing/engine_directory.h"

#include <algorithm>

#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::routing {

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
      prefixes_(settings.prefix_index),
      exchange_(settings, context, membership, table_, prefixes_),
      work_(context, membership, table_),
      ejection_(settings.ejection, context, membership, table_),
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
    }
  });
  configuration.onChange(
      [this](const configuration::FleetConfiguration& fleet) { onConfiguration(fleet); });
  membership.onChange([this] { onMembership(); });
}

void EngineDirectory::start() {
  onConfiguration(*configuration_.current());
  poller_.start();
  exchange_.start(poller_);
  swept_at_ = context_.clock.now();
  sweep();
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
  assignWatches();
}

void EngineDirectory::assignWatches() {
  const auto members = membership_.members();
  const common::MonotonicTime now = context_.clock.now();
  if (members == assigned_members_ && !roster_changed_ && handed_over_.empty()) {
    return;
  }
  assigned_members_ = members;
  roster_changed_ = false;
  alive_nodes_ = std::max<std::size_t>(1, members.size());
  std::set<EngineSlot> watched;
  for (const EngineSlot slot : table_.roster()) {
    const EngineRecord& record = table_.record(slot);
    const common::NodeId watcher = membership::rendezvousNode(record.declaration.name, members);
    if (watcher == context_.self || watcher.empty()) {
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
}

void EngineDirectory::notePause() {
  const common::MonotonicTime now = context_.clock.now();
  if (now - swept_at_ > settings_.pause_limit) {
    swept_at_ = now;
    catch_up_until_ = now + settings_.catch_up_time;
    pauses_.add();
  }
}

bool EngineDirectory::catchingUp() {
  notePause();
  return context_.clock.now() < catch_up_until_;
}

void EngineDirectory::sweep() {
  notePause();
  swept_at_ = context_.clock.now();
  table_.sweep(context_.clock.now());
  if (!handed_over_.empty()) {
    assignWatches();
  }
  context_.scheduler.schedule(settings_.poll_period, [this] { sweep(); });
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
