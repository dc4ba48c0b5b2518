#include "cypresswall/membership/peer_table.h"

#include <algorithm>
#include <tuple>

#include "cypresswall/common/prompt.h"

namespace cypresswall::membership {

PeerTable::Contact PeerTable::recordContact(const common::NodeId& node, common::MonotonicTime now) {
  auto& newest = newest_incarnation_[node.address];
  if (node.incarnation < newest) {
    return Contact::kOutdated;
  }
  newest = node.incarnation;
  Peer* peer = find(node);
  if (peer == nullptr) {
    return Contact::kUnknown;
  }
  peer->last_contact = std::max(peer->last_contact, now);
  return Contact::kKnown;
}

std::uint64_t PeerTable::memberHash(const common::NodeId& node, std::uint32_t details_version) {
  return common::hash64(node.address,
                        common::hash64(node.address, node.incarnation) + details_version);
}

PeerTable::DetailsResult PeerTable::applyDetails(const common::NodeId& node,
                                                 const NodeDetails& details,
                                                 common::MonotonicTime now) {
  auto& newest = newest_incarnation_[node.address];
  if (node.incarnation < newest) {
    return DetailsResult::kOutdated;
  }
  if (blockingDeparture(node, details.version, now)) {
    return DetailsResult::kDeparted;
  }
  newest = node.incarnation;
  Peer* const peer = find(node);
  if (peer == nullptr) {
    add(node, details, now);
    return DetailsResult::kAdded;
  }
  const auto known = std::tie(peer->details.version, peer->details.digests_version);
  if (std::tie(details.version, details.digests_version) <= known) {
    return DetailsResult::kUnchanged;
  }
  const bool only_digests = details.version == peer->details.version;
  setDetails(*peer, details);
  return only_digests ? DetailsResult::kDigestsChanged : DetailsResult::kDetailsChanged;
}

void PeerTable::add(const common::NodeId& node, const NodeDetails& details,
                    common::MonotonicTime now) {
  const auto earlier = peers_.find(node.address);
  if (earlier != peers_.end()) {
    hash_ -= memberHash(earlier->second.node, earlier->second.details.version);
  }
  peers_[node.address] = Peer{node, details, MemberState::kAlive, false, now};
  hash_ += memberHash(node, details.version);
  departed_.erase(node.address);
  ++changes_;
}

void PeerTable::setDetails(Peer& peer, const NodeDetails& details) {
  hash_ -= memberHash(peer.node, peer.details.version);
  peer.details = details;
  hash_ += memberHash(peer.node, peer.details.version);
}

std::map<common::Address, Peer>::iterator PeerTable::erase(
    std::map<common::Address, Peer>::iterator peer, common::MonotonicTime now) {
  const std::uint32_t version = peer->second.details.version;
  hash_ -= memberHash(peer->second.node, version);
  departed_[peer->first] = DepartedPeer{{peer->second.node, version}, DepartureCause::kSilent, now};
  ++changes_;
  return peers_.erase(peer);
}

void PeerTable::watch(const std::vector<common::NodeId>& nodes, common::MonotonicTime now) {
  const std::set<common::NodeId> wanted(nodes.begin(), nodes.end());
  for (auto& [address, peer] : peers_) {
    const bool watched = wanted.contains(peer.node);
    if (watched && !peer.watched) {
      peer.last_contact = now;
    }
    if (!watched) {
      peer.state = MemberState::kAlive;
    }
    peer.watched = watched;
  }
}

std::vector<Departure> PeerTable::expire(common::MonotonicTime now, bool& changed) {
  std::vector<Departure> dead;
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    const auto since_contact = peer.watched ? now - peer.last_contact : common::Duration{0};
    if (since_contact >= settings_.dead_after || replaced(peer.node)) {
      dead.push_back({peer.node, peer.details.version});
      it = erase(it, now);
      changed = true;
      continue;
    }
    const auto state =
        since_contact >= settings_.suspect_after ? MemberState::kSuspect : MemberState::kAlive;
    changed = changed || state != peer.state;
    peer.state = state;
    ++it;
  }
  std::erase_if(departed_, [&](const auto& entry) {
    const bool forget = now - entry.second.at > settings_.departed_retention;
    if (forget) {
      newest_incarnation_.erase(entry.first);
    }
    return forget;
  });
  return dead;
}

void PeerTable::extend(common::Duration pause) {
  for (auto& [address, peer] : peers_) {
    peer.last_contact += pause;
  }
}

bool PeerTable::remove(const Departure& departure, common::MonotonicTime now,
                       DepartureCause cause) {
  const common::NodeId& node = departure.node;
  const Peer* const peer = find(node);
  const auto newest = newest_incarnation_.find(node.address);
  const bool outdated = newest != newest_incarnation_.end() && newest->second > node.incarnation;
  const bool undone = peer != nullptr && peer->details.version > departure.details_version;
  if (outdated || undone || blockingDeparture(node, departure.details_version, now)) {
    return false;
  }
  if (peer != nullptr) {
    erase(peers_.find(node.address), now);
  }
  const auto earlier = departed_.find(node.address);
  const bool stopped = earlier != departed_.end() && earlier->second.departure.node == node &&
                       earlier->second.cause == DepartureCause::kStopped;
  departed_[node.address] =
      DepartedPeer{departure, stopped ? DepartureCause::kStopped : cause, now};
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

std::optional<Departure> PeerTable::blockingDeparture(const common::NodeId& node,
                                                      std::uint32_t details_version,
                                                      common::MonotonicTime now) const {
  const auto gone = departed_.find(node.address);
  const bool blocked = gone != departed_.end() && gone->second.departure.node == node &&
                       gone->second.departure.details_version >= details_version &&
                       now - gone->second.at < settings_.readmission_delay;
  return blocked ? std::optional(gone->second.departure) : std::nullopt;
}

std::vector<common::NodeId> PeerTable::silent() const {
  std::vector<common::NodeId> nodes;
  for (const auto& [address, peer] : peers_) {
    if (peer.state == MemberState::kSuspect) {
      nodes.push_back(peer.node);
    }
  }
  for (const auto& [address, gone] : departed_) {
    if (gone.cause == DepartureCause::kSilent) {
      nodes.push_back(gone.departure.node);
    }
  }
  return nodes;
}

std::vector<common::Address> PeerTable::departed() const {
  std::vector<common::Address> addresses;
  for (const auto& [address, gone] : departed_) {
    addresses.push_back(address);
  }
  return addresses;
}

}  // namespace cypresswall::membership
