#include "cypresswall/routing/engine_groups.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::routing {
namespace {

using membership::Member;
using membership::MemberState;

/// Maximum number of groups whose owners are asked to place one request.
constexpr std::size_t kMaximumCandidateGroups = 2;

std::uint64_t mix(std::uint64_t first, std::uint64_t second) {
  return common::hash64("", first ^ (second * 0x9E3779B97F4A7C15ULL));
}

}  // namespace

EngineGroups::EngineGroups(const GroupSettings& settings,
                           const membership::MembershipView& membership, const EngineTable& table)
    : settings_(settings), membership_(membership), table_(table) {}

void EngineGroups::update() {
  const auto& members = membership_.members();
  every_node_routes_ = members.size() <= settings_.shared_zone_node_limit;
  other_members_.clear();
  for (const Member& member : members) {
    if (member.node != membership_.self() && member.state != MemberState::kDead) {
      other_members_.push_back(member.node);
    }
  }
  divideEngines();
  findOwners();
  updateRoutingNodes();
}

void EngineGroups::divideEngines() {
  std::map<common::ModelName, std::vector<EngineSlot>> by_model;
  for (const EngineSlot slot : table_.roster()) {
    by_model[table_.record(slot).declaration.model].push_back(slot);
  }
  groups_.clear();
  engines_by_model_.clear();
  group_of_.assign(table_.slotCount(), 0);
  for (const auto& [model, slots] : by_model) {
    const std::size_t count =
        every_node_routes_
            ? 1
            : (slots.size() + settings_.engines_per_group - 1) / settings_.engines_per_group;
    const std::size_t first = groups_.size();
    for (std::size_t number = 0; number < count; ++number) {
      groups_.push_back({model + "/" + std::to_string(number), {}, {}});
    }
    for (const EngineSlot slot : slots) {
      const auto& declaration = table_.record(slot).declaration;
      const std::uint64_t hash = common::hash64(declaration.name);
      // Rendezvous hashing: adding or removing a group moves only that group's share of engines.
      std::size_t best = first;
      for (std::size_t group = first; group < groups_.size(); ++group) {
        best = mix(hash, group - first) > mix(hash, best - first) ? group : best;
      }
      groups_[best].engines.push_back(slot);
      group_of_[slot] = best;
      engines_by_model_[model].push_back({slot, hash, best, declaration.initial_role});
    }
  }
}

std::vector<Member> EngineGroups::eligibleMembers() const {
  std::map<std::uint64_t, std::vector<Member>, std::greater<>> by_link;
  for (const Member& member : membership_.members()) {
    if (member.state == MemberState::kAlive) {
      by_link[membership::linkBandwidthClass(membership_, member.node)].push_back(member);
    }
  }
  const std::size_t wanted = std::max(settings_.owners, groups_.size() / 2);
  std::vector<Member> eligible;
  for (const auto& [width, members] : by_link) {
    if (eligible.size() >= wanted) {
      break;
    }
    eligible.insert(eligible.end(), members.begin(), members.end());
  }
  return eligible;
}

void EngineGroups::findOwners() {
  if (every_node_routes_) {
    return;
  }
  const std::vector<Member> eligible = eligibleMembers();
  for (EngineGroup& group : groups_) {
    std::vector<std::pair<std::uint64_t, const Member*>> ranked;
    ranked.reserve(eligible.size());
    for (const Member& member : eligible) {
      ranked.emplace_back(membership::rendezvousRank(group.name, member.node), &member);
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(settings_.owners, ranked.size()));
    std::partial_sort(ranked.begin(), ranked.begin() + count, ranked.end(),
                      [](const auto& left, const auto& right) { return left.first > right.first; });
    for (auto owner = ranked.begin(); owner != ranked.begin() + count; ++owner) {
      group.owners.push_back(owner->second->node);
    }
  }
}

void EngineGroups::updateRoutingNodes() {
  other_owners_.clear();
  all_routing_nodes_.clear();
  if (every_node_routes_) {
    all_routing_nodes_ = other_members_;
    all_routing_nodes_.push_back(membership_.self());
    return;
  }
  std::set<common::NodeId> routing_nodes;
  for (const EngineGroup& group : groups_) {
    routing_nodes.insert(group.owners.begin(), group.owners.end());
    auto& others = other_owners_.emplace_back(group.owners);
    std::erase(others, membership_.self());
  }
  all_routing_nodes_.assign(routing_nodes.begin(), routing_nodes.end());
}

