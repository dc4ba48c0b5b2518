/// The stored form of what is kept from engines: a JSON object.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/request_fingerprint.h"

namespace cypresswall::quarantine {

/// A stored object that can't be read.
class StoredQuarantineError : public common::Error {
 public:
  using common::Error::Error;
};

struct StoredQuarantine {
  /// Ordered.
  std::vector<common::RequestFingerprint> requests;
  /// The object as it was read, with fields that only other builds know; they are written back.
  std::string origin;
};

/// \throws StoredQuarantineError. Requests that aren't a fingerprint are left out.
StoredQuarantine decodeStoredQuarantine(const std::string& text);
std::string encodeStoredQuarantine(const StoredQuarantine& quarantine);

}  // namespace cypresswall::quarantine
