#include "cypresswall/membership/membership.h"

#include <algorithm>
#include <utility>

#include "cypresswall/common/prompt.h"

namespace cypresswall::membership {
Membership::Membership(MembershipSettings settings, const api::ProcessContext& context,
                       object_store::MachineList& machine_list)
    : settings_(std::move(settings)),
      context_(context),
      peers_(settings_),
      machines_(settings_, context, machine_list,
                {[this] { return peerNodes(); }, [this] { return rank(); }}),
      last_tick_(context.clock.now()),
      foreign_count_(context.counters.counter("cypresswall_membership_foreign_zone_total",
                                              "Introductions of nodes of another zone, dropped")),
      outdated_count_(context.counters.counter("cypresswall_membership_outdated_total",
                                               "Messages of an earlier life of a node, dropped")),
      pause_count_(context.counters.counter("cypresswall_membership_own_pauses_total",
                                            "Times this process stood still for long")),
      death_count_(context.counters.counter("cypresswall_membership_expired_total",
                                            "Times that silent or ended peers were removed")),
      hash_count_(context.counters.counter("cypresswall_membership_hashes_total",
                                           "Times that the hash over the members was worked out")) {
  own_details_ =
      NodeDetails{context_.zone, settings_.machine, settings_.gateway_address, false, 1, {}};
  if (settings_.link_megabits > 0) {
    own_details_.digests[static_cast<std::uint16_t>(DigestTopic::kLinkMegabits)] =
        static_cast<std::uint64_t>(settings_.link_megabits);
  }
  machines_.onChange([this] { notify(); });
  registerHandlers();
}

void Membership::registerHandlers() {
  auto& dispatcher = context_.dispatcher;
  dispatcher.handle<Heartbeat>([this](const common::NodeId& sender, const Heartbeat& heartbeat) {
    receiveHeartbeat(sender, heartbeat);
  });
  dispatcher.handle<NodeDetails>([this](const common::NodeId& sender, const NodeDetails& details) {
    receiveDetails(sender, details);
  });
  dispatcher.handle<DetailsRequest>([this](const common::NodeId& sender, const DetailsRequest&) {
    context_.sendTo(sender, own_details_);
  });
  dispatcher.handle<PeerList>([this](const common::NodeId& sender, const PeerList& list) {
    receivePeerList(sender, list);
  });
  dispatcher.handle<Goodbye>([this](const common::NodeId& sender, const Goodbye&) {
    if (peers_.remove(sender, context_.clock.now())) {
      death_count_.add();
      notify();
    }
  });
}

void Membership::start() {
  last_tick_ = context_.clock.now();
  probe();
  tick();
  machines_.start();
}

void Membership::tick() {
  context_.scheduler.schedule(settings_.heartbeat_interval, [this] { tick(); });
  const auto now = context_.clock.now();
  const auto late = now - last_tick_ - settings_.heartbeat_interval;
  last_tick_ = now;
  if (late > settings_.heartbeat_interval) {
    pause_count_.add();
    peers_.extend(late);
  }
  sendHeartbeats();
  if (peers_.expire(now)) {
    death_count_.add();
    notify();
  }
}

void Membership::sendHeartbeats() {
  const Heartbeat heartbeat{own_details_.version, membersHash(), machines_.version(),
                            machines_.reads()};
  for (const auto& [address, peer] : peers_.peers()) {
    context_.sendTo(peer.node, heartbeat);
  }
}

void Membership::probe() {
  context_.scheduler.schedule(settings_.probe_interval, [this] { probe(); });
  for (const auto& seed : settings_.seeds) {
    introduceTo(seed);
  }
  for (const auto& address : peers_.departed()) {
    introduceTo(address);
  }
  probeMachines();
}

void Membership::probeMachines() {
  const auto& hosts = machines_.liveAddresses();
  const auto& own = context_.self.address;
  const std::string port = own.substr(own.rfind(':') + 1);
  const auto count = std::min(settings_.machine_probes, hosts.size());
  auto host = hosts.upper_bound(probe_position_);
  for (std::size_t probed = 0; probed < count; ++probed) {
    if (host == hosts.end()) {
      host = hosts.begin();
    }
    probe_position_ = *host;
    introduceTo(*host + ":" + port);
    ++host;
  }
}

void Membership::introduceTo(const common::Address& address) {
  if (address != context_.self.address && !peers_.peers().contains(address)) {
    context_.sendToAddress(address, own_details_);
  }
}

void Membership::receiveHeartbeat(const common::NodeId& sender, const Heartbeat& heartbeat) {
  const auto contact = peers_.heard(sender, context_.clock.now());
  if (contact == PeerTable::Contact::kOutdated) {
    outdated_count_.add();
    return;
  }
  Peer* peer = peers_.find(sender);
  if (peer == nullptr) {
    context_.sendTo(sender, DetailsRequest{});
    return;
  }
  if (heartbeat.details_version > peer->details.version) {
    context_.sendTo(sender, DetailsRequest{});
  }
  if (heartbeat.members_hash != membersHash()) {
    sendPeerList(*peer);
  }
  machines_.heartbeatReceived(sender, heartbeat.machines_version, heartbeat.machine_reads);
}

void Membership::receiveDetails(const common::NodeId& sender, const NodeDetails& details) {
  if (details.zone != context_.zone) {
    foreign_count_.add();
    return;
  }
  if (sender.address == context_.self.address) {
    return;
  }
  const bool known = peers_.find(sender) != nullptr;
  if (!peers_.describe(sender, details, context_.clock.now())) {
    return;
  }
  if (!known) {
    context_.sendTo(sender, own_details_);
    sendPeerList(*peers_.find(sender));
  }
  notify();
}

void Membership::sendPeerList(Peer& peer) {
  const auto now = context_.clock.now();
  const bool sent_before = peer.last_peer_list != common::MonotonicTime{};
  if (sent_before && now - peer.last_peer_list < settings_.peer_list_interval) {
    return;
  }
  peer.last_peer_list = now;
  PeerList list{peerNodes()};
  list.members.push_back(context_.self);
  context_.sendTo(peer.node, list);
}

void Membership::receivePeerList(const common::NodeId& sender, const PeerList& list) {
  if (peers_.find(sender) == nullptr) {
    return;
  }
  for (const auto& node : list.members) {
    if (node.address != context_.self.address && !peers_.replaced(node) &&
        peers_.find(node) == nullptr) {
      context_.sendTo(node, own_details_);
    }
  }
}

std::vector<common::NodeId> Membership::peerNodes() const {
  std::vector<common::NodeId> nodes;
  for (const auto& [address, peer] : peers_.peers()) {
    nodes.push_back(peer.node);
  }
  return nodes;
}

std::size_t Membership::rank() const {
  std::size_t rank = 0;
  for (const auto& [address, peer] : peers_.peers()) {
    if (peer.state == MemberState::kAlive && peer.node < context_.self) {
      ++rank;
    }
  }
  return rank;
}

std::uint32_t Membership::membersHash() {
  if (members_hashed_at_ == peers_.changes()) {
    return members_hash_;
  }
  hash_count_.add();
  std::vector<common::NodeId> nodes = peerNodes();
  nodes.push_back(context_.self);
  std::sort(nodes.begin(), nodes.end());
  std::uint64_t hash = 0;
  for (const auto& node : nodes) {
    hash = common::hash64(node.toString(), hash);
  }
  members_hash_ = static_cast<std::uint32_t>(hash);
  members_hashed_at_ = peers_.changes();
  return members_hash_;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> members;
  members.push_back(Member{context_.self, settings_.machine,
                           leaving() ? MemberState::kLeaving : MemberState::kAlive,
                           settings_.gateway_address});
  for (const auto& [address, peer] : peers_.peers()) {
    if (peers_.replaced(peer.node)) {
      continue;
    }
    const bool peer_leaving =
        peer.details.leaving || machines_.machineLeaving(peer.details.machine);
    const auto state =
        peer.state == MemberState::kAlive && peer_leaving ? MemberState::kLeaving : peer.state;
    members.push_back(Member{peer.node, peer.details.machine, state, peer.details.gateway_address});
  }
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.node < b.node; });
  return members;
}

