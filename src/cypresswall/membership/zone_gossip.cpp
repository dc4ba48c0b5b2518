#include "cypresswall/membership/zone_gossip.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cypresswall/common/prompt.h"
#include "cypresswall/membership/zone_links.h"

namespace cypresswall::membership {
namespace {

constexpr auto kContactsTopic = static_cast<std::uint16_t>(GossipTopic::kContacts);

std::string encodeContacts(const ZoneContacts& contacts) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, contacts);
  return {buffer.data(), buffer.size()};
}

std::uint32_t hashOf(const std::string& payload) {
  return static_cast<std::uint32_t>(common::hash64(payload));
}

std::optional<ZoneContacts> decodeContacts(const std::string& payload) {
  try {
    return api::decodeBody<ZoneContacts>(payload);
  } catch (const api::MessageError&) {
    return std::nullopt;
  }
}

}  // namespace

ZoneGossip::ZoneGossip(MembershipSettings settings, const api::ProcessContext& context,
                       MembershipView& membership)
    : settings_(std::move(settings)),
      context_(context),
      membership_(membership),
      start_time_(context.clock.now()),
      refused_count_(context.counters.counter("cypresswall_gossip_refused_total",
                                              "Gossip entries over a limit, dropped")) {
  registerHandlers();
}

void ZoneGossip::registerHandlers() {
  auto& dispatcher = context_.dispatcher;
  dispatcher.handle<GossipEntries>(
      [this](const common::NodeId& sender, const GossipEntries& message) {
        receiveEntries(sender, message);
      });
  dispatcher.handle<GossipRefreshes>(
      [this](const common::NodeId& sender, const GossipRefreshes& message) {
        receiveRefreshes(sender, message);
      });
  dispatcher.handle<GossipDigest>([this](const common::NodeId& sender, const GossipDigest& digest) {
    receiveDigest(sender, digest);
  });
  dispatcher.handle<GossipVersions>(
      [this](const common::NodeId& sender, const GossipVersions& versions) {
        receiveVersions(sender, versions);
      });
}

void ZoneGossip::start() {
  membership_.onChange([this] { publishContacts(); });
  refresh();
}

bool ZoneGossip::representative() const {
  // While joining, this node may know no other node and lacks the zone's gossip state.
  if (membership_.joining()) {
    return false;
  }
  for (const auto& member : membership_.members()) {
    if (member.state == MemberState::kAlive) {
      return member.node == context_.self;
    }
  }
  return false;
}

void ZoneGossip::refresh() {
  context_.scheduler.schedule(settings_.gossip_refresh_interval, [this] { refresh(); });
  ++refresh_round_;
  publishContacts();
  for (const auto& [topic, payload] : published_) {
    publish(static_cast<GossipTopic>(topic), std::string(payload));
  }
  const GossipDigest digest{context_.zone, tableHash()};
  const auto zone_peers = peers();
  if (!zone_peers.empty()) {
    context_.sendTo(zone_peers[context_.random.below(zone_peers.size())], digest);
  }
  if (!representative()) {
    return;
  }
  const auto contacts = zoneContacts();
  for (const auto& zone : links()) {
    const auto known = contacts.find(zone);
    if (known != contacts.end() && !known->second.empty()) {
      context_.sendToAddress(known->second[refresh_round_ % known->second.size()], digest);
    }
  }
}

void ZoneGossip::publishContacts() {
  if (!representative()) {
    return;
  }
  ZoneContacts contacts{settings_.region, {}};
  for (const auto& member : membership_.members()) {
    if (member.state == MemberState::kAlive &&
        contacts.addresses.size() < settings_.contacts_per_zone) {
      contacts.addresses.push_back(member.node.address);
    }
  }
  const std::string payload = encodeContacts(contacts);
  const auto now = context_.clock.now();
  const bool due = now - contacts_time_ >= settings_.zone_silent_after / 3;
  const Value& known = table_[{context_.zone, kContactsTopic}];
  if (known.payload == payload && !due) {
    return;
  }
  contacts_time_ = now;
  store({context_.zone, kContactsTopic, known.version + 1, payload}, context_.zone, true);
}

bool ZoneGossip::publish(GossipTopic topic, std::string payload) {
  const auto number = static_cast<std::uint16_t>(topic);
  if (payload.size() > settings_.maximum_gossip_payload) {
    refused_count_.add();
    return false;
  }
  published_[number] = payload;
  const Value& known = table_[{context_.zone, number}];
  if (known.version == 0 || known.payload != payload) {
    store({context_.zone, number, known.version + 1, std::move(payload)}, context_.zone, true);
  }
  return true;
}

void ZoneGossip::withdraw(GossipTopic topic) {
  published_.erase(static_cast<std::uint16_t>(topic));
}

void ZoneGossip::onUpdate(GossipTopic topic, UpdateListener listener) {
  listeners_[static_cast<std::uint16_t>(topic)].push_back(std::move(listener));
}

