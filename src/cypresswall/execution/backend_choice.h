/// Choice of the back end for one attempt at a service request.
#pragma once

#include <optional>
#include <set>

#include "cypresswall/common/random.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::execution {

/// Chooses at random among the back ends of the own zone, or, if it has none, among the others.
/// Machines that are leaving or drained and excluded addresses are never chosen.
/// \return nothing if no back end is left
std::optional<common::Address> chooseBackend(const configuration::HttpServiceDeclaration& service,
                                             const configuration::FleetConfiguration& fleet,
                                             const membership::MembershipView& membership,
                                             const std::set<common::Address>& excluded,
                                             common::RandomSource& random);

}  // namespace cypresswall::execution
