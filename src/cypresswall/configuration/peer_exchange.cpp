#include "cypresswall/configuration/peer_exchange.h"

#include <algorithm>

#include "cypresswall/configuration/change_encoding.h"

namespace cypresswall::configuration {
namespace {

using membership::DigestTopic;
using membership::GossipTopic;
using membership::MemberState;

std::string encodeZoneVersions(const ZoneVersions& versions) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, versions);
  return {buffer.data(), buffer.size()};
}

}  // namespace

PeerExchange::PeerExchange(const ConfigurationSettings& settings,
                           const api::ProcessContext& context, ReplicaState& state,
                           membership::MembershipView& membership, membership::ZoneGossip& gossip)
    : settings_(settings),
      context_(context),
      state_(state),
      membership_(membership),
      gossip_(gossip),
      pulls_(context.counters.counter("cypresswall_configuration_pulls_total",
                                      "Requests to other nodes for missing changes")),
      unreadable_(context.counters.counter("cypresswall_configuration_unreadable_total",
                                           "Received changes and snapshots that can't be decoded",
                                           "source", "peer")) {
  registerHandlers();
  state_.onAdvance([this](std::uint64_t old_version, ChangeSource source) {
    onVersionAdvanced(old_version, source);
  });
  state_.onReady([this] { advertiseVersion(); });
}

void PeerExchange::registerHandlers() {
  auto& dispatcher = context_.dispatcher;
  dispatcher.handle<PullRequest>([this](const common::NodeId& sender, const PullRequest& request) {
    answerPull(sender, request);
  });
  dispatcher.handle<Changes>([this](const common::NodeId& sender, const Changes& message) {
    receiveChanges(sender, message);
  });
  dispatcher.handle<Snapshot>([this](const common::NodeId& sender, const Snapshot& message) {
    receiveSnapshot(sender, message);
  });
}

void PeerExchange::start() {
  started_ = context_.clock.now();
  membership_.onChange([this] {
    pullFromPeers();
    schedulePublication();
  });
  gossip_.onUpdate(GossipTopic::kConfiguration,
                   [this](const common::ZoneName& zone, const std::string& payload) {
                     if (zone == context_.zone) {
                       return;
                     }
                     try {
                       zones_[zone] = api::decodeBody<ZoneVersions>(payload);
                     } catch (const api::MessageError&) {
                       unreadable_.add();
                       return;
                     }
                     if (gossip_.representative()) {
                       pullFromZones();
                     }
                   });
  requestInitialConfiguration();
  repair();
}

void PeerExchange::requestInitialConfiguration() {
  if (state_.ready()) {
    return;
  }
  context_.scheduler.schedule(settings_.bootstrap_interval,
                              [this] { requestInitialConfiguration(); });
  pull_pending_ = false;
  std::vector<common::Address> peers;
  for (const auto& member : membership_.members()) {
    if (member.node != context_.self) {
      peers.push_back(member.node.address);
    }
  }
  if (!peers.empty()) {
    pull(peers[context_.random.below(peers.size())]);
  }
  // Nodes of other zones may lag behind the local zone, so they are asked only if no node of the
  // local zone has provided a configuration for a while.
  const auto contacts = gossip_.zoneContacts();
  const bool local_nodes_late = context_.clock.now() - started_ >= settings_.peer_bootstrap_delay;
  if (local_nodes_late && !contacts.empty()) {
    const auto zone = std::next(
        contacts.begin(), static_cast<std::ptrdiff_t>(context_.random.below(contacts.size())));
    pull_pending_ = false;
    pullFromZone(zone->first);
  }
}

void PeerExchange::repair() {
  context_.scheduler.schedule(settings_.repair_interval, [this] { repair(); });
  pullFromPeers();
  pullFromZones();
  schedulePublication();
}

void PeerExchange::pullFromPeers() {
  std::uint64_t newest = state_.log().version();
  common::Address address;
  for (const auto& member : membership_.members()) {
    const auto version = membership_.digest(member.node, DigestTopic::kConfigurationVersion);
    if (version && *version > newest) {
      newest = *version;
      address = member.node.address;
    }
  }
  if (!address.empty()) {
    pull(address);
  }
}

void PeerExchange::pullFromZones() {
  const auto ahead = std::max_element(zones_.begin(), zones_.end(), [](auto& left, auto& right) {
    return left.second.newest < right.second.newest;
  });
  const auto now = context_.clock.now();
  if (ahead == zones_.end() || ahead->second.newest <= state_.log().version()) {
    behind_zones_ = false;
    return;
  }
  if (!behind_zones_) {
    behind_zones_ = true;
    behind_since_ = now;
  }
  if (gossip_.representative() || now - behind_since_ >= settings_.cross_zone_pull_delay) {
    pullFromZone(ahead->first);
  }
}

void PeerExchange::pullFromZone(const common::ZoneName& zone) {
  const auto contacts = gossip_.zoneContacts();
  const auto found = contacts.find(zone);
  if (found != contacts.end() && !found->second.empty()) {
    pull(found->second[++pull_round_ % found->second.size()]);
  }
}

void PeerExchange::pull(const common::Address& address) {
  const auto now = context_.clock.now();
  if (pull_pending_ && now - last_pull_ < settings_.pull_timeout) {
    return;
  }
  pull_pending_ = true;
  last_pull_ = now;
  pulls_.add();
  const ChangeLog& log = state_.log();
  context_.sendToAddress(address, PullRequest{log.version(), log.digest(), state_.ready()});
}

