/// How changes and snapshots are written in the platform's store and passed between nodes: JSON.
#pragma once

#include <string>
#include <string_view>

#include "cypresswall/common/errors.h"
#include "cypresswall/configuration/change_log.h"

namespace cypresswall::configuration {

/// Prefix of the keys of changes; each holds the change of one version.
inline constexpr std::string_view kChangesPrefix = "configuration/changes/";
/// Key of the snapshot.
inline constexpr std::string_view kSnapshotKey = "configuration/snapshot";

/// A stored or received change or snapshot that can't be read.
class EncodingError : public common::Error {
 public:
  using common::Error::Error;
};

/// \return the key under which the change of `version` is stored; keys sort by version.
std::string changeKey(std::uint64_t version);

/// \return the canonical text of a change, over which digests are made. \throws EncodingError
std::string encodeChangeBody(const ConfigurationChange& change);

/// \throws EncodingError if a text is not UTF-8 or a value is not JSON
std::string encodeChange(const LoggedChange& entry);
/// Reads what encodeChange() wrote. The digest is not checked; see ChangeLog::append().
/// \throws EncodingError
LoggedChange decodeChange(const std::string& text);

std::string encodeSnapshot(const ConfigurationSnapshot& snapshot);
/// \throws EncodingError
ConfigurationSnapshot decodeSnapshot(const std::string& text);

}  // namespace cypresswall::configuration
