/// Counts what this node serves, and tells it to the collectors.
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

/// Sends a message for each collector and interval in which something changed, and one at each end
/// of a window: constant for a node, whatever the size of the fleet.
class UsageCounter final : public UsageRecorder {
 public:
  /// Registers the handler of UsageAsk. \pre all references outlive this object
  /// \param tell_self takes what this node, being a collector, tells itself
  UsageCounter(const UsageSettings& settings, const api::ProcessContext& context,
               const membership::MembershipView& membership, const Collectors& collectors,
               const FleetTime& time, std::function<void(const UsageTold&)> tell_self);
  UsageCounter(const UsageCounter&) = delete;
  UsageCounter& operator=(const UsageCounter&) = delete;

  void start();
  void requestBegan(const common::TenantName& tenant) override;
  /// Tells what is not told yet; for a node that is about to end.
  void flushUsage();

  /// \return the window that is under way
  std::uint64_t currentWindow() const;

 private:
  struct Told {
    std::uint64_t sequence = 0;
    /// The collector has asked for all windows.
    bool asked = false;
  };

  void tick();
  void tell();
  UsageTold messageTo(Told& told) const;
  common::Duration interval() const;
  void forgetOld();

  const UsageSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const Collectors& collectors_;
  const FleetTime& time_;
  std::function<void(const UsageTold&)> tell_self_;
  std::map<std::uint64_t, TenantCounts> windows_;
  /// Windows that changed since the last message.
  std::set<std::uint64_t> changed_;
  /// Windows up to this one take no more requests: the fleet's time may be set back.
  std::uint64_t closed_through_ = 0;
  std::map<common::NodeId, Told> told_;
  common::Counter& counted_;
};

}  // namespace cypresswall::duties
