/// Events of an engine's stream, and how they are read from JSON.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cypresswall/common/errors.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::engines {

/// An answer of an engine that can't be understood.
class EngineProtocolError : public common::Error {
 public:
  using common::Error::Error;
};

struct TokenEvent {
  std::uint32_t attempt = 0;
  std::uint32_t index = 0;
  std::string text;

  bool operator==(const TokenEvent&) const = default;
};

struct DoneEvent {
  std::uint32_t attempt = 0;
  StreamUsage usage;
};

using StreamEvent = std::variant<TokenEvent, DoneEvent>;

/// Reads any stream event. \throws EngineProtocolError
StreamEvent parseStreamEvent(std::string_view json);

/// Reads the usual form of a token event without building a JSON tree: one flat object with
/// "attempt", "index" and "token" in any order, whose text has no escapes. Everything that it
/// accepts, parseStreamEvent() reads alike.
/// \return false if `json` has another form; `event` is then unspecified.
bool parseTokenEventFast(std::string_view json, TokenEvent& event);

}  // namespace cypresswall::engines
