/// JSON encoding of the builds of each model in the object store.
#pragma once

#include <string>

#include "cypresswall/answer_builds/build_history.h"
#include "cypresswall/common/errors.h"

namespace cypresswall::answer_builds {

class StoredBuildsError : public common::Error {
 public:
  using common::Error::Error;
};

/// \param text as read from the store; empty if the store holds nothing
/// \throws StoredBuildsError if the text is not a JSON object with builds by model
BuildsByModel decodeStoredBuilds(const std::string& text);
/// \param replaced the text that is replaced; its fields that this build does not know are kept
std::string encodeStoredBuilds(const BuildsByModel& builds, const std::string& replaced);

}  // namespace cypresswall::answer_builds
