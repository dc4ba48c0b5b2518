/// Blocking HTTP calls for the process tests.
#pragma once

#include <curl/curl.h>

#include <map>
#include <memory>
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

/// Keeps its connections and uses them until the peer closes them. libcurl sends a request again if
/// such a connection proves to be closed, so it is for requests that may be repeated.
class HttpClient {
 public:
  HttpClient();
  /// As httpCall().
  HttpAnswer call(const std::string& method, const std::string& address, const std::string& target,
                  const std::string& body = "",
                  const std::map<std::string, std::string>& headers = {});

 private:
  std::unique_ptr<CURL, void (*)(CURL*)> curl_;
};

/// Makes a call on a connection of its own.
/// \param address "IP:port"
/// \param headers each "Name: value"
HttpAnswer httpCall(const std::string& method, const std::string& address,
                    const std::string& target, const std::string& body = "",
                    const std::map<std::string, std::string>& headers = {});

}  // namespace cypresswall::testing
