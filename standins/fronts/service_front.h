/// HTTP front end of an emulated plain HTTP service.
#pragma once

#include <string>

#include "cypresswall/emulation/service.h"
#include "cypresswall/http/server.h"
#include "standins/fronts/json_http.h"

namespace cypresswall::standins {

class ServiceFront {
 public:
  explicit ServiceFront(emulation::EmulatedService& service) : service_(service) {}

  /// Handles every path outside /admin/ as a call of the service.
  void handle(const http::Request& request, const ResponderPointer& responder);

 private:
  void route(const http::Request& request, const ResponderPointer& responder);
  void call(const http::Request& request, const ResponderPointer& responder);
  void setFaults(const http::Request& request, const ResponderPointer& responder);
  nlohmann::json encodeLedger() const;

  emulation::EmulatedService& service_;
  /// Machine on which the service runs; empty if it runs the requests meant for any.
  std::string machine_;
};

}  // namespace cypresswall::standins
