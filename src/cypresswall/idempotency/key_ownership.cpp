#include "cypresswall/idempotency/key_ownership.h"

#include <algorithm>
#include <utility>

#include "cypresswall/common/prompt.h"

namespace cypresswall::idempotency {

common::ZoneName owningZone(const std::string& key, const std::vector<common::ZoneName>& zones) {
  common::ZoneName best;
  std::uint64_t best_weight = 0;
  for (const auto& zone : zones) {
    const std::uint64_t weight = common::hash64(key, common::hash64(zone));
    if (best.empty() || std::pair(weight, zone) > std::pair(best_weight, best)) {
      best = zone;
      best_weight = weight;
    }
  }
  return best;
}

std::uint64_t KeyOwnership::version() const {
  const auto configuration = configuration_.current();
  return configuration->zone_sets.empty() ? 0 : configuration->zone_sets.back().version;
}

common::ZoneName KeyOwnership::owner(const std::string& key) const {
  const auto configuration = configuration_.current();
  const auto& sets = configuration->zone_sets;
  const bool declared = !sets.empty() && !sets.back().zones.empty();
  return declared ? owningZone(key, sets.back().zones) : own_zone_;
}

bool KeyOwnership::ownedSince(const std::string& key, std::uint64_t version) const {
  const auto configuration = configuration_.current();
  const auto& sets = configuration->zone_sets;
  const bool forgotten =
      sets.size() >= configuration::kRetainedZoneSets && sets.front().version > version;
  return !forgotten && std::all_of(sets.begin(), sets.end(), [&](const auto& set) {
    return set.version < version || owns(key, set.zones);
  });
}

/// While no zone is declared, no back end is declared either, so no request can have run under an
/// empty zone set. Such a set therefore counts as one under which this node's zone owned the key.
bool KeyOwnership::owns(const std::string& key, const std::vector<common::ZoneName>& zones) const {
  return zones.empty() || owningZone(key, zones) == own_zone_;
}

}  // namespace cypresswall::idempotency
