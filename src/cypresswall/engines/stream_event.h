/// Events of an engine's stream and their JSON parsers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cypresswall/common/errors.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::engines {

/// An engine's answer violates the protocol.
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

/// Parses the common form of a token event without building a JSON tree: a flat object with
/// "attempt", "index" and "token" in any order, whose text has no escapes. For all input that it
/// accepts, the result is the same as that of parseStreamEvent().
/// \return false if `json` has any other form; `event` is then unspecified.
bool parseTokenEventFast(std::string_view json, TokenEvent& event);

}  // namespace cypresswall::engines
