/// Ownership of idempotency keys: exactly one zone of the fleet stores the claims on a key, chosen
/// among the declared zones whether or not they can be reached. docs/design/idempotency.md gives
/// the reasons.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/configuration/configuration_view.h"

namespace cypresswall::idempotency {

/// \return the zone that owns `key` by rendezvous hashing; empty if there are no zones.
common::ZoneName owningZone(const std::string& key, const std::vector<common::ZoneName>& zones);

/// Ownership according to the current configuration of this node.
class KeyOwnership {
 public:
  KeyOwnership(common::ZoneName own_zone, configuration::ConfigurationView& configuration)
      : own_zone_(std::move(own_zone)), configuration_(configuration) {}

  /// \return version of the current zone set; zero if no zone was ever declared.
  std::uint64_t version() const;
  /// \return the zone that owns `key`; this node's zone while no zone is declared.
  common::ZoneName owner(const std::string& key) const;
  /// \return true if this node's zone owned `key` under every zone set from `version` on; false if
  ///   the configuration no longer holds all of these sets.
  bool ownedSince(const std::string& key, std::uint64_t version) const;

 private:
  bool owns(const std::string& key, const std::vector<common::ZoneName>& zones) const;

  common::ZoneName own_zone_;
  configuration::ConfigurationView& configuration_;
};

}  // namespace cypresswall::idempotency
