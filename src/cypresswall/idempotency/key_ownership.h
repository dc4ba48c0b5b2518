/// Which zone keeps the claims on an idempotency key: one in the whole fleet, chosen among the
/// zones that are declared, whether or not they can be reached. docs/design/idempotency.md has the
/// reasons.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/configuration/configuration_view.h"

namespace cypresswall::idempotency {

/// \return the zone that owns `key` by rendezvous hashing; empty if there are no zones.
common::ZoneName owningZone(const std::string& key, const std::vector<common::ZoneName>& zones);

/// Ownership as the configuration in force on this node has it.
class KeyOwnership {
 public:
  KeyOwnership(common::ZoneName own_zone, configuration::ConfigurationView& configuration)
      : own_zone_(std::move(own_zone)), configuration_(configuration) {}

  /// \return version of the set of zones in force; zero if no zone was ever declared.
  std::uint64_t version() const;
  /// \return the zone that owns `key` now; the own zone while none is declared.
  common::ZoneName owner(const std::string& key) const;
  /// \return true if the own zone owned `key` under every set of zones from that of `version` on.
  bool ownedSince(const std::string& key, std::uint64_t version) const;

 private:
  bool owns(const std::string& key, const std::vector<common::ZoneName>& zones) const;

  common::ZoneName own_zone_;
  configuration::ConfigurationView& configuration_;
};

}  // namespace cypresswall::idempotency
