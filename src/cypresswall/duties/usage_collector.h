/// Sums up what all nodes tell of the requests that they served.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/duties/collectors.h"
#include "cypresswall/duties/duty_platform.h"
#include "cypresswall/duties/fleet_time.h"
#include "cypresswall/duties/messages.h"
#include "cypresswall/duties/usage_settings.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::duties {

/// Kept by each collector, whether or not it reports, so that the loss of the others loses nothing.
/// What a node told stays after the node has ended.
class UsageCollector {
 public:
  /// Registers the handlers of UsageTold and ClockCorrection. \pre all references outlive this
  UsageCollector(const UsageSettings& settings, const api::ProcessContext& context,
                 const membership::MembershipView& membership, const Collectors& collectors,
                 FleetTime& time);
  UsageCollector(const UsageCollector&) = delete;
  UsageCollector& operator=(const UsageCollector&) = delete;

  void onTold(const common::NodeId& sender, const UsageTold& told);
  /// Hands on to collectors that are new what nodes told: one that has ended, perhaps unnoticed so
  /// far, can't tell it again.
  void handOn();

  /// \return true once every node that is there has told all that it will count in the window
  bool complete(std::uint64_t window) const;
  /// \return the nodes that are there and have not told all of the window
  std::size_t missing(std::uint64_t window) const;
  /// \return the sums of a window as far as they were told
  TenantCounts sum(std::uint64_t window) const;
  /// Forgets windows up to this one.
  void forgetThrough(std::uint64_t window);

 private:
  struct NodeCounts {
    std::uint64_t last_sequence = 0;
    /// No message was missed since the last complete one.
    bool whole = false;
    std::uint64_t closed_through = 0;
    std::map<std::uint64_t, TenantCounts> windows;
    /// How far the node's time was before this one's at its last messages, less their way.
    std::optional<common::Duration> ahead;
    std::uint32_t times_told = 0;
  };

  bool counts(const membership::Member& member) const;
  void merge(NodeCounts& counts, const std::vector<WindowCounts>& windows) const;
  void noteTime(const common::NodeId& sender, NodeCounts& counts, common::Duration told_time);
  std::optional<common::Duration> fleetAhead() const;

  const UsageSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const Collectors& ranking_;
  FleetTime& time_;
  std::map<common::NodeId, NodeCounts> nodes_;
  std::vector<common::NodeId> collectors_;
  std::uint64_t forgotten_through_ = 0;
  common::Counter& asked_again_;
  common::Counter& corrected_;
};

}  // namespace cypresswall::duties
