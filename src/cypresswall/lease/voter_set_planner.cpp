#include "cypresswall/lease/voter_set_planner.h"

#include <algorithm>
#include <iterator>

namespace cypresswall::lease {
namespace {

using membership::Member;
using membership::MemberState;

NodeSet nodesIn(const std::vector<Member>& members, std::initializer_list<MemberState> states) {
  NodeSet nodes;
  for (const auto& member : members) {
    if (std::find(states.begin(), states.end(), member.state) != states.end()) {
      nodes.insert(member.node);
    }
  }
  return nodes;
}

bool keepsQuorum(const VoterSet& current, const VoterSetChange& change, const NodeSet& answering) {
  return applied(change, current).hasQuorum(answering);
}

/// \return true if each quorum of `next` includes `node`, since it is the only member of an anchor
bool isInEachQuorum(const common::NodeId& node, const VoterSet& next) {
  return std::any_of(next.anchors.begin(), next.anchors.end(), [&](const NodeList& anchor) {
    const auto others = std::count_if(
        anchor.begin(), anchor.end(),
        [&](const common::NodeId& other) { return other != node && next.contains(other); });
    return others == 0 && std::find(anchor.begin(), anchor.end(), node) != anchor.end();
  });
}

/// \param candidates nodes that may become voters, the preferred ones first
VoterSetChange planAddition(const VoterSet& current, const NodeList& candidates,
                            std::size_t wanted) {
  if (current.members.size() == 1 && wanted > 2 && candidates.size() > 1) {
    VoterSetChange pair{{candidates[0], candidates[1]}, true};
    if (isInEachQuorum(current.members.front(), applied(pair, current))) {
      return pair;
    }
  }
  return {{candidates.front()}, true};
}

}  // namespace

VoterSet applied(const VoterSetChange& change, VoterSet set) {
  if (change.add) {
    set.members = unionOf(set.members, change.nodes);
  } else {
    std::erase_if(set.members, [&](const common::NodeId& member) {
      return std::find(change.nodes.begin(), change.nodes.end(), member) != change.nodes.end();
    });
  }
  return set;
}

std::size_t targetVoterCount(std::size_t nodes, std::size_t maximum) {
  const std::size_t voters = std::min(nodes, maximum);
  return voters % 2 == 0 && voters > 0 ? voters - 1 : voters;
}

std::optional<VoterSetChange> planVoterSetChange(const VoterSet& current,
                                                 const std::vector<Member>& members,
                                                 const common::NodeId& self,
                                                 std::size_t maximum_voters) {
  const NodeSet usable = nodesIn(members, {MemberState::kAlive});
  const NodeSet staying = nodesIn(members, {MemberState::kAlive, MemberState::kSuspect});
  const NodeSet answering = nodesIn(members, {MemberState::kAlive, MemberState::kLeaving});
  const std::size_t wanted = targetVoterCount(staying.size(), maximum_voters);

  NodeList candidates;
  std::optional<VoterSetChange> removal;
  std::copy_if(usable.begin(), usable.end(), std::back_inserter(candidates),
               [&](const auto& node) { return !current.contains(node); });
  std::size_t staying_voters = 0;
  for (const auto& voter : current.members) {
    if (staying.contains(voter)) {
      ++staying_voters;
    } else if (voter != self && (!removal || !answering.contains(voter))) {
      // Prefer removing voters that have ended over leaving voters that still answer.
      removal = VoterSetChange{{voter}, false};
    }
  }
  const auto surplus = std::find_if(current.members.rbegin(), current.members.rend(),
                                    [&](const auto& voter) { return voter != self; });
  if (!removal && staying_voters > wanted && surplus != current.members.rend()) {
    removal = VoterSetChange{{*surplus}, false};
  }
  const bool add_wanted = !candidates.empty() && staying_voters < wanted;
  const bool room = current.members.size() < maximum_voters;
  if (add_wanted && room) {
    const VoterSetChange addition = planAddition(current, candidates, wanted);
    if (keepsQuorum(current, addition, answering)) {
      return addition;
    }
  }
  if (removal && current.members.size() > 1 && keepsQuorum(current, *removal, answering)) {
    return removal;
  }
  return std::nullopt;
}

NodeList chooseVoters(const std::vector<Member>& members, std::size_t maximum_voters) {
  const NodeSet usable = nodesIn(members, {MemberState::kAlive});
  NodeList voters(usable.begin(), usable.end());
  voters.resize(targetVoterCount(voters.size(), maximum_voters));
  return voters;
}

}  // namespace cypresswall::lease
