/// Selects the handler of an HTTP request by the longest matching path prefix.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

/// Routing table of one HTTP server. Handlers must outlive the server that uses them.
class HttpRoutes {
 public:
  /// Routes the path `prefix`, and all paths that start with `prefix` and a slash, to `handler`,
  /// unless a longer prefix matches. Replaces any earlier handler of the same prefix.
  void add(std::string prefix, http::Handler handler);
  /// Calls the matching handler, or answers 404.
  void handle(http::Request request, const std::shared_ptr<http::Responder>& responder) const;

 private:
  const http::Handler* find(const std::string& path) const;

  std::map<std::string, http::Handler> handlers_;
};

}  // namespace cypresswall::gateway
