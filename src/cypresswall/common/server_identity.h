/// Identity of a back end that a request is sent to.
#pragma once

#include <compare>
#include <string>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::common {

/// One life of a back end, as the fleet configuration declares it. The address alone does not
/// identify it: once a back end has ended, its address may be given to another one, of another
/// service even, while both are still declared.
struct ServerIdentity {
  /// Differs between the lives of a back end.
  MachineName machine;
  Address address;

  auto operator<=>(const ServerIdentity&) const = default;  // NOLINT(modernize-use-nullptr)
  /// \return the name under which announcements of this life are kept, also used in logs
  std::string toString() const { return machine + "@" + address; }
};

}  // namespace cypresswall::common
