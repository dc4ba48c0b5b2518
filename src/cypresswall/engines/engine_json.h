/// JSON encoding of the engine protocol (docs/protocols.md), except for stream events.
#pragma once

#include <string>
#include <string_view>

#include "cypresswall/engines/engine_types.h"
#include "cypresswall/engines/stream_event.h"

namespace cypresswall::engines {

std::string streamRequestJson(const StreamRequest& request);
std::string orderJson(const EngineOrder& order);

/// Parsers for the answers of an engine. \throws EngineProtocolError
OrderReply parseOrderReply(std::string_view json);
EngineLoad parseEngineLoad(std::string_view json);
CacheEvents parseCacheEvents(std::string_view json);

/// An engine's rejection of a stream request.
struct StreamRefusal {
  /// True only if the engine states that it did not run the stream.
  bool not_run = false;
  std::string error;
};

/// Parses the body of an error answer. If the body can't be parsed, `not_run` is false in the
/// result, since the stream may have run.
StreamRefusal parseStreamRefusal(std::string_view json);

}  // namespace cypresswall::engines
