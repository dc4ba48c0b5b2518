#include "cypresswall/execution/backend_choice.h"

#include <vector>

namespace cypresswall::execution {
namespace {

bool drained(const configuration::FleetConfiguration& fleet, const std::string& machine) {
  const auto entry = fleet.drained_nodes.find(machine);
  return entry != fleet.drained_nodes.end() && entry->second;
}

}  // namespace

std::optional<common::Address> chooseBackend(const configuration::HttpServiceDeclaration& service,
                                             const configuration::FleetConfiguration& fleet,
                                             const membership::MembershipView& membership,
                                             const std::set<common::Address>& excluded,
                                             common::RandomSource& random) {
  std::vector<common::Address> local;
  std::vector<common::Address> remote;
  for (const auto& backend : service.backends) {
    const bool leaving = membership.machineLeaving(backend.machine) ||
                         membership.addressLeaving(backend.address) ||
                         drained(fleet, backend.machine);
    if (leaving || excluded.count(backend.address) != 0) {
      continue;
    }
    auto& candidates = backend.zone == membership.zone() ? local : remote;
    candidates.push_back(backend.address);
  }
  const auto& candidates = local.empty() ? remote : local;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random.below(candidates.size())];
}

}  // namespace cypresswall::execution
