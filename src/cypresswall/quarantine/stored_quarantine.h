/// JSON encoding of the quarantine list in the object store.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/request_fingerprint.h"

namespace cypresswall::quarantine {

class StoredQuarantineError : public common::Error {
 public:
  using common::Error::Error;
};

struct StoredQuarantine {
  /// Ordered.
  std::vector<common::RequestFingerprint> requests;
  /// JSON text as read from the store; empty if there was none. The encoding keeps its fields that
  /// this build does not know.
  std::string original_text;
};

/// Skips entries that are not a valid fingerprint.
/// \throws StoredQuarantineError if `text` is not a JSON object with a list of requests
StoredQuarantine decodeStoredQuarantine(const std::string& text);
std::string encodeStoredQuarantine(const StoredQuarantine& quarantine);

}  // namespace cypresswall::quarantine
