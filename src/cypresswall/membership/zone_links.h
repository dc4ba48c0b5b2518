/// Which zones exchange gossip directly: all zones of one region with each other, and a fixed small
/// number of links between each pair of regions. Every zone works out the same links.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/membership/membership_settings.h"

namespace cypresswall::membership {

/// A zone as a possible end of a link.
struct LinkCandidate {
  RegionName region;
  /// False if nothing was heard of the zone for long; it then carries no link between regions
  /// unless its whole region is silent.
  bool heard = true;
};

/// \param zones every known zone, the own one included
/// \return the zones that `own` has a link with, in order
std::vector<common::ZoneName> linkedZones(const common::ZoneName& own,
                                          const std::map<common::ZoneName, LinkCandidate>& zones,
                                          std::size_t links_per_region_pair);

}  // namespace cypresswall::membership
