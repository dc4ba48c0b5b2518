/// Parses the server-sent events of a streamed answer of an engine or a gateway, at a low cost per
/// event, so that one load generator can drive many streams.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cypresswall::bench {

/// Format of the events.
enum class Dialect : std::uint8_t {
  kEngine,   ///< docs/protocols.md, "Engine"
  kGateway,  ///< POST /v1/completions with "stream": true
};

/// Receives the parsed events.
class EventListener {
 public:
  virtual ~EventListener() = default;
  virtual void onToken(std::string_view text) = 0;
  /// Called for the event that marks the answer as complete.
  virtual void onComplete() = 0;
  /// Called for an event that reports a failure; `body` is its JSON.
  virtual void onErrorEvent(std::string_view body) = 0;
};

class EventScanner {
 public:
  EventScanner(Dialect dialect, EventListener& listener) : dialect_(dialect), listener_(listener) {}
  /// Parses bytes as they arrive; an event may be split at any byte.
  void feed(std::string_view bytes);

 private:
  void parseLine(std::string_view line);
  void parseData(std::string_view data);

  Dialect dialect_;
  EventListener& listener_;
  /// Incomplete last line.
  std::string partial_;
};

}  // namespace cypresswall::bench
