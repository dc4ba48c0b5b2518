/// JSON encoding of changes and snapshots, used in the platform's store and between nodes.
#pragma once

#include <string>
#include <string_view>

#include "cypresswall/common/errors.h"
#include "cypresswall/configuration/change_log.h"

namespace cypresswall::configuration {

/// Prefix of the store keys of changes; each key holds the change that produced one version.
inline constexpr std::string_view kChangesPrefix = "configuration/changes/";
/// Store key of the only stored snapshot.
inline constexpr std::string_view kSnapshotKey = "configuration/snapshot";

/// A stored or received change or snapshot that can't be decoded.
class EncodingError : public common::Error {
 public:
  using common::Error::Error;
};

/// \return the key under which the change of `version` is stored; the keys' text order is the order
///   of versions.
std::string changeKey(std::uint64_t version);

/// \return the canonical text of a change, over which its digest is computed. \throws EncodingError
std::string encodeChangeBody(const ConfigurationChange& change);

/// \return the JSON text of a change and its digests.
/// \throws EncodingError if a text in the change is not UTF-8 or an object's value is not JSON
std::string encodeChange(const LoggedChange& entry);
/// Inverse of encodeChange(). The digest is not verified; see ChangeLog::append().
/// \throws EncodingError
LoggedChange decodeChange(const std::string& text);

std::string encodeSnapshot(const ConfigurationSnapshot& snapshot);
/// \throws EncodingError
ConfigurationSnapshot decodeSnapshot(const std::string& text);

}  // namespace cypresswall::configuration
