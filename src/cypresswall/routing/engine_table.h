/// The engines of this node's zone by slot, with the newest load report and the availability of
/// each. Holds state only: it neither polls nor sends.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/availability/announced_availability.h"
#include "cypresswall/routing/engine_record.h"
#include "cypresswall/routing/prefix_index.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// The content of one report on an engine.
struct EngineObservation {
  engines::EngineLoad load;
  common::MonotonicTime observed_at{};
  bool reachable = true;
};

class EngineTable {
 public:
  /// Called after an engine's record changed; `restarted` is true if the engine was restarted, or
  /// if the slot was assigned to another engine.
  using Listener = std::function<void(EngineSlot slot, bool restarted)>;

  explicit EngineTable(const DirectorySettings& settings) : settings_(settings) {}

  /// Applies the declarations of one zone; records of engines that remain declared are kept.
  void declare(const configuration::FleetConfiguration& fleet, const common::ZoneName& zone,
               common::MonotonicTime now);
  /// Sets which engines' machines are leaving, by calling `leaving` for each engine.
  void markLeaving(const std::function<bool(const configuration::EngineDeclaration&)>& leaving,
                   common::MonotonicTime now);
  /// Replaces the set of engines that the zone's controller drains.
  void setDraining(const std::set<common::EngineName>& engines, common::MonotonicTime now);
  /// Applies a report, unless a newer one was applied before.
  void observe(EngineSlot slot, const EngineObservation& observation, common::MonotonicTime now);
  /// Records that the last reported load was still valid at `observed_at`.
  void confirm(EngineSlot slot, common::MonotonicTime observed_at, common::MonotonicTime now);
  /// Records that the engine sent a report at `contact_at` whose load is not known to this node.
  void noteContact(EngineSlot slot, common::MonotonicTime contact_at, common::MonotonicTime now);
  /// Removes the engine from routing until `until`.
  void eject(EngineSlot slot, common::MonotonicTime until, common::MonotonicTime now);
  /// \return the end of the engine's last ejection; the clock's epoch if it was never ejected.
  common::MonotonicTime ejectedUntil(EngineSlot slot) const { return entries_[slot].ejected_until; }
  /// Sets what engines have said about themselves in answers to this node; without it, nothing.
  void setAnnounced(availability::AnnouncedAvailability& announced) { announced_ = &announced; }
  /// Re-evaluates the availability of an engine after its announcements have changed.
  void announcementChanged(const common::EngineName& engine, common::MonotonicTime now);
  /// \return true if the engine must receive no new work whatever its load: it or its machine is
  ///   leaving, or an operator or the zone's controller drains the engine.
  bool isLeaving(EngineSlot slot) const;
  /// \return the end of the time without requests that the engine asked this node for; in the past
  ///   if there is none
  common::MonotonicTime pausedUntil(EngineSlot slot) const;
  /// \return the earliest end of a pause among the model's engines that are paused and otherwise
  ///   available; nothing if there are none
  std::optional<common::MonotonicTime> earliestPauseEnd(const common::ModelName& model) const;
  void setReachable(EngineSlot slot, bool reachable, common::MonotonicTime now);
  void setWatched(EngineSlot slot, bool watched) { entries_[slot].record.watched_here = watched; }
  /// Re-evaluates availability, to detect engines whose reports have become too old.
  void sweep(common::MonotonicTime now);

  /// Slots of all declared engines of the zone, sorted by name.
  const std::vector<EngineSlot>& roster() const { return roster_; }
  const std::vector<common::EngineName>& names() const { return names_; }
  std::uint32_t digest() const { return digest_; }
  const EngineRecord& record(EngineSlot slot) const { return entries_[slot].record; }
  /// \return the slot of a declared engine, or kNoEngineSlot.
  EngineSlot slotOf(const common::EngineName& name) const;
  std::size_t slotCount() const { return entries_.size(); }
  /// \return available engines that serve the model, in slot order. An empty version or adapter
  ///   matches any, and so does a build that is not set. Valid until the next change of the table.
  const std::vector<EngineSlot>& candidates(const common::ModelName& model,
                                            const std::string& version, const std::string& adapter,
                                            const std::optional<common::BuildName>& build = {});
  /// \return true if an engine of the model with that software build is declared and not leaving
  bool hasEngineOfBuild(const common::ModelName& model, const common::BuildName& build) const;
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
  /// \return true if the engine said in an answer to this node that it leaves
  bool saidItLeaves(const Entry& entry) const;
  void applyOperatorDrains(const configuration::FleetConfiguration& fleet);
  EngineAvailability evaluateAvailability(EngineSlot slot, common::MonotonicTime now) const;
  /// Recomputes availability; invalidates cached candidate lists if it changed.
  void refresh(EngineSlot slot, common::MonotonicTime now);
  void refreshAll(common::MonotonicTime now);
  void notify(EngineSlot slot, bool restarted);
  std::vector<EngineSlot> findCandidates(const common::ModelName& model, const std::string& version,
                                         const std::string& adapter,
                                         const std::optional<common::BuildName>& build) const;

  DirectorySettings settings_;
  availability::AnnouncedAvailability* announced_ = nullptr;
  std::vector<Entry> entries_;
  std::vector<EngineSlot> roster_;
  std::vector<common::EngineName> names_;
  std::uint32_t digest_ = 0;
  std::unordered_map<std::string, std::vector<EngineSlot>> candidate_lists_;
  std::string candidate_key_;
  std::vector<Listener> listeners_;
};

}  // namespace cypresswall::routing
