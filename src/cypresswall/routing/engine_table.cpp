#include "cypresswall/routing/engine_table.h"

#include <algorithm>

#include "cypresswall/routing/engine_deltas.h"

namespace cypresswall::routing {
namespace {

constexpr char kKeySeparator = '\n';
/// Maximum number of cached candidate lists; when it is reached, all lists are dropped.
constexpr std::size_t kMaximumCandidateLists = 1024;

/// An engine whose software build changed has restarted.
bool sameEngine(const configuration::EngineDeclaration& left,
                const configuration::EngineDeclaration& right) {
  return left.name == right.name && left.address == right.address && left.build == right.build;
}

}  // namespace

EngineSlot EngineTable::takeSlot() {
  for (std::size_t slot = 0; slot < entries_.size(); ++slot) {
    if (!entries_[slot].declared) {
      return static_cast<EngineSlot>(slot);
    }
  }
  entries_.emplace_back();
  return static_cast<EngineSlot>(entries_.size() - 1);
}

void EngineTable::declare(const configuration::FleetConfiguration& fleet,
                          const common::ZoneName& zone, common::MonotonicTime now) {
  std::unordered_map<common::EngineName, EngineSlot> previous;
  for (std::size_t i = 0; i < roster_.size(); ++i) {
    previous[names_[i]] = roster_[i];
  }
  for (Entry& entry : entries_) {
    const auto found = fleet.engines.find(entry.record.declaration.name);
    entry.declared = entry.declared && found != fleet.engines.end() && found->second.zone == zone &&
                     sameEngine(found->second, entry.record.declaration);
  }
  roster_.clear();
  names_.clear();
  std::vector<EngineSlot> fresh;
  for (const auto& [name, declaration] : fleet.engines) {
    if (declaration.zone != zone) {
      continue;
    }
    const auto known = previous.find(name);
    const bool kept = known != previous.end() && entries_[known->second].declared;
    const EngineSlot slot = kept ? known->second : takeSlot();
    Entry& entry = entries_[slot];
    if (!kept) {
      entry = Entry{};
      fresh.push_back(slot);
    }
    entry.declared = true;
    entry.record.declaration = declaration;
    roster_.push_back(slot);
    names_.push_back(name);
  }
  digest_ = rosterDigest(names_);
  applyOperatorDrains(fleet);
  candidate_lists_.clear();
  refreshAll(now);
  for (const EngineSlot slot : fresh) {
    notify(slot, true);
  }
}

bool EngineTable::isLeaving(EngineSlot slot) const {
  const Entry& entry = entries_[slot];
  return entry.machine_leaving || entry.drained_by_operator || entry.record.draining ||
         saidItLeaves(entry);
}

bool EngineTable::saidItLeaves(const Entry& entry) const {
  return announced_ != nullptr && announced_->leaving(entry.record.declaration.name);
}

common::MonotonicTime EngineTable::pausedUntil(EngineSlot slot) const {
  return announced_ == nullptr ? common::MonotonicTime{}
                               : announced_->pausedUntil(entries_[slot].record.declaration.name);
}

std::optional<common::MonotonicTime> EngineTable::earliestPauseEnd(
    const common::ModelName& model) const {
  std::optional<common::MonotonicTime> earliest;
  for (const EngineSlot slot : roster_) {
    const EngineRecord& record = entries_[slot].record;
    if (record.availability == EngineAvailability::kPaused && record.load.model == model) {
      earliest = std::min(earliest.value_or(pausedUntil(slot)), pausedUntil(slot));
    }
  }
  return earliest;
}

void EngineTable::announcementChanged(const common::EngineName& engine, common::MonotonicTime now) {
  const EngineSlot slot = slotOf(engine);
  if (slot != kNoEngineSlot) {
    refresh(slot, now);
  }
}

void EngineTable::applyOperatorDrains(const configuration::FleetConfiguration& fleet) {
  for (const EngineSlot slot : roster_) {
    Entry& entry = entries_[slot];
    const auto engine = fleet.engine_overrides.find(entry.record.declaration.name);
    const auto machine = fleet.drained_nodes.find(entry.record.declaration.machine);
    entry.drained_by_operator =
        (engine != fleet.engine_overrides.end() && engine->second.drained) ||
        (machine != fleet.drained_nodes.end() && machine->second);
  }
}

void EngineTable::markLeaving(
    const std::function<bool(const configuration::EngineDeclaration&)>& leaving,
    common::MonotonicTime now) {
  for (const EngineSlot slot : roster_) {
    entries_[slot].machine_leaving = leaving(entries_[slot].record.declaration);
  }
  refreshAll(now);
}

void EngineTable::setDraining(const std::set<common::EngineName>& engines,
                              common::MonotonicTime now) {
  for (const EngineSlot slot : roster_) {
    EngineRecord& record = entries_[slot].record;
    record.draining = engines.count(record.declaration.name) != 0;
  }
  refreshAll(now);
}

void EngineTable::observe(EngineSlot slot, const EngineObservation& observation,
                          common::MonotonicTime now) {
  EngineRecord& record = entries_[slot].record;
  const bool restarted = record.reported && record.load.incarnation != observation.load.incarnation;
  if (record.reported && observation.observed_at < record.observed_at) {
    return;
  }
  if (restarted) {
    entries_[slot].ejected_until = {};
    if (announced_ != nullptr) {
      announced_->forget(record.declaration.name);
    }
  }
  const bool identity_changed = !record.reported || restarted ||
                                record.load.model != observation.load.model ||
                                record.load.version != observation.load.version ||
                                record.load.adapters != observation.load.adapters;
  record.reported = true;
  record.load = observation.load;
  record.observed_at = observation.observed_at;
  record.last_contact_at = std::max(record.last_contact_at, observation.observed_at);
  record.reachable = observation.reachable;
  if (identity_changed) {
    candidate_lists_.clear();
  }
  refresh(slot, now);
  notify(slot, restarted);
}

void EngineTable::confirm(EngineSlot slot, common::MonotonicTime observed_at,
                          common::MonotonicTime now) {
  EngineRecord& record = entries_[slot].record;
  if (!record.reported || observed_at <= record.observed_at) {
    return;
  }
  record.observed_at = observed_at;
  record.last_contact_at = std::max(record.last_contact_at, observed_at);
  refresh(slot, now);
  notify(slot, false);
}

void EngineTable::noteContact(EngineSlot slot, common::MonotonicTime contact_at,
                              common::MonotonicTime now) {
  EngineRecord& record = entries_[slot].record;
  record.last_contact_at = std::max(record.last_contact_at, contact_at);
  refresh(slot, now);
}

void EngineTable::eject(EngineSlot slot, common::MonotonicTime until, common::MonotonicTime now) {
  entries_[slot].ejected_until = until;
  refresh(slot, now);
}

void EngineTable::setReachable(EngineSlot slot, bool reachable, common::MonotonicTime now) {
  if (entries_[slot].record.reachable == reachable) {
    return;
  }
  EngineRecord& record = entries_[slot].record;
  record.reachable = reachable;
  record.observed_at = std::max(record.observed_at, now);
  refresh(slot, now);
  notify(slot, false);
}

void EngineTable::sweep(common::MonotonicTime now) { refreshAll(now); }

EngineAvailability EngineTable::evaluateAvailability(EngineSlot slot,
                                                     common::MonotonicTime now) const {
  const Entry& entry = entries_[slot];
  const EngineRecord& record = entry.record;
  if (entry.machine_leaving) {
    return EngineAvailability::kMachineLeaving;
  }
  if (saidItLeaves(entry)) {
    return EngineAvailability::kLeaving;
  }
  if (entry.drained_by_operator) {
    return EngineAvailability::kDrainedByOperator;
  }
  if (record.draining) {
    return EngineAvailability::kDraining;
  }
  if (!record.reported) {
    return EngineAvailability::kNotReported;
  }
  if (!record.reachable) {
    return EngineAvailability::kUnreachable;
  }
  if (now - record.last_contact_at > settings_.maximum_report_age) {
    return EngineAvailability::kSilent;
  }
  if (now < entry.ejected_until) {
    return EngineAvailability::kEjected;
  }
  if (record.load.state == engines::EngineState::kChanging) {
    return EngineAvailability::kChanging;
  }
  if (record.load.state == engines::EngineState::kFailed) {
    return EngineAvailability::kFailed;
  }
  if (now < pausedUntil(slot)) {
    return EngineAvailability::kPaused;
  }
  return EngineAvailability::kAvailable;
}

void EngineTable::refresh(EngineSlot slot, common::MonotonicTime now) {
  Entry& entry = entries_[slot];
  const EngineAvailability availability = evaluateAvailability(slot, now);
  if (availability != entry.record.availability) {
    entry.record.availability = availability;
    candidate_lists_.clear();
  }
}

void EngineTable::refreshAll(common::MonotonicTime now) {
  for (const EngineSlot slot : roster_) {
    refresh(slot, now);
  }
}

void EngineTable::notify(EngineSlot slot, bool restarted) {
  for (const Listener& listener : listeners_) {
    listener(slot, restarted);
  }
}

EngineSlot EngineTable::slotOf(const common::EngineName& name) const {
  const auto found = std::lower_bound(names_.begin(), names_.end(), name);
  if (found == names_.end() || *found != name) {
    return kNoEngineSlot;
  }
  return roster_[static_cast<std::size_t>(found - names_.begin())];
}

const std::vector<EngineSlot>& EngineTable::candidates(
    const common::ModelName& model, const std::string& version, const std::string& adapter,
    const std::optional<common::BuildName>& build) {
  candidate_key_.clear();
  candidate_key_ += model;
  candidate_key_ += kKeySeparator;
  candidate_key_ += version;
  candidate_key_ += kKeySeparator;
  candidate_key_ += adapter;
  if (build) {
    candidate_key_ += kKeySeparator;
    candidate_key_ += *build;
  }
  const auto found = candidate_lists_.find(candidate_key_);
  if (found != candidate_lists_.end()) {
    return found->second;
  }
  if (candidate_lists_.size() >= kMaximumCandidateLists) {
    candidate_lists_.clear();
  }
  return candidate_lists_[candidate_key_] = findCandidates(model, version, adapter, build);
}

std::vector<EngineSlot> EngineTable::findCandidates(
    const common::ModelName& model, const std::string& version, const std::string& adapter,
    const std::optional<common::BuildName>& build) const {
  std::vector<EngineSlot> found;
  for (const EngineSlot slot : roster_) {
    const EngineRecord& record = entries_[slot].record;
    const auto& adapters = record.load.adapters;
    const bool serves =
        record.availability == EngineAvailability::kAvailable && record.load.model == model &&
        (version.empty() || record.load.version == version) &&
        (!build || record.declaration.build == *build) &&
        (adapter.empty() || std::find(adapters.begin(), adapters.end(), adapter) != adapters.end());
    if (serves) {
      found.push_back(slot);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

bool EngineTable::hasEngineOfBuild(const common::ModelName& model,
                                   const common::BuildName& build) const {
  return std::any_of(roster_.begin(), roster_.end(), [&](EngineSlot slot) {
    const EngineRecord& record = entries_[slot].record;
    const bool serves =
        record.reported ? record.load.model == model : record.declaration.model == model;
    return serves && record.declaration.build == build && !isLeaving(slot);
  });
}

bool EngineTable::knowsModel(const common::ModelName& model) const {
  return std::any_of(roster_.begin(), roster_.end(), [&](EngineSlot slot) {
    const EngineRecord& record = entries_[slot].record;
    return record.declaration.model == model || (record.reported && record.load.model == model);
  });
}

}  // namespace cypresswall::routing
