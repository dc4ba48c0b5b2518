#include "cypresswall/membership/membership.h"

#include <algorithm>
#include <utility>

#include "cypresswall/membership/member_packing.h"

namespace cypresswall::membership {

Membership::Membership(MembershipSettings settings, const api::ProcessContext& context,
                       object_store::MachineList& machine_list)
    : settings_(std::move(settings)),
      context_(context),
      peers_(settings_),
      machines_(settings_, context, machine_list,
                {[this] { return peerNodes(); }, [this] { return rank(); }}),
      started_at_(context.clock.now()),
      last_tick_(context.clock.now()),
      foreign_count_(context.counters.counter("cypresswall_membership_foreign_zone_total",
                                              "Introductions of nodes of another zone, dropped")),
      outdated_count_(context.counters.counter("cypresswall_membership_outdated_total",
                                               "Messages of an earlier life of a node, dropped")),
      pause_count_(context.counters.counter("cypresswall_membership_own_pauses_total",
                                            "Times this process stood still for long")),
      death_count_(context.counters.counter("cypresswall_membership_expired_total",
                                            "Times that silent or ended peers were removed")),
      unreadable_count_(context.counters.counter("cypresswall_membership_unreadable_total",
                                                 "Lists of members that could not be read")),
      comparison_count_(
          context.counters.counter("cypresswall_membership_comparisons_total",
                                   "Times that a neighbour saw other members for long")),
      refuted_count_(context.counters.counter("cypresswall_membership_refuted_total",
                                              "Times that this node was taken for dead wrongly")) {
  own_details_ =
      NodeDetails{context_.zone, settings_.machine, settings_.gateway_address, false, 1, {}, 1};
  own_details_.digests[static_cast<std::uint16_t>(DigestTopic::kMessageSet)] =
      static_cast<std::uint64_t>(api::kHandledMessages);
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
  dispatcher.handle<Introduction>(
      [this](const common::NodeId& sender, const Introduction& introduction) {
        receiveIntroduction(sender, introduction);
      });
  dispatcher.handle<DetailsRequest>([this](const common::NodeId& sender, const DetailsRequest&) {
    context_.sendTo(sender, Introduction{own_details_, false});
  });
  dispatcher.handle<MembershipUpdate>(
      [this](const common::NodeId& sender, const MembershipUpdate& update) {
        receiveUpdate(sender, update);
      });
  dispatcher.handle<MemberVersions>(
      [this](const common::NodeId& sender, const MemberVersions& versions) {
        receiveVersions(sender, versions);
      });
  dispatcher.handle<ShutdownNotice>([this](const common::NodeId& sender, const ShutdownNotice&) {
    const Peer* const peer = peers_.find(sender);
    if (peer != nullptr &&
        applyDeparture({sender, peer->details.version}, PeerTable::DepartureCause::kStopped)) {
      notify();
    }
  });
}

void Membership::start() {
  last_tick_ = context_.clock.now();
  started_at_ = last_tick_;
  join();
  probe();
  tick();
  machines_.start();
}

void Membership::tick() {
  context_.scheduler.schedule(settings_.heartbeat_interval, [this] { tick(); });
  const auto now = context_.clock.now();
  const auto overrun = now - last_tick_ - settings_.heartbeat_interval;
  last_tick_ = now;
  if (overrun > settings_.heartbeat_interval) {
    pause_count_.add();
    peers_.extend(overrun);
  }
  sendHeartbeats();
  expirePeers();
}

bool Membership::mesh() const { return peers_.peers().size() < settings_.neighbours.mesh_limit; }

const Neighbours& Membership::neighbours() {
  if (neighbours_version_ != peers_.changes()) {
    neighbours_ = findNeighbours(settings_.neighbours, context_.self, peerNodes());
    neighbours_version_ = peers_.changes();
    peers_.watch(neighbours_.predecessors, context_.clock.now());
    std::erase_if(diverging_since_,
                  [this](const auto& entry) { return peers_.find(entry.first) == nullptr; });
  }
  return neighbours_;
}

void Membership::sendHeartbeats() {
  const Heartbeat heartbeat{own_details_.version, membersHash(), machines_.version(),
                            machines_.reads()};
  for (const auto& node : neighbours().successors) {
    context_.sendTo(node, heartbeat);
  }
}

void Membership::expirePeers() {
  bool changed = false;
  for (const Departure& departure : peers_.expire(context_.clock.now(), changed)) {
    death_count_.add();
    enqueueUpdate(departure);
  }
  if (changed) {
    notify();
  }
}

/// Seeds may be down or outdated, so they are tried in turn until one replies with its member list.
void Membership::join() {
  if (!joining_ || settings_.seeds.empty()) {
    return;
  }
  context_.scheduler.schedule(settings_.join_interval, [this] { join(); });
  const auto& seed = settings_.seeds[next_seed_++ % settings_.seeds.size()];
  const bool own = seed == context_.self.address;
  introduceTo(own ? settings_.seeds[next_seed_++ % settings_.seeds.size()] : seed);
}

void Membership::probe() {
  context_.scheduler.schedule(settings_.probe_interval, [this] { probe(); });
  std::vector<common::Address> addresses = peers_.departed();
  addresses.insert(addresses.end(), settings_.seeds.begin(), settings_.seeds.end());
  if (mesh()) {
    for (const auto& address : addresses) {
      introduceTo(address);
    }
  } else if (!addresses.empty()) {
    // In a large zone the nodes share the probing: each picks one address at random.
    introduceTo(addresses[context_.random.below(addresses.size())]);
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
  if (address != context_.self.address && (joining_ || !peers_.peers().contains(address))) {
    context_.sendToAddress(address, Introduction{own_details_, true});
  }
}

void Membership::receiveHeartbeat(const common::NodeId& sender, const Heartbeat& heartbeat) {
  const auto now = context_.clock.now();
  const auto contact = peers_.recordContact(sender, now);
  if (contact == PeerTable::Contact::kOutdated) {
    outdated_count_.add();
    return;
  }
  const Peer* const peer = peers_.find(sender);
  if (peer == nullptr) {
    // The sender may be a newer incarnation of a member. members() then omits the older one, so the
    // cache is no longer valid.
    members_valid_ = false;
    if (const auto departure = peers_.blockingDeparture(sender, heartbeat.details_version, now)) {
      context_.sendTo(sender, MembershipUpdate{{}, {*departure}, false});
    } else {
      context_.sendTo(sender, DetailsRequest{});
    }
    return;
  }
  if (heartbeat.details_version > peer->details.version) {
    context_.sendTo(sender, DetailsRequest{});
  }
  compareWith(sender, heartbeat.members_hash);
  machines_.heartbeatReceived(sender, heartbeat.machines_version, heartbeat.machine_reads);
}

void Membership::compareWith(const common::NodeId& peer, std::uint32_t members_hash) {
  if (members_hash == membersHash()) {
    diverging_since_.erase(peer);
    return;
  }
  const auto now = context_.clock.now();
  const auto since = diverging_since_.try_emplace(peer, now).first->second;
  const bool lasting = mesh() || now - since >= settings_.divergence_limit;
  const bool compared = compared_at_ && now - *compared_at_ < settings_.comparison_interval;
  if (!lasting || compared) {
    return;
  }
  compared_at_ = now;
  comparison_count_.add();
  context_.sendTo(peer, ownVersions(true));
}

MemberVersions Membership::ownVersions(bool answer_wanted) const {
  MemberVersions versions;
  versions.answer_wanted = answer_wanted;
  versions.members.push_back({context_.self, own_details_.version});
  for (const auto& [address, peer] : peers_.peers()) {
    versions.members.push_back({peer.node, peer.details.version});
  }
  return versions;
}

void Membership::receiveVersions(const common::NodeId& sender, const MemberVersions& versions) {
  const MembershipUpdate update = updateFor(versions);
  if (!update.packed_records.empty() || !update.departures.empty()) {
    context_.sendTo(sender, update);
  }
  const auto lacks = [this](const MemberVersion& member) {
    const Peer* const peer = peers_.find(member.node);
    const bool older = peer == nullptr || peer->details.version < member.details_version;
    return older && member.node != context_.self && !peers_.replaced(member.node) &&
           !peers_.blockingDeparture(member.node, member.details_version, context_.clock.now());
  };
  if (versions.answer_wanted &&
      std::any_of(versions.members.begin(), versions.members.end(), lacks)) {
    context_.sendTo(sender, ownVersions(false));
  }
}

MembershipUpdate Membership::updateFor(const MemberVersions& versions) const {
  std::map<common::NodeId, std::uint32_t> known;
  MembershipUpdate update;
  for (const MemberVersion& member : versions.members) {
    known[member.node] = member.details_version;
    const auto departure =
        peers_.blockingDeparture(member.node, member.details_version, context_.clock.now());
    if (departure) {
      update.departures.push_back(*departure);
    } else if (peers_.replaced(member.node)) {
      // The newer incarnation need not be sent here: it is either among the records below or has
      // departed as well.
      update.departures.push_back({member.node, member.details_version});
    }
  }
  std::vector<MemberRecord> records = allRecords();
  std::erase_if(records, [&known](const MemberRecord& record) {
    const auto version = known.find(record.node);
    return version != known.end() && version->second >= record.details.version;
  });
  update.packed_records = packMembers(records);
  return update;
}

std::vector<MemberRecord> Membership::allRecords() const {
  std::vector<MemberRecord> records;
  records.reserve(peers_.peers().size() + 1);
  records.push_back({context_.self, own_details_});
  for (const auto& [address, peer] : peers_.peers()) {
    records.push_back({peer.node, peer.details});
  }
  return records;
}

bool Membership::recordOf(const common::NodeId& node, MemberRecord& record) const {
  const Peer* const peer = peers_.find(node);
  if (node != context_.self && peer == nullptr) {
    return false;
  }
  record = {node, peer == nullptr ? own_details_ : peer->details};
  return true;
}

void Membership::receiveIntroduction(const common::NodeId& sender,
                                     const Introduction& introduction) {
  const NodeDetails& details = introduction.details;
  if (details.zone != context_.zone) {
    foreign_count_.add();
    return;
  }
  if (sender.address == context_.self.address) {
    return;
  }
  const auto now = context_.clock.now();
  if (peers_.recordContact(sender, now) == PeerTable::Contact::kOutdated) {
    outdated_count_.add();
    return;
  }
  if (const auto departure = peers_.blockingDeparture(sender, details.version, now)) {
    context_.sendTo(sender, MembershipUpdate{{}, {*departure}, false});
    return;
  }
  const bool known = peers_.find(sender) != nullptr;
  applySelfReport(sender, details);
  if (introduction.wants_members) {
    joiners_.insert(sender);
    scheduleUpdate(mesh() ? common::Duration{0} : settings_.join_reply_interval);
  } else if (!known) {
    context_.sendTo(sender, Introduction{own_details_, false});
  }
}

void Membership::applySelfReport(const common::NodeId& node, const NodeDetails& details) {
  using DetailsResult = PeerTable::DetailsResult;
  const DetailsResult result = peers_.applyDetails(node, details, context_.clock.now());
  // In a full mesh a known member announces changes of its details to all other nodes itself.
  if (result == DetailsResult::kAdded || (result == DetailsResult::kDetailsChanged && !mesh())) {
    enqueueUpdate(node);
  }
  if (result != DetailsResult::kUnchanged) {
    notify();
  }
}

/// A node forwards a departure even if it did not know the member, since its receivers may know it.
bool Membership::applyDeparture(const Departure& departure, PeerTable::DepartureCause cause) {
  const bool known = peers_.find(departure.node) != nullptr;
  if (!peers_.remove(departure, context_.clock.now(), cause)) {
    return false;
  }
  enqueueUpdate(departure);
  death_count_.add(known ? 1 : 0);
  return known;
}

void Membership::refute(std::uint32_t details_version) {
  if (details_version < own_details_.version) {
    return;
  }
  refuted_count_.add();
  own_details_.version = details_version;
  detailsChanged(false);
}

void Membership::receiveUpdate(const common::NodeId& sender, const MembershipUpdate& update) {
  const auto records = unpackMembers(update.packed_records);
  if (!records) {
    unreadable_count_.add();
    return;
  }
  // The list received on joining is already known to the other nodes and is not forwarded.
  const bool first_list = update.complete && std::exchange(joining_, false);
  bool changed = false;
  for (const MemberRecord& record : *records) {
    if (record.node.address == context_.self.address || record.details.zone != context_.zone) {
      continue;
    }
    const auto result = peers_.applyDetails(record.node, record.details, context_.clock.now());
    const bool is_new = result == PeerTable::DetailsResult::kAdded ||
                        result == PeerTable::DetailsResult::kDetailsChanged;
    if (is_new && !first_list && !mesh()) {
      enqueueUpdate(record.node);
    }
    changed = changed || is_new || result == PeerTable::DetailsResult::kDigestsChanged;
  }
  for (const Departure& departure : update.departures) {
    if (departure.node == context_.self) {
      refute(departure.details_version);
      context_.sendTo(sender, Introduction{own_details_, false});
    } else if (hadRecentContact(departure.node)) {
      // The departure is wrong, as this node still receives heartbeats of the departed node. Only
      // newer details undo a departure, so that node is told of it and has to announce them.
      context_.sendTo(departure.node, MembershipUpdate{{}, {departure}, false});
    } else {
      changed = applyDeparture(departure, PeerTable::DepartureCause::kSilent) || changed;
    }
  }
  if (changed) {
    notify();
  }
}

bool Membership::hadRecentContact(const common::NodeId& node) const {
  const Peer* const peer = peers_.find(node);
  return peer != nullptr && peer->watched &&
         context_.clock.now() - peer->last_contact < settings_.heartbeat_interval * 2;
}

void Membership::enqueueUpdate(const common::NodeId& node) {
  pending_records_.insert(node);
  scheduleUpdate(settings_.update_interval);
}

void Membership::enqueueUpdate(const Departure& departure) {
  if (!mesh()) {
    pending_departures_.push_back(departure);
    scheduleUpdate(settings_.update_interval);
  }
}

void Membership::scheduleUpdate(common::Duration delay) {
  if (update_timer_ == 0) {
    update_timer_ = context_.scheduler.schedule(delay, [this] {
      update_timer_ = 0;
      answerJoiners();
      sendUpdate();
    });
  }
}

void Membership::answerJoiners() {
  if (joiners_.empty()) {
    return;
  }
  const MembershipUpdate list{packMembers(allRecords()), {}, true};
  for (const auto& joiner : std::exchange(joiners_, {})) {
    context_.sendTo(joiner, list);
  }
}

void Membership::sendUpdate() {
  std::vector<MemberRecord> records;
  for (const auto& node : std::exchange(pending_records_, {})) {
    MemberRecord record;
    if (recordOf(node, record)) {
      records.push_back(std::move(record));
    }
  }
  const MembershipUpdate update{packMembers(records), std::exchange(pending_departures_, {}),
                                false};
  if (records.empty() && update.departures.empty()) {
    return;
  }
  for (const auto& receiver : neighbours().update_receivers) {
    context_.sendTo(receiver, update);
  }
}

std::vector<common::NodeId> Membership::peerNodes() const {
  std::vector<common::NodeId> nodes;
  nodes.reserve(peers_.peers().size());
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

bool Membership::joining() const {
  const bool has_seeds =
      std::any_of(settings_.seeds.begin(), settings_.seeds.end(),
                  [this](const common::Address& seed) { return seed != context_.self.address; });
  return joining_ && has_seeds && context_.clock.now() - started_at_ < settings_.join_timeout;
}

std::uint32_t Membership::membersHash() const {
  return static_cast<std::uint32_t>(peers_.hash() +
                                    PeerTable::memberHash(context_.self, own_details_.version));
}

const std::vector<Member>& Membership::members() const {
  if (std::exchange(members_valid_, true)) {
    return members_;
  }
  members_.clear();
  members_.push_back(Member{context_.self, settings_.machine,
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
    members_.push_back(
        Member{peer.node, peer.details.machine, state, peer.details.gateway_address});
  }
  std::sort(members_.begin(), members_.end(),
            [](const Member& a, const Member& b) { return a.node < b.node; });
  return members_;
}

bool Membership::machineLeaving(const common::MachineName& machine) const {
  return machines_.machineLeaving(machine);
}

bool Membership::addressLeaving(const common::Address& address) const {
  return machines_.addressLeaving(address);
}

bool Membership::confirmedDead(const common::NodeId& node) const {
  if (node == context_.self) {
    return false;
  }
  const bool own_earlier_incarnation =
      node.address == context_.self.address && node.incarnation != context_.self.incarnation;
  return own_earlier_incarnation || peers_.replaced(node) || machines_.isAddressGone(node.address);
}

std::vector<common::NodeId> Membership::silentNodes() const {
  auto nodes = peers_.silent();
  std::erase_if(nodes, [this](const common::NodeId& node) { return confirmedDead(node); });
  return nodes;
}

void Membership::onChange(std::function<void()> listener) {
  listeners_.push_back(std::move(listener));
}

void Membership::announceLeaving() {
  if (!own_details_.leaving) {
    own_details_.leaving = true;
    detailsChanged(false);
    notify();
  }
}

void Membership::announceStopped() {
  for (const auto& node : neighbours().successors) {
    context_.sendTo(node, ShutdownNotice{});
  }
}

bool Membership::leaving() const {
  return own_details_.leaving || machines_.machineLeaving(settings_.machine);
}

void Membership::setDigest(DigestTopic topic, std::uint64_t value) {
  const auto [entry, added] = own_details_.digests.try_emplace(static_cast<std::uint16_t>(topic));
  if (added || entry->second != value) {
    entry->second = value;
    detailsChanged(true);
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

/// Digests are sent to the receivers of this node's heartbeats only, other changes to the zone.
void Membership::detailsChanged(bool digests_only) {
  ++(digests_only ? own_details_.digests_version : own_details_.version);
  if (mesh() || digests_only) {
    for (const auto& node : neighbours().successors) {
      context_.sendTo(node, Introduction{own_details_, false});
    }
  } else {
    pending_records_.insert(context_.self);
    sendUpdate();
  }
}

void Membership::notify() {
  members_valid_ = false;
  for (const auto& listener : listeners_) {
    listener();
  }
}

}  // namespace cypresswall::membership
