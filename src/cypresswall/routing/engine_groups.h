/// Assigns engines to routing nodes. In a small zone every node routes to every engine and informs
/// all others of the long prompts that it sends. In a large zone the engines of each model are
/// divided into groups with two owners each: the primary places all requests on the group's engines
/// and knows their queues exactly; the secondary is informed of long prompts that the primary
/// places, and places requests itself when the primary does not answer or can't place them. Other
/// nodes request placements from the owners. The assignment is a function of the lists of engines
/// and members, so all nodes compute the same one without communication.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/prompt.h"
#include "cypresswall/common/random.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/routing/engine_table.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Engines of one model that have the same owners.
struct EngineGroup {
  /// "MODEL/NUMBER".
  std::string name;
  std::vector<EngineSlot> engines;
  /// Routing nodes of the group, the primary first.
  std::vector<common::NodeId> owners;
};

class EngineGroups {
 public:
  /// \pre `membership` and `table` outlive this object
  EngineGroups(const GroupSettings& settings, const membership::MembershipView& membership,
               const EngineTable& table);

  /// Recomputes the assignment after a change of the declared engines or the members.
  void update();

  /// \return true if every node routes to every engine.
  bool everyNodeRoutes() const { return every_node_routes_; }
  /// \param excluded nodes that can't reach the engine; not excluded if none other is left
  /// \return the node that polls an engine; empty if no member is alive.
  common::NodeId watcherOf(EngineSlot engine, const std::set<common::NodeId>& excluded = {}) const;
  /// \return the node that places all requests on an engine; empty if several nodes place requests
  ///   on it
  common::NodeId primaryOwnerOf(EngineSlot engine) const;
  /// \return the routing nodes of an engine except this node.
  const std::vector<common::NodeId>& otherRoutingNodes(EngineSlot engine) const;
  /// \return the routing nodes of all engines.
  const std::vector<common::NodeId>& allRoutingNodes() const { return all_routing_nodes_; }
  /// \return number of nodes that place requests on one engine at the same time, at least 1.
  std::size_t routingNodesPerEngine() const;
  /// \return the engines of a group; empty if no group has that name.
  const std::vector<EngineSlot>& enginesOf(const std::string& group) const;
  /// \return true if this node is an owner of the group.
  bool owns(const std::string& group) const;
  /// \return true if this node routes to the engine.
  bool routesTo(EngineSlot engine) const;
  /// \return number of engines that this node routes to.
  std::size_t routedEngineCount() const;

  /// Returns at most two groups to request a placement from, in order of preference. Prompts with
  /// the same shared part get the same groups: rendezvous hashing of the shared part ranks the
  /// model's prefill and mixed engines, and the groups of the highest-ranked engines are returned.
  /// A group thus receives prompts in proportion to the number of its engines that compute prompts.
  /// Prompts without a shared part get the groups of randomly chosen decode and mixed engines.
  /// \param shared_part hash of the part shared with other prompts, zero if there is none
  /// \param build if set and the model has engines of several software builds, all groups with
  ///   engines of that build are returned
  std::vector<const EngineGroup*> candidateGroupsFor(
      const common::ModelName& model, common::PieceHash shared_part, common::RandomSource& random,
      const std::optional<common::BuildName>& build = {}) const;

 private:
  /// An engine with its group, for the choice of candidate groups.
  struct GroupedEngine {
    EngineSlot slot = kNoEngineSlot;
    std::uint64_t name_hash = 0;
    std::size_t group = 0;
    engines::EngineRole role = engines::EngineRole::kMixed;
  };

  void divideEngines();
  void findOwners();
  /// \return the members eligible as owners: the alive members with the fastest links, at least
  ///   GroupSettings::owners and at least half as many as there are groups, if that many are alive
  std::vector<membership::Member> eligibleMembers() const;
  void updateRoutingNodes();
  bool ownedHere(const EngineGroup& group) const;

  GroupSettings settings_;
  const membership::MembershipView& membership_;
  const EngineTable& table_;
  bool every_node_routes_ = true;
  std::vector<EngineGroup> groups_;
  /// By slot: index of the engine's group in `groups_`.
  std::vector<std::size_t> group_of_;
  std::map<common::ModelName, std::vector<GroupedEngine>> engines_by_model_;
  /// By group: its owners except this node.
  std::vector<std::vector<common::NodeId>> other_owners_;
  /// All members that are not dead, except this node.
  std::vector<common::NodeId> other_members_;
  std::vector<common::NodeId> all_routing_nodes_;
};

}  // namespace cypresswall::routing
