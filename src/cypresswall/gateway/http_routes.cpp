#include "cypresswall/gateway/http_routes.h"

#include <utility>

#include "cypresswall/gateway/error_answer.h"

namespace cypresswall::gateway {

void HttpRoutes::add(std::string prefix, http::Handler handler) {
  while (!prefix.empty() && prefix.back() == '/') {
    prefix.pop_back();
  }
  handlers_[std::move(prefix)] = std::move(handler);
}

void HttpRoutes::handle(http::Request request,
                        const std::shared_ptr<http::Responder>& responder) const {
  const http::Handler* handler = find(request.path);
  if (handler == nullptr) {
    respondWithError(*responder, notFoundError("no resource at " + request.path), "");
    return;
  }
  (*handler)(std::move(request), responder);
}

const http::Handler* HttpRoutes::find(const std::string& path) const {
  std::string prefix = path;
  for (;;) {
    const auto found = handlers_.find(prefix);
    if (found != handlers_.end()) {
      return &found->second;
    }
    const auto slash = prefix.rfind('/');
    if (slash == std::string::npos) {
      return nullptr;
    }
    prefix.resize(slash);
  }
}

}  // namespace cypresswall::gateway
