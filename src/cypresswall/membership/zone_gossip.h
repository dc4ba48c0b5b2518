/// Gossip between zones: each zone publishes one small payload per topic, and every node of the
/// fleet holds the newest payload of each zone. Changes are relayed along the links of
/// zone_links.h; periodic comparison of table hashes (anti-entropy) repairs losses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_settings.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/membership/messages.h"

namespace cypresswall::membership {

/// Kind of a payload. At any time, only one node of a zone publishes the zone's payload of a topic.
enum class GossipTopic : std::uint16_t {
  kContacts = 1,  ///< ZoneContacts; published by ZoneGossip itself
  kConfiguration = 2,
  kRoutingSummary = 3,
};

/// Payload of kContacts: the addresses at which a zone's nodes can be reached.
struct ZoneContacts {
  RegionName region;
  std::vector<common::Address> addresses;
  MSGPACK_DEFINE(region, addresses)
};

class ZoneGossip {
 public:
  using UpdateListener =
      std::function<void(const common::ZoneName& zone, const std::string& payload)>;

  ZoneGossip(MembershipSettings settings, const api::ProcessContext& context,
             MembershipView& membership);
  ZoneGossip(const ZoneGossip&) = delete;
  ZoneGossip& operator=(const ZoneGossip&) = delete;

  void start();
  /// Publishes `payload` as the value of `topic` for this node's zone until withdraw(). An
  /// unchanged payload is not sent again. A payload larger than
  /// MembershipSettings::maximum_gossip_payload is refused and counted.
  /// \return false if the payload was refused
  bool publish(GossipTopic topic, std::string payload);
  /// Stops publishing the topic from this node; the last value remains.
  void withdraw(GossipTopic topic);
  /// Calls `listener` when the payload of any zone changes, including this node's zone.
  void onUpdate(GossipTopic topic, UpdateListener listener);
  /// \return the newest value of each zone
  std::map<common::ZoneName, std::string> values(GossipTopic topic) const;
  /// \return contact addresses (at most `contacts_per_zone`) of every other known zone; its seeds
  ///   until the zone has announced contacts
  std::map<common::ZoneName, std::vector<common::Address>> zoneContacts() const;
  /// \return the addresses of zoneContacts() for one other zone; empty if it is not known
  std::vector<common::Address> contactsOf(const common::ZoneName& zone) const;
  /// \return true if this node represents its zone: it is the first alive member in node order
  bool representative() const;

 private:
  using Key = std::pair<common::ZoneName, std::uint16_t>;
  struct Value {
    std::uint64_t version = 0;
    std::string payload;
    /// Zone that this value was received from; it is not sent back there.
    common::ZoneName source;
  };

  void registerHandlers();
  void refresh();
  void publishContacts();
  /// Keys of values that are waiting to be forwarded.
  struct Outbox {
    std::set<Key> to_peers;
    std::set<Key> to_links;
    bool flush_scheduled = false;
  };

  void store(const GossipEntry& entry, const common::ZoneName& source, bool to_peers);
  bool acceptable(const GossipEntry& entry) const;
  /// Schedules flush() after `delay`; entries added until then are sent in the same batch.
  void scheduleFlush(Outbox& outbox, common::Duration delay);
  void flush(Outbox& outbox);
  /// Sends the values of `keys`, without payloads if `outbox` is `refreshes_`.
  void sendKeys(const common::Address& address, const Outbox& outbox,
                const std::vector<Key>& keys) const;
  void sendEntries(const common::Address& address, const std::vector<GossipEntry>& entries) const;
  GossipEntry entryOf(const Key& key) const;
  /// \return zero for an unknown key
  std::uint64_t versionOf(const Key& key) const;
  void receiveEntries(const common::NodeId& sender, const GossipEntries& message);
  void receiveRefreshes(const common::NodeId& sender, const GossipRefreshes& message);
  void receiveDigest(const common::NodeId& sender, const GossipDigest& digest);
  void receiveVersions(const common::NodeId& sender, const GossipVersions& versions);
  GossipVersions ownVersions(bool answer_wanted) const;
  std::uint64_t tableHash() const;
  std::vector<common::ZoneName> links() const;
  std::vector<common::NodeId> peers() const;

  MembershipSettings settings_;
  api::ProcessContext context_;
  MembershipView& membership_;
  std::map<Key, Value> table_;
  std::map<std::uint16_t, std::string> published_;
  std::map<std::uint16_t, std::vector<UpdateListener>> listeners_;
  std::map<common::ZoneName, common::MonotonicTime> last_contact_;
  Outbox changes_;
  /// Values with a new version but an unchanged payload.
  Outbox refreshes_;
  std::uint64_t refresh_round_ = 0;
  common::MonotonicTime start_time_;
  common::MonotonicTime contacts_time_;
  common::Counter& refused_count_;
};

}  // namespace cypresswall::membership
