/// Keeps requests from engines that crash each engine that runs them.
#pragma once

#include <optional>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::quarantine {

class RequestQuarantine {
 public:
  virtual ~RequestQuarantine() = default;
  /// Asked before a request is sent to an engine or back end.
  /// \return for how long it is kept away from now on; nothing if it may be sent
  virtual std::optional<common::Duration> quarantinedFor(common::RequestFingerprint request) = 0;
  /// A stream of the request broke after it was sent. Whether its engine ended is found out here.
  virtual void streamBroken(common::RequestFingerprint request,
                            const engines::EngineEndpoint& engine) = 0;
  /// A plain back end ended the connection while it worked on the request. It can't be asked
  /// whether it still runs without taking one of its places.
  virtual void callBroken(common::RequestFingerprint request, const common::Address& backend) = 0;
  /// The request was answered to its end: engines that ended under it did so for another reason.
  virtual void answered(common::RequestFingerprint request) = 0;
};

}  // namespace cypresswall::quarantine
