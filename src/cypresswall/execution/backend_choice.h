/// Selection of the back end for one attempt at a service request.
#pragma once

#include <optional>
#include <set>

#include "cypresswall/common/random.h"
#include "cypresswall/common/server_identity.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::execution {

/// Picks a random eligible back end in the local zone or, if the local zone has none, in another
/// zone. Back ends in `excluded` and back ends on machines that are leaving or drained are not
/// eligible.
/// \return empty if no back end is eligible
std::optional<common::ServerIdentity> chooseBackend(
    const configuration::HttpServiceDeclaration& service,
    const configuration::FleetConfiguration& fleet, const membership::MembershipView& membership,
    const std::set<common::ServerIdentity>& excluded, common::RandomSource& random);

}  // namespace cypresswall::execution