bool ZoneGossip::acceptable(const GossipEntry& entry) const {
  if (entry.version == 0 || entry.payload.size() > settings_.maximum_gossip_payload ||
      entry.topic > settings_.maximum_gossip_topics) {
    return false;
  }
  return last_contact_.contains(entry.zone) ||
         last_contact_.size() < settings_.maximum_gossip_zones;
}

void ZoneGossip::store(const GossipEntry& entry, const common::ZoneName& source, bool to_peers) {
  if (!acceptable(entry)) {
    refused_count_.add();
    return;
  }
  const Key key{entry.zone, entry.topic};
  Value& value = table_[key];
  if (entry.version <= value.version) {
    return;
  }
  last_contact_[entry.zone] = context_.clock.now();
  const bool refresh = value.version != 0 && value.payload == entry.payload;
  value = Value{entry.version, entry.payload, source};
  Outbox& outbox = refresh ? refreshes_ : changes_;
  if (!refresh) {
    refreshes_.to_peers.erase(key);
    refreshes_.to_links.erase(key);
  }
  if (to_peers) {
    outbox.to_peers.insert(key);
  }
  outbox.to_links.insert(key);
  scheduleFlush(
      outbox, refresh ? settings_.gossip_refresh_flush_interval : settings_.gossip_flush_interval);
  if (refresh) {
    return;
  }
  const auto listeners = listeners_.find(entry.topic);
  if (listeners != listeners_.end()) {
    for (const auto& listener : listeners->second) {
      listener(entry.zone, entry.payload);
    }
  }
}

void ZoneGossip::scheduleFlush(Outbox& outbox, common::Duration delay) {
  if (outbox.flush_scheduled) {
    return;
  }
  outbox.flush_scheduled = true;
  context_.scheduler.schedule(delay, [this, &outbox] { flush(outbox); });
}

GossipEntry ZoneGossip::entryOf(const Key& key) const {
  const Value& value = table_.at(key);
  return GossipEntry{key.first, key.second, value.version, value.payload};
}

void ZoneGossip::flush(Outbox& outbox) {
  outbox.flush_scheduled = false;
  const auto peer_keys = std::exchange(outbox.to_peers, {});
  const auto link_keys = std::exchange(outbox.to_links, {});
  for (const auto& peer : peers()) {
    sendKeys(peer.address, outbox, {peer_keys.begin(), peer_keys.end()});
  }
  if (!representative()) {
    return;
  }
  const auto contacts = zoneContacts();
  for (const auto& zone : links()) {
    std::vector<Key> keys;
    std::copy_if(link_keys.begin(), link_keys.end(), std::back_inserter(keys), [&](const Key& key) {
      return key.first != zone && table_.at(key).source != zone;
    });
    const auto known = contacts.find(zone);
    for (const auto& address : known->second) {
      sendKeys(address, outbox, keys);
    }
  }
}

void ZoneGossip::sendKeys(const common::Address& address, const Outbox& outbox,
                          const std::vector<Key>& keys) const {
  if (keys.empty()) {
    return;
  }
  if (&outbox == &changes_) {
    std::vector<GossipEntry> entries;
    entries.reserve(keys.size());
    std::transform(keys.begin(), keys.end(), std::back_inserter(entries),
                   [this](const Key& key) { return entryOf(key); });
    sendEntries(address, entries);
    return;
  }
  GossipRefreshes message{context_.zone, {}};
  for (const Key& key : keys) {
    const Value& value = table_.at(key);
    message.entries.push_back({key.first, key.second, value.version, hashOf(value.payload)});
  }
  context_.sendToAddress(address, message);
}

void ZoneGossip::sendEntries(const common::Address& address,
                             const std::vector<GossipEntry>& entries) const {
  if (!entries.empty()) {
    context_.sendToAddress(address, GossipEntries{context_.zone, entries});
  }
}

void ZoneGossip::receiveEntries(const common::NodeId& sender, const GossipEntries& message) {
  bool sender_behind = false;
  for (const auto& entry : message.entries) {
    sender_behind = sender_behind || versionOf({entry.zone, entry.topic}) > entry.version;
    store(entry, message.sender_zone, message.sender_zone != context_.zone);
  }
  // A zone whose nodes all restarted counts its versions from one again, and must first learn the
  // last version that it used before.
  if (sender_behind) {
    context_.sendTo(sender, ownVersions(true));
  }
}

void ZoneGossip::receiveRefreshes(const common::NodeId& sender, const GossipRefreshes& message) {
  bool differs = false;
  for (const auto& refresh : message.entries) {
    const Key key{refresh.zone, refresh.topic};
    const auto known = table_.find(key);
    if (versionOf(key) < refresh.version && known != table_.end() &&
        hashOf(known->second.payload) == refresh.payload_hash) {
      const std::string payload = known->second.payload;
      store({refresh.zone, refresh.topic, refresh.version, payload}, message.sender_zone,
            message.sender_zone != context_.zone);
    }
    differs = differs || versionOf(key) != refresh.version;
  }
  if (differs) {
    context_.sendTo(sender, ownVersions(true));
  }
}

