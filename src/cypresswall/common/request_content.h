/// The content of a request, as far as it tells whether several requests have something in common.
#pragma once

#include <vector>

#include "cypresswall/common/prompt.h"
#include "cypresswall/common/request_fingerprint.h"

namespace cypresswall::common {

struct RequestContent {
  /// Fingerprint of the whole request; zero if it was not computed.
  RequestFingerprint request = 0;
  /// Fingerprints of the parts of its prompt that other requests may have as well, in order.
  std::vector<RequestFingerprint> shared_parts;
};

/// \return the content of a model request
RequestContent contentOf(RequestFingerprint request, const PromptShape& prompt);

/// \return the fingerprints of the shared parts, separated by commas, for logs
std::string sharedPartsText(const RequestContent& content);

}  // namespace cypresswall::common
