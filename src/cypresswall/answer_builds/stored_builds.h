/// JSON encoding of the builds of each model in the object store.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/answer_builds/build_history.h"
#include "cypresswall/common/errors.h"

namespace cypresswall::answer_builds {

class StoredBuildsError : public common::Error {
 public:
  using common::Error::Error;
};

struct StoredBuilds {
  BuildsByModel builds;
  /// Incarnation of the store in which the builds were written; zero if unknown. In a later one
  /// they may be those of an earlier time.
  std::uint64_t store_incarnation = 0;

  bool operator==(const StoredBuilds&) const = default;
};

/// \param text as read from the store; empty if the store holds nothing
/// \throws StoredBuildsError if the text is not a JSON object with builds by model
StoredBuilds decodeStoredBuilds(const std::string& text);
/// \param replaced the text that is replaced; its fields that this build does not know are kept
std::string encodeStoredBuilds(const StoredBuilds& builds, const std::string& replaced);

}  // namespace cypresswall::answer_builds
