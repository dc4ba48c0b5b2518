/// JSON of the engine protocol (docs/protocols.md) other than the events of a stream.
#pragma once

#include <string>
#include <string_view>

#include "cypresswall/engines/engine_types.h"
#include "cypresswall/engines/stream_event.h"

namespace cypresswall::engines {

std::string streamRequestJson(const StreamRequest& request);
std::string orderJson(const EngineOrder& order);

/// Each reads one answer. \throws EngineProtocolError
OrderReply parseOrderReply(std::string_view json);
EngineLoad parseEngineLoad(std::string_view json);
CacheEvents parseCacheEvents(std::string_view json);

/// An engine's refusal of a stream.
struct StreamRefusal {
  /// True only if the engine said that it did not run the stream.
  bool not_run = false;
  std::string error;
};

/// Reads the body of an answer that is no stream; anything unreadable is taken for "may have run".
StreamRefusal parseStreamRefusal(std::string_view json);

}  // namespace cypresswall::engines
