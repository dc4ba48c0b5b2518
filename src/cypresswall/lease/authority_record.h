/// The authority record of a zone in the platform's store, as JSON. It names the nodes that vote on
/// the zone's lease and the generation of these voters: a number that increases when voters that
/// lost their quorum are replaced.
#pragma once

#include <optional>
#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/lease/voter_set.h"

namespace cypresswall::lease {

/// Thrown when the stored authority record of a zone cannot be parsed.
class AuthorityRecordError : public common::Error {
 public:
  using common::Error::Error;
};

struct AuthorityRecord {
  std::uint32_t generation = 0;
  /// Sorted.
  NodeList voters;

  /// \return the initial voter set of the generation.
  VoterSet firstSet() const { return VoterSet{{generation, 0, 0}, voters, {voters}}; }
};

/// \return the key of a zone's authority record in the store.
std::string authorityKey(const common::ZoneName& zone);
std::string encodeAuthorityRecord(const AuthorityRecord& record);
/// \throws AuthorityRecordError
AuthorityRecord decodeAuthorityRecord(const std::string& text);

}  // namespace cypresswall::lease
