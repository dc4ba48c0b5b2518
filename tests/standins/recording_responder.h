/// A Responder that records the answer of an HTTP front end, for tests without sockets.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/http/server.h"

namespace cypresswall::standins {

class RecordingResponder final : public http::Responder {
 public:
  void respond(int given_status, const std::vector<http::Header>& given_headers,
               std::string given_body) override {
    status = given_status;
    headers = given_headers;
    body = std::move(given_body);
    complete = true;
  }
  void startStream(int given_status, const std::vector<http::Header>& given_headers) override {
    status = given_status;
    headers = given_headers;
  }
  void write(std::string_view chunk) override { body += chunk; }
  void finishStream() override { complete = true; }
  void abort() override { aborted = true; }
  std::size_t pendingBytes() const override { return 0; }
  void onDrained(std::function<void()>) override {}
  void onClosed(std::function<void()> callback) override { close = std::move(callback); }

  nlohmann::json json() const { return nlohmann::json::parse(body); }

  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
  bool complete = false;
  bool aborted = false;
  /// Simulates that the caller closes the connection.
  std::function<void()> close;
};

/// Sends one request to a front end. \return its responder
template <typename Front>
std::shared_ptr<RecordingResponder> ask(Front& front, const std::string& method,
                                        const std::string& path, const std::string& body = "",
                                        std::map<std::string, std::string> query = {}) {
  http::Request request;
  request.method = method;
  request.path = path;
  request.target = path;
  request.query = std::move(query);
  request.body = body;
  auto responder = std::make_shared<RecordingResponder>();
  front.handle(request, responder);
  return responder;
}

}  // namespace cypresswall::standins
