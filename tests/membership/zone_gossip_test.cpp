#include "cypresswall/membership/zone_gossip.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/membership/membership.h"
#include "cypresswall/membership/zone_links.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::membership {
namespace {

using namespace std::chrono_literals;

constexpr int kZones = 7;
constexpr int kNodesPerZone = 3;

std::string zoneName(int zone) { return "zone-" + std::to_string(zone); }
std::string regionOf(int zone) { return "region-" + std::to_string(zone / 3); }
common::Address addressOf(int zone, int node) {
  return "10.0." + std::to_string(zone) + "." + std::to_string(node) + ":7000";
}

std::string zoneNameOf(const common::Address& address) {
  const auto first = address.find('.', address.find('.') + 1) + 1;
  return "zone-" + address.substr(first, address.find('.', first) - first);
}

/// Seven zones in three regions; each has one seed address, in the next zone.
class Fleet {
 public:
  struct Node {
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ZoneGossip> gossip;
  };

  explicit Fleet(std::uint64_t seed) : world(seed) {
    for (int zone = 0; zone < kZones; ++zone) {
      for (int node = 0; node < kNodesPerZone; ++node) {
        start(zone, node);
      }
    }
  }
  void start(int zone, int node) {
    const common::Address address = addressOf(zone, node);
    auto& process = world.spawn({address, ++next_incarnation_}, zoneName(zone));
    MembershipSettings settings;
    settings.region = regionOf(zone);
    settings.seeds = {addressOf(zone, 0), addressOf(zone, 1), addressOf(zone, 2)};
    const int next = (zone + 1) % kZones;
    settings.other_zones = {{zoneName(next), regionOf(next), {addressOf(next, 1)}}};
    Node& slot = nodes[address];
    slot.gossip.reset();
    slot.membership = std::make_unique<Membership>(settings, process.context(), process);
    slot.gossip = std::make_unique<ZoneGossip>(settings, process.context(), *slot.membership);
    slot.membership->start();
    slot.gossip->start();
  }
  void kill(int zone, int node) {
    nodes.erase(addressOf(zone, node));
    world.kill(addressOf(zone, node));
  }
  ZoneGossip& gossip(int zone, int node) { return *nodes.at(addressOf(zone, node)).gossip; }
  bool everyNodeHolds(const std::string& zone, const std::string& payload) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& entry) {
      const auto values = entry.second.gossip->values(GossipTopic::kRoutingSummary);
      const auto value = values.find(zone);
      return value != values.end() && value->second == payload;
    });
  }

  testing::VirtualWorld world;
  std::map<common::Address, Node> nodes;

 private:
  std::uint64_t next_incarnation_ = 0;
};

class ZoneGossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneGossipTest);
  CPPUNIT_TEST(zonesDiscoverEachOther);
  CPPUNIT_TEST(changeReachesEveryNodeFast);
  CPPUNIT_TEST(changeSurvivesLossAndPartition);
  CPPUNIT_TEST(restartedZoneCanPublish);
  CPPUNIT_TEST(refreshesCarryNoPayload);
  CPPUNIT_TEST(oversizedPayloadIsRefused);
  CPPUNIT_TEST(linksAreMutualConnectedAndFew);
  CPPUNIT_TEST_SUITE_END();

 public:
  void zonesDiscoverEachOther() {
    Fleet fleet(1);
    fleet.world.runFor(20s);
    for (const auto& [address, node] : fleet.nodes) {
      const auto contacts = node.gossip->zoneContacts();
      CPPUNIT_ASSERT_EQUAL(std::size_t{kZones - 1}, contacts.size());
      for (const auto& [zone, addresses] : contacts) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, addresses.size());
      }
    }
  }

  void changeReachesEveryNodeFast() {
    Fleet fleet(2);
    fleet.world.runFor(20s);
    std::string received;
    fleet.gossip(6, 2).onUpdate(GossipTopic::kRoutingSummary,
                                [&](const auto&, const auto& payload) { received = payload; });
    fleet.gossip(0, 2).publish(GossipTopic::kRoutingSummary, "first");
    fleet.world.runFor(1500ms);
    CPPUNIT_ASSERT(fleet.everyNodeHolds(zoneName(0), "first"));
    CPPUNIT_ASSERT_EQUAL(std::string("first"), received);
  }

  void changeSurvivesLossAndPartition() {
    Fleet fleet(3);
    fleet.world.runFor(20s);
    fleet.world.message_loss = 0.1;
    for (int node = 0; node < kNodesPerZone; ++node) {
      fleet.world.setGroup(addressOf(4, node), 1);
    }
    fleet.kill(0, 0);
    fleet.gossip(0, 2).publish(GossipTopic::kRoutingSummary, "second");
    fleet.world.runFor(40s);
    CPPUNIT_ASSERT(!fleet.everyNodeHolds(zoneName(0), "second"));
    fleet.world.healNetwork();
    fleet.world.runFor(15s);
    CPPUNIT_ASSERT(fleet.everyNodeHolds(zoneName(0), "second"));
  }

  void restartedZoneCanPublish() {
    Fleet fleet(4);
    fleet.world.runFor(10s);
    for (const char* payload : {"a", "b", "c"}) {
      fleet.gossip(2, 0).publish(GossipTopic::kRoutingSummary, payload);
      fleet.world.runFor(2s);
    }
    for (int node = 0; node < kNodesPerZone; ++node) {
      fleet.start(2, node);
    }
    fleet.gossip(2, 1).publish(GossipTopic::kRoutingSummary, "restarted");
    fleet.world.runFor(20s);
    CPPUNIT_ASSERT(fleet.everyNodeHolds(zoneName(2), "restarted"));
  }

  /// While nothing changes, refreshes carry versions without payloads, and every node still
  /// receives one of each zone within `zone_silent_after`.
  void refreshesCarryNoPayload() {
    Fleet fleet(6);
    fleet.world.runFor(40s);
    std::map<std::pair<common::Address, common::ZoneName>, common::Duration> received;
    common::Duration longest{0};
    std::uint64_t payloads = 0;
    fleet.world.on_send = [&](const api::Envelope& envelope) {
      payloads += envelope.type == GossipEntries::kType ? 1 : 0;
      if (envelope.type != GossipRefreshes::kType) {
        return;
      }
      for (const auto& entry : api::decodeBody<GossipRefreshes>(envelope.body).entries) {
        auto& last = received[{envelope.receiver.address, entry.zone}];
        longest = std::max(longest, fleet.world.now() - std::max(last, common::Duration(40s)));
        last = fleet.world.now();
      }
    };
    fleet.world.runFor(60s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, payloads);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kZones * kNodesPerZone * (kZones - 1)},
                         static_cast<std::size_t>(
                             std::count_if(received.begin(), received.end(), [](const auto& entry) {
                               return entry.first.second != zoneNameOf(entry.first.first);
                             })));
    CPPUNIT_ASSERT(longest < MembershipSettings{}.zone_silent_after);
  }

  void oversizedPayloadIsRefused() {
    Fleet fleet(5);
    const std::string large(MembershipSettings{}.maximum_gossip_payload + 1, 'x');
    CPPUNIT_ASSERT(!fleet.gossip(0, 0).publish(GossipTopic::kRoutingSummary, large));
  }

  void linksAreMutualConnectedAndFew() {
    testing::requireProperty(
        "links are mutual, connect all zones and are few", 200, [](std::uint32_t seed) {
          common::SeededRandom random(seed);
          const auto zone_count = 1 + random.below(40);
          const auto region_count = 1 + random.below(8);
          std::map<common::ZoneName, LinkCandidate> zones;
          for (std::uint64_t zone = 0; zone < zone_count; ++zone) {
            zones["zone-" + std::to_string(zone)].region =
                "region-" + std::to_string(random.below(region_count));
          }
          std::set<common::ZoneName> reached = {zones.begin()->first};
          std::vector<common::ZoneName> pending = {zones.begin()->first};
          std::size_t between_regions = 0;
          while (!pending.empty()) {
            const auto zone = pending.back();
            pending.pop_back();
            for (const auto& other : linkedZones(zone, zones, 2)) {
              const auto back = linkedZones(other, zones, 2);
              RC_ASSERT(std::find(back.begin(), back.end(), zone) != back.end());
              between_regions += zones[zone].region != zones[other].region ? 1 : 0;
              if (reached.insert(other).second) {
                pending.push_back(other);
              }
            }
          }
          RC_ASSERT(reached.size() == zones.size());
          RC_ASSERT(between_regions <= 2 * region_count * (region_count - 1));
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneGossipTest);

}  // namespace
}  // namespace cypresswall::membership
