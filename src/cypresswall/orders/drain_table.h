/// The lease holder's drain table: the engines to be drained for a planned change, and which nodes
/// have acknowledged that they send them no new work.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/orders/drain_follower.h"
#include "cypresswall/orders/messages.h"
#include "cypresswall/orders/settings.h"
#include "cypresswall/routing/engine_groups.h"

namespace cypresswall::orders {

class DrainTable {
 public:
  /// Registers the handler of DrainAck.
  DrainTable(const DrainSettings& settings, const api::ProcessContext& context,
             const membership::MembershipView& membership, const routing::EngineGroups& groups,
             DrainFollower& own_follower);

  /// Announces an empty table under a new epoch, which ends the drains of all earlier holders.
  void begin(const common::Epoch& epoch);
  void add(const common::EngineName& engine);
  void remove(const common::EngineName& engine);
  bool contains(const common::EngineName& engine) const { return added_at_.count(engine) != 0; }
  /// \return true if every live node that dispatches work has acknowledged the drain of the engine.
  bool acknowledged(const common::EngineName& engine) const;
  /// Announces the table again once DrainSettings::renewal_period has passed; called periodically
  /// while the lease is held.
  void renewIfDue();

 private:
  void announce();
  /// \return the members that dispatch work to engines
  std::vector<membership::Member> dispatchingMembers() const;
  /// \return true if the table is empty and the node has acknowledged this version. An empty table
  ///   does not expire, so it needs no renewal.
  bool holdsEmptyTable(const common::NodeId& node) const;

  DrainSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const routing::EngineGroups& groups_;
  DrainFollower& own_follower_;
  std::optional<common::Epoch> epoch_;
  std::uint64_t version_ = 0;
  /// Version of the table in which the engine was added.
  std::map<common::EngineName, std::uint64_t> added_at_;
  std::map<common::NodeId, std::uint64_t> acknowledged_;
  common::MonotonicTime announced_at_{};
  common::Counter& announcements_;
};

}  // namespace cypresswall::orders