bool Membership::machineLeaving(const common::MachineName& machine) const {
  return machines_.machineLeaving(machine);
}

bool Membership::addressLeaving(const common::Address& address) const {
  return machines_.addressLeaving(address);
}

bool Membership::surelyDead(const common::NodeId& node) const {
  if (node == context_.self) {
    return false;
  }
  const bool own_earlier_life =
      node.address == context_.self.address && node.incarnation != context_.self.incarnation;
  return own_earlier_life || peers_.replaced(node) || machines_.addressGone(node.address);
}

void Membership::onChange(std::function<void()> listener) {
  listeners_.push_back(std::move(listener));
}

void Membership::announceLeaving() {
  if (!own_details_.leaving) {
    own_details_.leaving = true;
    detailsChanged();
    notify();
  }
}

void Membership::announceStopped() {
  for (const auto& node : peerNodes()) {
    context_.sendTo(node, Goodbye{});
  }
}

bool Membership::leaving() const {
  return own_details_.leaving || machines_.machineLeaving(settings_.machine);
}

void Membership::setDigest(DigestTopic topic, std::uint64_t value) {
  const auto [entry, added] = own_details_.digests.try_emplace(static_cast<std::uint16_t>(topic));
  if (added || entry->second != value) {
    entry->second = value;
    detailsChanged();
  }
}

std::optional<std::uint64_t> Membership::digest(const common::NodeId& node,
                                                DigestTopic topic) const {
  const Peer* peer = peers_.find(node);
  if (node != context_.self && peer == nullptr) {
    return std::nullopt;
  }
  const auto& digests = node == context_.self ? own_details_.digests : peer->details.digests;
  const auto entry = digests.find(static_cast<std::uint16_t>(topic));
  return entry == digests.end() ? std::nullopt : std::optional(entry->second);
}

void Membership::detailsChanged() {
  ++own_details_.version;
  for (const auto& node : peerNodes()) {
    context_.sendTo(node, own_details_);
  }
}

void Membership::notify() {
  for (const auto& listener : listeners_) {
    listener();
  }
}

}  // namespace cypresswall::membership
