/// Blocking HTTP calls for the process tests.
#pragma once

#include <map>
#include <string>

namespace cypresswall::testing {

struct HttpAnswer {
  /// Zero if no complete head was received.
  int status = 0;
  /// True if the complete answer was received, by its own framing.
  bool complete = false;
  /// True if the connection failed, so that no request was sent.
  bool not_connected = false;
  /// What went wrong if the answer is incomplete.
  std::string error;
  std::string body;
  /// Field names are in lower case.
  std::map<std::string, std::string> headers;

  std::string header(const std::string& name) const;
};

/// \param address "IP:port"
/// \param headers each "Name: value"
HttpAnswer httpCall(const std::string& method, const std::string& address,
                    const std::string& target, const std::string& body = "",
                    const std::map<std::string, std::string>& headers = {});

}  // namespace cypresswall::testing
