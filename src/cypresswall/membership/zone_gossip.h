/// Small values that zones tell each other: each zone publishes one payload per topic, every node
/// of the fleet holds the newest of each. Changes travel along the links of zone_links.h and are
/// relayed; tables are compared by hash now and then to repair losses.
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

/// What a payload is about. Each topic has one publishing node in a zone at a time.
enum class GossipTopic : std::uint16_t {
  kContacts = 1,  ///< ZoneContacts; published by the gossip itself
  kConfiguration = 2,
  kRoutingSummary = 3,
};

/// Payload of kContacts: where a zone's nodes can be reached.
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
  /// Makes `payload` the own zone's value of `topic` and keeps it so until withdraw(). An equal
  /// payload is not sent again.
  /// \return false, with a counter, if the payload is larger than the settings allow
  bool publish(GossipTopic topic, std::string payload);
  /// This node no longer publishes the topic; the last value stays.
  void withdraw(GossipTopic topic);
  /// Calls `listener` for each newer value of any zone, the own one included.
  void onUpdate(GossipTopic topic, UpdateListener listener);
  /// \return the newest value of each zone.
  std::map<common::ZoneName, std::string> values(GossipTopic topic) const;
  /// \return up to two addresses of live nodes for every other known zone; seeds until the zone
  ///   itself was heard.
  std::map<common::ZoneName, std::vector<common::Address>> zoneContacts() const;
  /// \return the addresses of zoneContacts() for one other zone; empty if it is not known.
  std::vector<common::Address> contactsOf(const common::ZoneName& zone) const;
  /// \return true if this node speaks for its zone: the lowest node that is alive.
  bool representative() const;

 private:
  using Key = std::pair<common::ZoneName, std::uint16_t>;
  struct Value {
    std::uint64_t version = 0;
    std::string payload;
    /// Zone that sent it to this node; not told again.
    common::ZoneName source;
  };

  void registerHandlers();
  void refresh();
  void publishContacts();
  /// Keys of changed values that are still to be passed on.
  struct Outbox {
    std::set<Key> to_peers;
    std::set<Key> to_links;
    bool flush_scheduled = false;
  };

  void store(const GossipEntry& entry, const common::ZoneName& source, bool to_peers);
  bool acceptable(const GossipEntry& entry) const;
  /// Passes on what `outbox` holds after `delay`, together with what comes until then.
  void scheduleFlush(Outbox& outbox, common::Duration delay);
  void flush(Outbox& outbox);
  /// Sends the values of `keys`, without their payload if they come from the refresh outbox.
  void sendKeys(const common::Address& address, const Outbox& outbox,
                const std::vector<Key>& keys) const;
  void sendEntries(const common::Address& address, const std::vector<GossipEntry>& entries) const;
  GossipEntry entryOf(const Key& key) const;
  /// \return zero for a key that was never heard of.
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
  std::map<common::ZoneName, common::MonotonicTime> last_heard_;
  Outbox changes_;
  /// Values of which only the version rose.
  Outbox refreshes_;
  std::uint64_t refresh_round_ = 0;
  common::MonotonicTime start_time_;
  common::MonotonicTime contacts_time_;
  common::Counter& refused_count_;
};

}  // namespace cypresswall::membership
