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

  /// Starts an empty table under the epoch of a newly acquired lease and announces it. The
  /// announcement ends the drains of all earlier lease holders.
  void begin(const common::Epoch& epoch);
  void add(const common::EngineName& engine);
  void remove(const common::EngineName& engine);
  bool contains(const common::EngineName& engine) const { return added_at_.count(engine) != 0; }
  /// \return true if the engine is in the table and every live node that sends work to engines has
  ///   acknowledged the drain of the engine
  bool acknowledged(const common::EngineName& engine) const;
  /// Announces the table again once DrainSettings::renewal_period has passed; called periodically
  /// while the lease is held.
  void renewIfDue();

 private:
  void announce();
  /// \return the members, in any state, that send work to engines
  std::vector<membership::Member> dispatchingMembers() const;
  /// \return true if the table is empty and the node has acknowledged its current version. The
  ///   table is then not announced to the node again, because an empty table does not expire.
  bool holdsEmptyTable(const common::NodeId& node) const;

  DrainSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const routing::EngineGroups& groups_;
  DrainFollower& own_follower_;
  std::optional<common::Epoch> epoch_;
  std::uint64_t version_ = 0;
  /// The engines in the table, each with the version of the table that first contained it.
  std::map<common::EngineName, std::uint64_t> added_at_;
  std::map<common::NodeId, std::uint64_t> acknowledged_;
  common::MonotonicTime announced_at_{};
  common::Counter& announcements_;
};

}  // namespace cypresswall::orders
