/// Quarantine of requests that crash every engine that runs them.
#pragma once

#include <cstdint>
#include <optional>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/request_content.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::quarantine {

/// What an engine had given of an answer when the stream broke.
enum class OutputProgress : std::uint8_t {
  kNone,
  kFirstToken,  ///< the first token only
  kUnderWay,    ///< more than that
};

class RequestQuarantine {
 public:
  virtual ~RequestQuarantine() = default;
  /// To be called before a request is sent to an engine or back end. If the request is quarantined,
  /// its quarantine starts anew.
  /// \return how long the request stays quarantined; nothing if it may be sent
  virtual std::optional<common::Duration> quarantinedFor(const common::RequestContent& content) = 0;
  /// To be called when a stream of the request broke after the request was sent. Probes the engine
  /// to find out whether it crashed.
  /// \param progress the output of this engine that the stream had delivered
  virtual void streamBroken(const common::RequestContent& content,
                            const engines::EngineEndpoint& engine, OutputProgress progress) = 0;
  /// To be called when a plain back end (one that is not an engine) closed the connection while it
  /// processed the request. This counts as a crash without a probe, since a probe would occupy one
  /// of the back end's request slots.
  virtual void callBroken(common::RequestFingerprint request, const common::Address& backend) = 0;
  /// To be called when the request was answered completely. Engines that crashed under it must have
  /// done so for another reason, so its crashes are forgotten and its quarantine ends.
  virtual void answered(const common::RequestContent& content) = 0;
};

}  // namespace cypresswall::quarantine
