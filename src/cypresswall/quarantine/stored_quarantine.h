/// JSON encoding of the quarantine list in the object store.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/request_fingerprint.h"

namespace cypresswall::quarantine {

class StoredQuarantineError : public common::Error {
 public:
  using common::Error::Error;
};

/// A crash of an engine; see EngineCrash.
struct StoredCrash {
  std::uint64_t engine = 0;
  /// Wall-clock time since the Unix epoch.
  std::chrono::milliseconds at{};
  bool output_began = false;
  std::vector<common::RequestFingerprint> earlier_parts;
  std::vector<common::RequestFingerprint> later_parts;

  bool operator==(const StoredCrash&) const = default;
};

/// The crashes that are counted against a request or a part.
struct StoredCrashes {
  common::RequestFingerprint request = 0;
  std::vector<StoredCrash> crashes;

  bool operator==(const StoredCrashes&) const = default;
};

struct StoredQuarantine {
  /// The quarantined requests, ordered.
  std::vector<common::RequestFingerprint> requests;
  /// The requests that are not quarantined but have crashed engines. Builds that don't know the
  /// field keep it as it is.
  std::vector<StoredCrashes> crashes;
  /// JSON text as read from the store; empty if there was none. The encoding keeps its fields that
  /// this build does not know.
  std::string original_text;
};

/// Skips entries without a valid fingerprint, and crashes that can't be read.
/// \throws StoredQuarantineError if `text` is not a JSON object with a list of requests
StoredQuarantine decodeStoredQuarantine(const std::string& text);
std::string encodeStoredQuarantine(const StoredQuarantine& quarantine);

}  // namespace cypresswall::quarantine
