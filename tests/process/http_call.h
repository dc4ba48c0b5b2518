/// Blocking HTTP calls of the process tests.
#pragma once

#include <map>
#include <string>

namespace cypresswall::testing {

struct HttpAnswer {
  /// Zero if no answer's head came.
  int status = 0;
  /// True if the whole answer came.
  bool complete = false;
  /// True if no connection could be made, so that nothing was asked.
  bool not_connected = false;
  /// Why the answer is not whole, in libcurl's words.
  std::string error;
  std::string body;
  /// Names in lower case.
  std::map<std::string, std::string> headers;

  std::string header(const std::string& name) const;
};

/// \param address "IP:port"
/// \param headers each "Name: value"
HttpAnswer httpCall(const std::string& method, const std::string& address,
                    const std::string& target, const std::string& body = "",
                    const std::map<std::string, std::string>& headers = {});

}  // namespace cypresswall::testing
