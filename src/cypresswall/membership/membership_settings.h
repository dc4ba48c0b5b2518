/// Settings of membership and zone gossip: timings, limits and seed addresses.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/membership/neighbours.h"

namespace cypresswall::membership {

/// Name of a region. Zones of one region exchange gossip directly.
using RegionName = std::string;

/// Seed addresses of another zone, used until that zone has announced its contacts.
struct ZoneSeed {
  common::ZoneName zone;
  RegionName region;
  std::vector<common::Address> addresses;
};

struct MembershipSettings {
  /// Name of this process's machine in the machine list.
  common::MachineName machine;
  /// "IP:port" of this node's HTTP endpoint.
  common::Address gateway_address;
  RegionName region;
  /// Bandwidth of this machine's network link in Mbit/s; zero if unknown.
  double link_megabits = 0;
  /// Peer addresses of nodes of this node's zone; may include this node's address.
  std::vector<common::Address> seeds;
  std::vector<ZoneSeed> other_zones;

  /// Heartbeat and gossip topology.
  NeighbourSettings neighbours;
  common::Duration heartbeat_interval = std::chrono::milliseconds(500);
  common::Duration suspect_after = std::chrono::milliseconds(1250);
  common::Duration dead_after = std::chrono::milliseconds(2500);
  /// How often seeds and departed addresses are probed.
  common::Duration probe_interval = std::chrono::seconds(2);
  /// Number of live machines from the machine list that a node probes in each probe interval, at
  /// the port number of its own address. Nodes thus find each other even if every seed was
  /// replaced.
  std::size_t machine_probes = 4;
  /// How long the address of a departed node is probed.
  common::Duration departed_retention = std::chrono::minutes(30);
  /// How often a node that has not joined yet tries the next seed.
  common::Duration join_interval = std::chrono::milliseconds(300);
  /// A node that got no answer from any seed for this long after its start no longer waits for one
  /// and works with the members that it knows.
  common::Duration join_timeout = std::chrono::seconds(2);
  /// In a large zone, join requests are collected for this long and then all answered with the same
  /// member list, which is encoded only once. When the whole zone starts at once, the delay makes
  /// that list nearly complete.
  common::Duration join_reply_interval = std::chrono::milliseconds(200);
  /// Membership changes are batched for this long before they are forwarded.
  common::Duration update_interval = std::chrono::milliseconds(20);
  /// In a ring, if a neighbour's member hash differs from this node's for this long, an update is
  /// assumed to be lost and the two nodes compare their lists. Updates are normally in flight for a
  /// few hundred milliseconds. In a full mesh, nodes compare their lists without this delay.
  common::Duration divergence_limit = std::chrono::milliseconds(900);
  /// Minimum time between two comparisons that a node starts.
  common::Duration comparison_interval = std::chrono::milliseconds(900);
  /// For this long a node that was declared dead is readmitted only with newer details, so that
  /// peers that do not know of its death yet cannot reintroduce it. Must exceed the time in which a
  /// peer learns of the death through a comparison.
  common::Duration readmission_delay = std::chrono::seconds(5);

  common::Duration machine_poll_interval = std::chrono::milliseconds(500);
  /// A node polls the machine list itself if it has not heard of a read for this time multiplied by
  /// its rank. The rank is the node's position, from 0, among the zone's alive nodes, so normally
  /// only the first node polls.
  common::Duration machine_read_timeout = std::chrono::milliseconds(1000);

  /// Changed gossip entries are batched for this long before they are sent.
  common::Duration gossip_flush_interval = std::chrono::milliseconds(100);
  /// Refreshes (a new version with an unchanged payload) are batched for this long before they are
  /// forwarded. A refresh passes through about four zones, each of which adds this delay. The sum
  /// of these delays plus the time between two refreshes must stay below `zone_silent_after`.
  common::Duration gossip_refresh_flush_interval = std::chrono::seconds(1);
  /// Anti-entropy interval: how often gossip tables are compared by hash.
  common::Duration gossip_refresh_interval = std::chrono::seconds(5);
  /// A zone that was not heard of for this long is not chosen to relay gossip between regions,
  /// unless no zone of its region was heard of.
  common::Duration zone_silent_after = std::chrono::seconds(20);
  /// Maximum size of a gossip payload in bytes.
  std::size_t maximum_gossip_payload = 1024;
  std::size_t maximum_gossip_zones = 128;
  std::size_t maximum_gossip_topics = 16;
  std::size_t contacts_per_zone = 2;
  /// Number of gossip links between each pair of regions.
  std::size_t links_per_region_pair = 2;
};

}  // namespace cypresswall::membership
