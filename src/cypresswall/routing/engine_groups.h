/// Which nodes decide about which engines. In a small zone every node decides about every engine
/// and tells all others what it did. In a large one the engines of each model are divided into
/// groups, and each group has two owners: the first places all requests on the group's engines and
/// knows their queues exactly, the second is told of what the first does and takes over when the
/// first is away. Other nodes ask the owners. All of it follows from the lists of engines and of
/// members, so every node works it out alike, without a word exchanged.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/prompt.h"
#include "cypresswall/common/random.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/routing/engine_table.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Engines of one model that the same nodes decide about.
struct EngineGroup {
  /// "MODEL/NUMBER".
  std::string name;
  std::vector<EngineSlot> engines;
  /// The nodes that decide, the first in place first.
  std::vector<common::NodeId> owners;
};

class EngineGroups {
 public:
  /// \pre `membership` and `table` outlive this object
  EngineGroups(const GroupSettings& settings, const membership::MembershipView& membership,
               const EngineTable& table);

  /// Works everything out anew, after a change of the engines declared or of the members.
  void update();

  /// \return true if every node decides about every engine.
  bool everyNodeRoutes() const { return every_node_routes_; }
  /// \return the node that reads an engine's reports; empty if no member is alive.
  common::NodeId watcherOf(EngineSlot engine) const;
  /// \return the node that places all requests on an engine; empty if several do
  common::NodeId primaryOwnerOf(EngineSlot engine) const;
  /// \return the other nodes that decide about an engine.
  const std::vector<common::NodeId>& otherRoutingNodes(EngineSlot engine) const;
  /// \return all nodes that decide about any engine.
  const std::vector<common::NodeId>& allRoutingNodes() const { return all_routing_nodes_; }
  /// \return nodes that place requests on one engine at the same time, at least 1.
  std::size_t routingNodesPerEngine() const;
  /// \return true if this node is an owner of the group.
  bool owns(const std::string& group) const;
  /// \return true if this node decides about the engine.
  bool routesTo(EngineSlot engine) const;
  /// \return engines that this node decides about.
  std::size_t routedEngineCount() const;

  /// Finds the groups to ask for a place, the best first, two at the most. Equal prompts go to
  /// equal groups: the group of the engine that hashing prefers among those that compute prompts,
  /// so that a group gets as much as it can compute. Prompts without a shared part go to random
  /// engines. \param shared_part names what the prompt shares with others, zero for nothing
  std::vector<const EngineGroup*> candidateGroupsFor(const common::ModelName& model,
                                                     common::PieceHash shared_part,
                                                     common::RandomSource& random) const;

 private:
  /// An engine as a home of prompts.
  struct GroupedEngine {
    std::uint64_t name_hash = 0;
    std::size_t group = 0;
    engines::EngineRole role = engines::EngineRole::kMixed;
  };

  void divideEngines();
  void findOwners();
  /// \return the members from which owners are taken
  std::vector<membership::Member> eligibleMembers() const;
  void updateRoutingNodes();
  bool ownedHere(const EngineGroup& group) const;

  GroupSettings settings_;
  const membership::MembershipView& membership_;
  const EngineTable& table_;
  bool every_node_routes_ = true;
  std::vector<EngineGroup> groups_;
  /// By slot.
  std::vector<std::size_t> group_of_;
  std::map<common::ModelName, std::vector<GroupedEngine>> engines_by_model_;
  /// By group: its owners but this node.
  std::vector<std::vector<common::NodeId>> other_owners_;
  /// All members but this node.
  std::vector<common::NodeId> other_members_;
  std::vector<common::NodeId> all_routing_nodes_;
};

}  // namespace cypresswall::routing
