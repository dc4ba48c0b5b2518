/// Gossip topology between zones: a full mesh within a region, and a small fixed number of links
/// between each pair of regions. Every zone computes the same links.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/membership/membership_settings.h"

namespace cypresswall::membership {

/// A zone as a possible endpoint of a link.
struct LinkCandidate {
  RegionName region;
  /// False if the zone was not heard of recently. The zone then gets no link to another region,
  /// unless no zone of its own region was heard of recently.
  bool recently_updated = true;
};

/// \param zones every known zone, including `own`
/// \return the zones that `own` has a link to, sorted
std::vector<common::ZoneName> linkedZones(const common::ZoneName& own,
                                          const std::map<common::ZoneName, LinkCandidate>& zones,
                                          std::size_t links_per_region_pair);

}  // namespace cypresswall::membership
