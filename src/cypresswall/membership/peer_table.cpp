#include "cypresswall/membership/peer_table.h"

#include <algorithm>

namespace cypresswall::membership {

PeerTable::Contact PeerTable::heard(const common::NodeId& node, common::MonotonicTime now) {
  auto& newest = newest_incarnation_[node.address];
  if (node.incarnation < newest) {
    return Contact::kOutdated;
  }
  newest = node.incarnation;
  Peer* peer = find(node);
  if (peer == nullptr) {
    return Contact::kUnknown;
  }
  peer->last_heard = std::max(peer->last_heard, now);
  return Contact::kKnown;
}

bool PeerTable::describe(const common::NodeId& node, const NodeDetails& details,
                         common::MonotonicTime now) {
  const Contact contact = heard(node, now);
  if (contact == Contact::kOutdated) {
    return false;
  }
  if (contact == Contact::kUnknown) {
    peers_[node.address] = Peer{node, details, MemberState::kAlive, now, {}};
    departed_.erase(node.address);
    ++changes_;
    return true;
  }
  Peer& peer = peers_[node.address];
  if (details.version <= peer.details.version) {
    return false;
  }
  peer.details = details;
  return true;
}

bool PeerTable::expire(common::MonotonicTime now) {
  bool changed = false;
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    const auto silence = now - peer.last_heard;
    const bool outdated = replaced(peer.node);
    if (silence >= settings_.dead_after || outdated) {
      departed_[it->first] = now;
      it = peers_.erase(it);
      ++changes_;
      changed = true;
      continue;
    }
    const auto state =
        silence >= settings_.suspect_after ? MemberState::kSuspect : MemberState::kAlive;
    changed = changed || state != peer.state;
    peer.state = state;
    ++it;
  }
  std::erase_if(departed_, [&](const auto& entry) {
    const bool forget = now - entry.second > settings_.departed_retention;
    if (forget) {
      newest_incarnation_.erase(entry.first);
    }
    return forget;
  });
  return changed;
}

void PeerTable::extend(common::Duration pause) {
  for (auto& [address, peer] : peers_) {
    peer.last_heard += pause;
  }
}

bool PeerTable::remove(const common::NodeId& node, common::MonotonicTime now) {
  if (find(node) == nullptr) {
    return false;
  }
  peers_.erase(node.address);
  ++changes_;
  departed_[node.address] = now;
  return true;
}

Peer* PeerTable::find(const common::NodeId& node) {
  const auto it = peers_.find(node.address);
  return it != peers_.end() && it->second.node == node ? &it->second : nullptr;
}

const Peer* PeerTable::find(const common::NodeId& node) const {
  const auto it = peers_.find(node.address);
  return it != peers_.end() && it->second.node == node ? &it->second : nullptr;
}

bool PeerTable::replaced(const common::NodeId& node) const {
  const auto newest = newest_incarnation_.find(node.address);
  return newest != newest_incarnation_.end() && newest->second > node.incarnation;
}

std::vector<common::Address> PeerTable::departed() const {
  std::vector<common::Address> addresses;
  for (const auto& [address, since] : departed_) {
    addresses.push_back(address);
  }
  return addresses;
}

}  // namespace cypresswall::membership