std::uint64_t ZoneGossip::versionOf(const Key& key) const {
  const auto known = table_.find(key);
  return known == table_.end() ? 0 : known->second.version;
}

void ZoneGossip::receiveDigest(const common::NodeId& sender, const GossipDigest& digest) {
  if (digest.hash != tableHash()) {
    context_.sendTo(sender, ownVersions(true));
  }
}

GossipVersions ZoneGossip::ownVersions(bool answer_wanted) const {
  GossipVersions versions{context_.zone, {}, answer_wanted};
  for (const auto& [key, value] : table_) {
    versions.versions.push_back({key.first, key.second, value.version});
  }
  return versions;
}

void ZoneGossip::receiveVersions(const common::NodeId& sender, const GossipVersions& versions) {
  std::map<Key, std::uint64_t> known;
  for (const auto& version : versions.versions) {
    known[{version.zone, version.topic}] = version.version;
  }
  std::vector<GossipEntry> newer;
  for (const auto& [key, value] : table_) {
    const auto other = known.find(key);
    if (value.version > (other == known.end() ? 0 : other->second)) {
      newer.push_back(entryOf(key));
    }
  }
  sendEntries(sender.address, newer);
  if (versions.answer_wanted) {
    context_.sendTo(sender, ownVersions(false));
  }
}

std::uint64_t ZoneGossip::tableHash() const {
  std::uint64_t hash = 0;
  for (const auto& [key, value] : table_) {
    hash = common::hash64(key.first, hash);
    hash = common::hash64(std::to_string(key.second), hash);
    hash = common::hash64(value.payload, hash);
  }
  return hash;
}

std::map<common::ZoneName, std::vector<common::Address>> ZoneGossip::zoneContacts() const {
  std::map<common::ZoneName, std::vector<common::Address>> contacts;
  for (const auto& seed : settings_.other_zones) {
    contacts[seed.zone] = seed.addresses;
  }
  for (const auto& [zone, payload] : values(GossipTopic::kContacts)) {
    const auto decoded = decodeContacts(payload);
    if (decoded && !decoded->addresses.empty()) {
      contacts[zone] = decoded->addresses;
    }
  }
  contacts.erase(context_.zone);
  for (auto& [zone, addresses] : contacts) {
    addresses.resize(std::min(addresses.size(), settings_.contacts_per_zone));
  }
  return contacts;
}

std::vector<common::Address> ZoneGossip::contactsOf(const common::ZoneName& zone) const {
  std::vector<common::Address> addresses;
  const auto known = table_.find({zone, kContactsTopic});
  if (known != table_.end()) {
    if (auto decoded = decodeContacts(known->second.payload)) {
      addresses = std::move(decoded->addresses);
    }
  }
  for (const auto& seed : settings_.other_zones) {
    if (addresses.empty() && seed.zone == zone) {
      addresses = seed.addresses;
    }
  }
  addresses.resize(std::min(addresses.size(), settings_.contacts_per_zone));
  return addresses;
}

std::map<common::ZoneName, std::string> ZoneGossip::values(GossipTopic topic) const {
  std::map<common::ZoneName, std::string> values;
  for (const auto& [key, value] : table_) {
    if (key.second == static_cast<std::uint16_t>(topic) && value.version != 0) {
      values[key.first] = value.payload;
    }
  }
  return values;
}

std::vector<common::ZoneName> ZoneGossip::links() const {
  std::map<common::ZoneName, LinkCandidate> zones;
  for (const auto& seed : settings_.other_zones) {
    zones[seed.zone].region = seed.region;
  }
  for (const auto& [zone, payload] : values(GossipTopic::kContacts)) {
    if (const auto decoded = decodeContacts(payload)) {
      zones[zone].region = decoded->region;
    }
  }
  const auto now = context_.clock.now();
  for (auto& [zone, candidate] : zones) {
    const auto contact = last_contact_.find(zone);
    const auto since = contact == last_contact_.end() ? start_time_ : contact->second;
    candidate.recently_updated = now - since < settings_.zone_silent_after;
  }
  zones[context_.zone] = LinkCandidate{settings_.region, true};
  return linkedZones(context_.zone, zones, settings_.links_per_region_pair);
}

std::vector<common::NodeId> ZoneGossip::peers() const {
  std::vector<common::NodeId> nodes;
  for (const auto& member : membership_.members()) {
    if (member.node != context_.self) {
      nodes.push_back(member.node);
    }
  }
  return nodes;
}

}  // namespace cypresswall::membership
