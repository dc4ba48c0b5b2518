/// A blocking caller of streamed answers that may break them off and take them up again.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cypresswall::testing {

struct StreamCall {
  std::string request_id;
  std::string host;
  std::string path;
  std::string model;
  /// Names the prompt: requests of one answer have the same.
  std::string prompt;
  std::uint32_t events = 1;
  std::chrono::milliseconds time_limit{10000};
  /// Position from which an answer is taken up; zero for a new answer.
  std::uint64_t after_event = 0;
  /// Identifier of the request that brought the first event of the answer that is taken up.
  std::string resumes;
  /// Number of events after which the caller closes the connection; zero for none.
  std::size_t close_after = 0;
};

struct ReceivedEvent {
  std::uint64_t number = 0;
  std::string build;
  std::string engine;
};

struct StreamResult {
  /// Zero without an answer.
  int status = 0;
  std::vector<ReceivedEvent> events;
  /// The answer came whole.
  bool complete = false;
  /// Without an answer: the connection could not be established.
  bool not_connected = false;
};

/// Makes the call on a connection of its own.
/// \param address "IP:port"
StreamResult callStream(const std::string& address, const StreamCall& call);

}  // namespace cypresswall::testing
