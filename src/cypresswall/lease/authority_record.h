/// What the platform's store holds of one zone's authority: generation and voters, as JSON.
#pragma once

#include <optional>
#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/lease/voter_set.h"

namespace cypresswall::lease {

/// The stored value of a zone's authority can't be read.
class AuthorityRecordError : public common::Error {
 public:
  using common::Error::Error;
};

struct AuthorityRecord {
  std::uint32_t generation = 0;
  /// Sorted.
  NodeList voters;

  /// \return the voter set that the generation begins with.
  VoterSet firstSet() const { return VoterSet{{generation, 0, 0}, voters, {voters}}; }
};

/// \return the store's key for the authority of a zone.
std::string authorityKey(const common::ZoneName& zone);
std::string encodeAuthorityRecord(const AuthorityRecord& record);
/// \throws AuthorityRecordError
AuthorityRecord decodeAuthorityRecord(const std::string& text);

}  // namespace cypresswall::lease
