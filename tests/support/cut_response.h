/// Valid responses that are cut at every byte, for tests of clients over real sockets.
#pragma once

#include <cstddef>
#include <sstream>
#include <string>
#include <vector>

#include "tests/support/scripted_server.h"

namespace cypresswall::testing {

/// A response whose end was lost.
struct CutResponse {
  /// Number of bytes that arrive; less than the whole response.
  std::size_t bytes = 0;
  bool head_arrives = false;
  bool reset = false;
  /// For messages of assertions.
  std::string description;
};

/// \return the chunked framing of a body that consists of these pieces
inline std::string chunked(const std::vector<std::string>& pieces) {
  std::ostringstream framed;
  for (const std::string& piece : pieces) {
    framed << std::hex << piece.size() << "\r\n" << piece << "\r\n";
  }
  return framed.str() + "0\r\n\r\n";
}

/// Scripts the answer to the next request for each proper prefix of `response`, followed by an
/// orderly close or a reset, and calls `check(const CutResponse&)`, which makes the request. A
/// response in chunks counts as whole without its very last byte: libcurl takes the CR behind the
/// last chunk for the line end.
template <typename Check>
void forEachCut(ScriptedServer& server, const std::string& response, Check check) {
  const std::size_t head = response.find("\r\n\r\n") + 4;
  const std::size_t whole = response.size() - (response.ends_with("\r\n0\r\n\r\n") ? 1 : 0);
  for (const bool reset : {false, true}) {
    server.resetOnClose(reset);
    for (std::size_t bytes = 0; bytes < whole; ++bytes) {
      server.answer(response.substr(0, bytes), true);
      check(CutResponse{bytes, bytes >= head, reset,
                        std::to_string(bytes) + " of " + std::to_string(response.size()) +
                            " bytes, then a " + (reset ? "reset" : "close")});
    }
  }
  server.resetOnClose(false);
}

}  // namespace cypresswall::testing