common::NodeId EngineGroups::watcherOf(EngineSlot engine,
                                       const std::set<common::NodeId>& excluded) const {
  const auto& name = table_.record(engine).declaration.name;
  if (every_node_routes_) {
    if (excluded.empty()) {
      return membership::rendezvousNode(name, membership_.members());
    }
    auto members = membership_.members();
    std::erase_if(members, [&](const Member& member) { return excluded.contains(member.node); });
    return membership::rendezvousNode(name, members.empty() ? membership_.members() : members);
  }
  if (engine >= group_of_.size() || groups_.empty()) {
    return {};
  }
  // Polling is most of the owners' work, so each owner of a group polls a part of the group's
  // engines.
  const auto& all_owners = groups_[group_of_[engine]].owners;
  auto owners = all_owners;
  std::erase_if(owners, [&](const common::NodeId& owner) { return excluded.contains(owner); });
  return membership::rendezvousNode(name, owners.empty() ? all_owners : owners);
}

common::NodeId EngineGroups::primaryOwnerOf(EngineSlot engine) const {
  if (every_node_routes_ || engine >= group_of_.size() || group_of_[engine] >= groups_.size()) {
    return {};
  }
  const auto& owners = groups_[group_of_[engine]].owners;
  return owners.empty() ? common::NodeId{} : owners.front();
}

const std::vector<common::NodeId>& EngineGroups::otherRoutingNodes(EngineSlot engine) const {
  static const std::vector<common::NodeId> kNone;
  if (every_node_routes_) {
    return other_members_;
  }
  return engine < group_of_.size() && group_of_[engine] < other_owners_.size()
             ? other_owners_[group_of_[engine]]
             : kNone;
}

std::size_t EngineGroups::routingNodesPerEngine() const {
  return every_node_routes_ ? other_members_.size() + 1 : 1;
}

bool EngineGroups::ownedHere(const EngineGroup& group) const {
  return std::find(group.owners.begin(), group.owners.end(), membership_.self()) !=
         group.owners.end();
}

const std::vector<EngineSlot>& EngineGroups::enginesOf(const std::string& group) const {
  static const std::vector<EngineSlot> kNone;
  const auto found = std::find_if(groups_.begin(), groups_.end(),
                                  [&](const EngineGroup& each) { return each.name == group; });
  return found == groups_.end() ? kNone : found->engines;
}

bool EngineGroups::owns(const std::string& group) const {
  return std::any_of(groups_.begin(), groups_.end(), [&](const EngineGroup& each) {
    return each.name == group && ownedHere(each);
  });
}

bool EngineGroups::routesTo(EngineSlot engine) const {
  return every_node_routes_ || (engine < group_of_.size() && ownedHere(groups_[group_of_[engine]]));
}

std::size_t EngineGroups::routedEngineCount() const {
  std::size_t count = 0;
  for (const EngineGroup& group : groups_) {
    count += every_node_routes_ || ownedHere(group) ? group.engines.size() : 0;
  }
  return count;
}

std::vector<const EngineGroup*> EngineGroups::candidateGroupsFor(
    const common::ModelName& model, common::PieceHash shared_part, common::RandomSource& random,
    const std::optional<common::BuildName>& build) const {
  std::vector<const EngineGroup*> candidates;
  const auto found = engines_by_model_.find(model);
  if (found == engines_by_model_.end()) {
    return candidates;
  }
  const engines::EngineRole excluded_role =
      shared_part != 0 ? engines::EngineRole::kDecode : engines::EngineRole::kPrefill;
  std::vector<const GroupedEngine*> all;
  for (const GroupedEngine& engine : found->second) {
    if (!build || table_.record(engine.slot).declaration.build == *build) {
      all.push_back(&engine);
    }
  }
  // The few engines of a build that is being replaced may be in any group, and of one role only.
  const bool has_other_builds = all.size() < found->second.size();
  std::vector<const GroupedEngine*> engines;
  std::copy_if(all.begin(), all.end(), std::back_inserter(engines), [&](const auto* engine) {
    return has_other_builds || engine->role != excluded_role;
  });
  if (engines.empty()) {
    engines = all;
  }
  const auto rank = [shared_part](const GroupedEngine* engine) {
    return mix(engine->name_hash, shared_part);
  };
  const auto add = [&](const GroupedEngine* engine) {
    candidates.push_back(&groups_[engine->group]);
    std::erase_if(engines,
                  [engine](const GroupedEngine* other) { return other->group == engine->group; });
  };
  const std::size_t most = has_other_builds ? groups_.size() : kMaximumCandidateGroups;
  while (candidates.size() < most && !engines.empty()) {
    add(shared_part == 0 ? engines[random.below(engines.size())]
                         : *std::max_element(engines.begin(), engines.end(),
                                             [&rank](const auto* left, const auto* right) {
                                               return rank(left) < rank(right);
                                             }));
  }
  return candidates;
}

}  // namespace cypresswall::routing
