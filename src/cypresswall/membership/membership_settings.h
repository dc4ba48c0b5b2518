/// Settings of membership: periods, limits and the addresses that a node starts from.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

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

  /// Heartbeats go to every node of the zone (about 13), so the period sets the bytes per second.
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
  /// The least time between two peer lists sent to one peer.
  common::Duration peer_list_interval = std::chrono::seconds(1);

  common::Duration machine_poll_interval = std::chrono::milliseconds(500);
  /// A node polls itself when no fresh read was seen for this long, times its rank in the zone.
  common::Duration machine_read_patience = std::chrono::milliseconds(1000);

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
