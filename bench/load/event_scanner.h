/// Reads the server-sent events of a streamed answer, from an engine or from a gateway, with little
/// work for each event, so that one generator can drive many streams.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cypresswall::bench {

/// Whose events are read.
enum class Dialect : std::uint8_t {
  kEngine,   ///< docs/protocols.md, "Engine"
  kGateway,  ///< POST /v1/completions with "stream": true
};

/// Receives what events say.
class EventListener {
 public:
  virtual ~EventListener() = default;
  virtual void onToken(std::string_view text) = 0;
  /// The event that says that the answer is whole.
  virtual void onComplete() = 0;
  /// An event that reports a failure; `body` is its JSON.
  virtual void onErrorEvent(std::string_view body) = 0;
};

class EventScanner {
 public:
  EventScanner(Dialect dialect, EventListener& listener) : dialect_(dialect), listener_(listener) {}
  /// Takes bytes as they arrive; events may be cut anywhere.
  void feed(std::string_view bytes);

 private:
  void parseLine(std::string_view line);
  void parseData(std::string_view data);

  Dialect dialect_;
  EventListener& listener_;
  /// The beginning of a line whose end has not arrived.
  std::string partial_;
};

}  // namespace cypresswall::bench
