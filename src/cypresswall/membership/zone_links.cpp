#include "cypresswall/membership/zone_links.h"

#include <algorithm>
#include <set>

#include "cypresswall/common/prompt.h"

namespace cypresswall::membership {
namespace {

using Zones = std::map<common::ZoneName, LinkCandidate>;

/// \return the zones of `region` in the order in which they are assigned links to `other_region`
std::vector<common::ZoneName> rankedZones(const Zones& zones, const RegionName& region,
                                          const RegionName& other_region) {
  std::vector<common::ZoneName> updated;
  std::vector<common::ZoneName> all;
  for (const auto& [zone, candidate] : zones) {
    if (candidate.region != region) {
      continue;
    }
    all.push_back(zone);
    if (candidate.recently_updated) {
      updated.push_back(zone);
    }
  }
  auto& ranked = updated.empty() ? all : updated;
  std::sort(ranked.begin(), ranked.end(), [&](const auto& a, const auto& b) {
    const auto rank = [&](const auto& zone) {
      return common::hash64(other_region, common::hash64(zone));
    };
    return std::pair(rank(a), a) < std::pair(rank(b), b);
  });
  return ranked;
}

}  // namespace

std::vector<common::ZoneName> linkedZones(const common::ZoneName& own, const Zones& zones,
                                          std::size_t links_per_region_pair) {
  const RegionName own_region = zones.at(own).region;
  std::set<common::ZoneName> linked;
  std::set<RegionName> other_regions;
  for (const auto& [zone, candidate] : zones) {
    if (candidate.region != own_region) {
      other_regions.insert(candidate.region);
    } else if (zone != own) {
      linked.insert(zone);
    }
  }
  for (const auto& region : other_regions) {
    const auto near = rankedZones(zones, own_region, region);
    const auto far = rankedZones(zones, region, own_region);
    for (std::size_t link = 0; link < links_per_region_pair; ++link) {
      if (near[link % near.size()] == own) {
        linked.insert(far[link % far.size()]);
      }
    }
  }
  return {linked.begin(), linked.end()};
}

}  // namespace cypresswall::membership
