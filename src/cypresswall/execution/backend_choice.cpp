#include "cypresswall/execution/backend_choice.h"

#include <vector>

namespace cypresswall::execution {
namespace {

bool drained(const configuration::FleetConfiguration& fleet, const std::string& machine) {
  const auto entry = fleet.drained_nodes.find(machine);
  return entry != fleet.drained_nodes.end() && entry->second;
}

}  // namespace

std::optional<common::ServerIdentity> chooseBackend(
    const configuration::HttpServiceDeclaration& service,
    const configuration::FleetConfiguration& fleet, const membership::MembershipView& membership,
    const std::set<common::ServerIdentity>& excluded, common::RandomSource& random) {
  std::vector<common::ServerIdentity> local;
  std::vector<common::ServerIdentity> remote;
  for (const auto& backend : service.backends) {
    const bool leaving = membership.machineLeaving(backend.machine) ||
                         membership.addressLeaving(backend.address) ||
                         drained(fleet, backend.machine);
    const common::ServerIdentity identity{backend.machine, backend.address};
    if (leaving || excluded.contains(identity)) {
      continue;
    }
    auto& candidates = backend.zone == membership.zone() ? local : remote;
    candidates.push_back(identity);
  }
  const auto& candidates = local.empty() ? remote : local;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random.below(candidates.size())];
}

}  // namespace cypresswall::execution
