/// Counts the requests that start to run on behalf of this node's callers, by tenant, and sends the
/// counts to the collectors.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/duties/collectors.h"
#include "cypresswall/duties/duty_platform.h"
#include "cypresswall/duties/fleet_time.h"
#include "cypresswall/duties/messages.h"
#include "cypresswall/duties/usage_recorder.h"
#include "cypresswall/duties/usage_settings.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::duties {

/// Sends one message to each collector for each interval in which counts changed or a window ended.
/// The number of messages that a node sends does not grow with the size of the fleet.
class UsageCounter final : public UsageRecorder {
 public:
  /// Registers the handler of UsageResyncRequest. \pre all references outlive this object
  /// \param local_collector receives the updates if this node is a collector itself
  UsageCounter(const UsageSettings& settings, const api::ProcessContext& context,
               const membership::MembershipView& membership, const Collectors& collectors,
               const FleetTime& time, std::function<void(const UsageUpdate&)> local_collector);
  UsageCounter(const UsageCounter&) = delete;
  UsageCounter& operator=(const UsageCounter&) = delete;

  void start();
  void requestBegan(const common::TenantName& tenant) override;
  /// Sends unsent counts at once. To be called before a planned stop of this node.
  void flushUsage();

  /// \return the number of the window that contains the current time
  std::uint64_t currentWindow() const;

 private:
  struct CollectorState {
    std::uint64_t sequence = 0;
    /// True if the collector has sent a UsageResyncRequest since the last update to it.
    bool resync_requested = false;
  };

  void tick();
  void sendUpdates();
  UsageUpdate makeUpdate(CollectorState& state) const;
  common::Duration interval() const;
  void dropOldWindows();

  const UsageSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const Collectors& collectors_;
  const FleetTime& time_;
  std::function<void(const UsageUpdate&)> local_collector_;
  std::map<std::uint64_t, TenantCounts> windows_;
  /// Numbers of the windows whose counts changed since the last update was sent.
  std::set<std::uint64_t> changed_;
  /// The counts of all windows up to and including this number are final. If a clock correction
  /// sets the time back into such a window, new requests are counted in the next window.
  std::uint64_t closed_through_ = 0;
  std::map<common::NodeId, CollectorState> collector_states_;
  common::Counter& counted_;
};

}  // namespace cypresswall::duties
