#include "cypresswall/lease/voter_set_planner.h"

#include <algorithm>

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
  VoterSet next = current;
  if (change.add) {
    next.members = unionOf(next.members, {change.node});
  } else {
    std::erase(next.members, change.node);
  }
  return next.hasQuorum(answering);
}

}  // namespace

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

  std::optional<VoterSetChange> addition;
  std::optional<VoterSetChange> removal;
  for (const auto& node : usable) {
    if (!current.contains(node) && !addition) {
      addition = VoterSetChange{node, true};
    }
  }
  std::size_t staying_voters = 0;
  for (const auto& voter : current.members) {
    if (staying.contains(voter)) {
      ++staying_voters;
    } else if (voter != self && (!removal || !answering.contains(voter))) {
      // Prefer removing voters that have ended over leaving voters that still answer.
      removal = VoterSetChange{voter, false};
    }
  }
  const auto surplus = std::find_if(current.members.rbegin(), current.members.rend(),
                                    [&](const auto& voter) { return voter != self; });
  if (!removal && staying_voters > wanted && surplus != current.members.rend()) {
    removal = VoterSetChange{*surplus, false};
  }
  const bool add_wanted = addition && staying_voters < wanted;
  const bool room = current.members.size() < maximum_voters;
  if (add_wanted && room && keepsQuorum(current, *addition, answering)) {
    return addition;
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
