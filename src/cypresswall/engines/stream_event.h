/// Events of an engine's stream and their JSON parsers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cypresswall/common/errors.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::engines {

/// Thrown if an engine's answer violates the protocol.
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

/// Parses any stream event. \throws EngineProtocolError
StreamEvent parseStreamEvent(std::string_view json);

/// Parses the common form of a token event without building a JSON tree. In this form the event is
/// a flat object with "attempt", "index" and "token" in any order, and the token's text has no
/// escapes. Where this function succeeds, `event` is what parseStreamEvent() would return.
/// \return false if `json` has any other form; `event` is then unspecified.
bool parseTokenEventFast(std::string_view json, TokenEvent& event);

}  // namespace cypresswall::engines
