/// Settings of membership: periods, limits and the addresses that a node starts from.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/membership/neighbours.h"

namespace cypresswall::membership {

/// Name of a region: zones of one region exchange gossip directly.
using RegionName = std::string;

/// Where another zone's nodes may be found before the zone has announced its contacts.
struct ZoneSeed {
  common::ZoneName zone;
  RegionName region;
  std::vector<common::Address> addresses;
};

struct MembershipSettings {
  /// The machine that this process runs on, as the machine list names it.
  common::MachineName machine;
  /// "IP:port" of this node's HTTP front.
  common::Address gateway_address;
  RegionName region;
  /// Bandwidth of this machine's link in Mbit/s; zero if not known.
  double link_megabits = 0;
  /// Internal addresses of nodes of the own zone; the own address may be among them.
  std::vector<common::Address> seeds;
  std::vector<ZoneSeed> other_zones;

  /// Who hears whom.
  NeighbourSettings neighbours;
  common::Duration heartbeat_interval = std::chrono::milliseconds(500);
  common::Duration suspect_after = std::chrono::milliseconds(1250);
  common::Duration dead_after = std::chrono::milliseconds(2500);
  /// How often seeds and departed addresses are tried again.
  common::Duration probe_interval = std::chrono::seconds(2);
  /// Live machines of the machine list that are tried each probe interval, at the own port, so that
  /// nodes meet though every seed was replaced.
  std::size_t machine_probes = 4;
  /// How long an address that fell silent is tried again.
  common::Duration departed_retention = std::chrono::minutes(30);
  /// How often a node that knows no other tries the next seed.
  common::Duration join_interval = std::chrono::milliseconds(300);
  /// A node that no seed answered for this long goes on alone.
  common::Duration join_timeout = std::chrono::seconds(2);
  /// Nodes that ask to be let into a large zone within this time get one list, packed once: when
  /// the whole zone starts, the list then holds nearly all of it.
  common::Duration join_reply_interval = std::chrono::milliseconds(200);
  /// News of members is collected for this long before it is passed on.
  common::Duration update_interval = std::chrono::milliseconds(20);
  /// A neighbour that has seen other members for this long lacks news that got lost: the two
  /// compare their lists. In a ring news is still on its way for some hundred milliseconds.
  common::Duration divergence_limit = std::chrono::milliseconds(900);
  /// The least time between two comparisons.
  common::Duration comparison_interval = std::chrono::milliseconds(900);
  /// For this long a node that was taken for dead is let in again with newer details only, so that
  /// peers that have not heard of its death don't bring it back. Above the time that a peer needs
  /// to hear of it by a comparison.
  common::Duration readmission_delay = std::chrono::seconds(5);

  common::Duration machine_poll_interval = std::chrono::milliseconds(500);
  /// A node polls itself when no fresh read was seen for this long, times its rank in the zone.
  common::Duration machine_read_timeout = std::chrono::milliseconds(1000);

  /// Changed gossip entries are sent in batches of this period.
  common::Duration gossip_flush_interval = std::chrono::milliseconds(100);
  /// Signs of life, values whose payload did not change, are collected for this long before they
  /// are passed on. A zone's pass through about four zones, in less than `zone_silent_after` with
  /// the time between two of them.
  common::Duration gossip_refresh_flush_interval = std::chrono::seconds(1);
  /// How often tables are compared by hash.
  common::Duration gossip_refresh_interval = std::chrono::seconds(5);
  /// An other zone unheard of for this long is not chosen to relay.
  common::Duration zone_silent_after = std::chrono::seconds(20);
  std::size_t maximum_gossip_payload = 1024;
  std::size_t maximum_gossip_zones = 128;
  std::size_t maximum_gossip_topics = 16;
  std::size_t contacts_per_zone = 2;
  /// Links between each pair of regions.
  std::size_t links_per_region_pair = 2;
};

}  // namespace cypresswall::membership
