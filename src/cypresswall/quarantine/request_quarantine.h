/// Quarantine of requests that crash every engine that runs them.
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
  /// Called before a request is sent to an engine or back end. Prolongs an existing quarantine.
  /// \return how long the request stays quarantined; nothing if it may be sent
  virtual std::optional<common::Duration> quarantinedFor(common::RequestFingerprint request) = 0;
  /// A stream of the request broke after it was sent. Probes whether the engine crashed.
  virtual void streamBroken(common::RequestFingerprint request,
                            const engines::EngineEndpoint& engine) = 0;
  /// A plain back end closed the connection while it processed the request, which counts as a
  /// crash: a probe would occupy one of the back end's request slots.
  virtual void callBroken(common::RequestFingerprint request, const common::Address& backend) = 0;
  /// The request was answered completely: engines that crashed under it did so for another reason.
  virtual void answered(common::RequestFingerprint request) = 0;
};

}  // namespace cypresswall::quarantine
