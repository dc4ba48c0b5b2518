/// The engines of the own zone by slot, with the newest load report of each and whether it may be
/// given work. Pure state: it neither polls nor sends.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/routing/engine_record.h"
#include "cypresswall/routing/prefix_index.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// What one report says of an engine.
struct EngineObservation {
  engines::EngineLoad load;
  common::MonotonicTime observed_at{};
  bool reachable = true;
};

class EngineTable {
 public:
  /// Called after an engine's record changed in any way; `restarted` is true if the engine has
  /// another incarnation than before, or the slot another engine.
  using Listener = std::function<void(EngineSlot slot, bool restarted)>;

  explicit EngineTable(const DirectorySettings& settings) : settings_(settings) {}

  /// Takes over the declarations of one zone; records of engines that stay are kept.
  void declare(const configuration::FleetConfiguration& fleet, const common::ZoneName& zone,
               common::MonotonicTime now);
  /// Sets which engines' machines are leaving, by asking `leaving` for each.
  void markLeaving(const std::function<bool(const configuration::EngineDeclaration&)>& leaving,
                   common::MonotonicTime now);
  /// Replaces the set of engines that the zone's controller drains.
  void setDraining(const std::set<common::EngineName>& engines, common::MonotonicTime now);
  /// Takes a report in, unless one of a later moment was seen.
  void observe(EngineSlot slot, const EngineObservation& observation, common::MonotonicTime now);
  /// Notes that the last reported load still held at `observed_at`.
  void confirm(EngineSlot slot, common::MonotonicTime observed_at, common::MonotonicTime now);
  /// Notes that the engine reported at `contact_at`, though what is not known.
  void noteContact(EngineSlot slot, common::MonotonicTime contact_at, common::MonotonicTime now);
  /// The engine gets no work until `until`.
  void eject(EngineSlot slot, common::MonotonicTime until, common::MonotonicTime now);
  /// \return the end of its last ejection; the clock's beginning if it never was ejected.
  common::MonotonicTime ejectedUntil(EngineSlot slot) const { return entries_[slot].ejected_until; }
  /// \return true if the engine may get no work whatever its load: its machine leaves, or operators
  ///   or the zone's controller drain it.
  bool isLeaving(EngineSlot slot) const;
  void setReachable(EngineSlot slot, bool reachable, common::MonotonicTime now);
  void setWatched(EngineSlot slot, bool watched) { entries_[slot].record.watched_here = watched; }
  /// Finds engines that fell silent.
  void sweep(common::MonotonicTime now);

  /// Slots of all declared engines of the zone, in the order of their names.
  const std::vector<EngineSlot>& roster() const { return roster_; }
  const std::vector<common::EngineName>& names() const { return names_; }
  std::uint32_t digest() const { return digest_; }
  const EngineRecord& record(EngineSlot slot) const { return entries_[slot].record; }
  /// \return the slot of a declared engine, or kNoEngineSlot.
  EngineSlot slotOf(const common::EngineName& name) const;
  std::size_t slotCount() const { return entries_.size(); }
  /// \return available engines that serve the model, in slot order. An empty version or adapter
  ///   matches any. Valid until the next change of the table.
  const std::vector<EngineSlot>& candidates(const common::ModelName& model,
                                            const std::string& version, const std::string& adapter);
  /// \return true if any engine of the zone is declared for, or reports, the model.
  bool knowsModel(const common::ModelName& model) const;
  void onChange(Listener listener) { listeners_.push_back(std::move(listener)); }

 private:
  struct Entry {
    EngineRecord record;
    bool declared = false;
    bool machine_leaving = false;
    bool drained_by_operator = false;
    common::MonotonicTime ejected_until{};
  };

  EngineSlot takeSlot();
  void applyOperatorDrains(const configuration::FleetConfiguration& fleet);
  EngineAvailability judge(const Entry& entry, common::MonotonicTime now) const;
  /// Recomputes availability; forgets cached candidate lists if it changed.
  void refresh(EngineSlot slot, common::MonotonicTime now);
  void refreshAll(common::MonotonicTime now);
  void notify(EngineSlot slot, bool restarted);
  std::vector<EngineSlot> findCandidates(const common::ModelName& model, const std::string& version,
                                         const std::string& adapter) const;

  DirectorySettings settings_;
  std::vector<Entry> entries_;
  std::vector<EngineSlot> roster_;
  std::vector<common::EngineName> names_;
  std::uint32_t digest_ = 0;
  std::unordered_map<std::string, std::vector<EngineSlot>> candidate_lists_;
  std::string candidate_key_;
  std::vector<Listener> listeners_;
};

}  // namespace cypresswall::routing