void PeerExchange::answerPull(const common::NodeId& sender, const PullRequest& request) {
  const ChangeLog& log = state_.log();
  if (!state_.ready()) {
    context_.sendTo(sender, Changes{log.version(), false, false, {}});
    return;
  }
  if (request.after_version > log.version()) {
    context_.sendTo(sender, Changes{log.version(), true, false, {}});
    pull(sender.address);
    return;
  }
  const auto digest = log.digestAt(request.after_version);
  if (request.ready && digest && *digest != request.digest) {
    state_.recordFork("node " + sender.toString(), request.after_version);
    sendChanges(sender.address, request.after_version);
    return;
  }
  const bool first_snapshot = !request.ready && log.version() > 0;
  const bool retained =
      request.after_version == log.version() || log.find(request.after_version + 1) != nullptr;
  if (first_snapshot || !retained) {
    context_.sendTo(sender, Snapshot{encodeSnapshot(log.snapshot())});
  } else {
    context_.sendTo(sender, changesFrom(request.after_version + 1, false));
  }
}

Changes PeerExchange::changesFrom(std::uint64_t version, bool relay) const {
  Changes message{state_.log().version(), state_.ready(), relay, {}};
  for (const LoggedChange& entry : state_.log().from(version, settings_.message_bytes)) {
    message.changes.push_back(encodeChange(entry));
  }
  return message;
}

void PeerExchange::sendChanges(const common::Address& address, std::uint64_t version) {
  context_.sendToAddress(address, changesFrom(version, false));
}

void PeerExchange::receiveChanges(const common::NodeId& sender, const Changes& message) {
  pull_pending_ = false;
  std::vector<LoggedChange> entries;
  try {
    for (const std::string& text : message.changes) {
      entries.push_back(decodeChange(text));
    }
  } catch (const EncodingError&) {
    unreadable_.add();
    return;
  }
  const AppendResult result = state_.apply(entries, sourceOf(sender));
  if (result == AppendResult::kFork || !message.ready) {
    return;
  }
  if (state_.log().version() < message.newest_version) {
    pull(sender.address);
  } else {
    becomeReady();
  }
}

/// Marks this node as ready, unless the zone is known to have a newer version than the peer from
/// which this node got its configuration. The newer version is then pulled first, but readiness is
/// not delayed beyond ConfigurationSettings::store_bootstrap_delay.
void PeerExchange::becomeReady() {
  const bool waited = context_.clock.now() - started_ >= settings_.store_bootstrap_delay;
  if (!waited && ownZoneVersions().newest > state_.log().version()) {
    pullFromPeers();
    return;
  }
  state_.markReady();
}

void PeerExchange::receiveSnapshot(const common::NodeId& sender, const Snapshot& message) {
  pull_pending_ = false;
  try {
    state_.install(decodeSnapshot(message.snapshot), sourceOf(sender));
  } catch (const EncodingError&) {
    unreadable_.add();
    return;
  }
  becomeReady();
}

void PeerExchange::onVersionAdvanced(std::uint64_t old_version, ChangeSource source) {
  advertiseVersion();
  if (source == ChangeSource::kZonePeer || source == ChangeSource::kCommit) {
    return;
  }
  const Changes message = changesFrom(old_version + 1, false);
  if (message.changes.empty()) {
    return;
  }
  for (const auto& member : membership_.members()) {
    const auto version = membership_.digest(member.node, DigestTopic::kConfigurationVersion);
    if (member.node != context_.self && version.value_or(0) < state_.log().version()) {
      context_.sendTo(member.node, message);
    }
  }
}

void PeerExchange::announce(const LoggedChange& entry) {
  Changes message{state_.log().version(), state_.ready(), false, {encodeChange(entry)}};
  for (const auto& member : membership_.members()) {
    if (member.node != context_.self) {
      context_.sendTo(member.node, message);
    }
  }
  message.relay = true;
  for (const auto& [zone, addresses] : gossip_.zoneContacts()) {
    for (const common::Address& address : addresses) {
      context_.sendToAddress(address, message);
    }
  }
}

void PeerExchange::advertiseVersion() {
  if (state_.ready()) {
    membership_.setDigest(DigestTopic::kConfigurationVersion, state_.log().version());
    schedulePublication();
  }
}

void PeerExchange::schedulePublication() {
  if (publication_scheduled_ || !state_.ready()) {
    return;
  }
  publication_scheduled_ = true;
  const auto due = last_publication_ + settings_.publish_interval - context_.clock.now();
  context_.scheduler.schedule(std::max(due, common::Duration::zero()), [this] { publish(); });
}

void PeerExchange::publish() {
  publication_scheduled_ = false;
  last_publication_ = context_.clock.now();
  if (gossip_.representative()) {
    gossip_.publish(GossipTopic::kConfiguration, encodeZoneVersions(ownZoneVersions()));
  } else {
    gossip_.withdraw(GossipTopic::kConfiguration);
  }
}

ZoneVersions PeerExchange::ownZoneVersions() const {
  ZoneVersions versions{state_.log().version(), state_.log().version()};
  for (const auto& member : membership_.members()) {
    const auto version = membership_.digest(member.node, DigestTopic::kConfigurationVersion);
    if (version && member.node != context_.self && member.state != MemberState::kDead) {
      versions.newest = std::max(versions.newest, *version);
      versions.in_force = std::min(versions.in_force, *version);
    }
  }
  return versions;
}

std::map<common::ZoneName, ZoneVersions> PeerExchange::zoneVersions() const {
  auto versions = zones_;
  versions[context_.zone] = ownZoneVersions();
  return versions;
}

bool PeerExchange::isZonePeer(const common::NodeId& node) const {
  const auto& members = membership_.members();
  return std::any_of(members.begin(), members.end(),
                     [&](const membership::Member& member) { return member.node == node; });
}

ChangeSource PeerExchange::sourceOf(const common::NodeId& sender) const {
  return isZonePeer(sender) ? ChangeSource::kZonePeer : ChangeSource::kOtherZone;
}

}  // namespace cypresswall::configuration
