/// HTTP front end of one emulated engine: the engine protocol of docs/protocols.md.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "cypresswall/emulation/engine.h"
#include "cypresswall/http/server.h"
#include "standins/fronts/json_http.h"

namespace cypresswall::standins {

class EngineFront {
 public:
  /// \param engine must outlive the front
  explicit EngineFront(emulation::EmulatedEngine& engine) : engine_(engine) {}
  ~EngineFront();
  EngineFront(const EngineFront&) = delete;
  EngineFront& operator=(const EngineFront&) = delete;

  void handle(const http::Request& request, const ResponderPointer& responder);

 private:
  class StreamConnection;
  using StreamKey = std::pair<std::string, std::uint32_t>;

  /// \return the header fields in which the engine announces its limit and that it leaves
  std::vector<http::Header> headers() const;
  void route(const http::Request& request, const ResponderPointer& responder);
  void routeAdmin(const http::Request& request, const ResponderPointer& responder);
  void startStream(const http::Request& request, const ResponderPointer& responder);
  void cancelStream(const http::Request& request, const ResponderPointer& responder);
  void handleOrder(const http::Request& request, const ResponderPointer& responder);
  void exportKv(const http::Request& request, const ResponderPointer& responder);
  void setFaults(const http::Request& request, const ResponderPointer& responder);
  void forget(const StreamKey& key) { connections_.erase(key); }

  emulation::EmulatedEngine& engine_;
  std::map<StreamKey, std::shared_ptr<StreamConnection>> connections_;
};

}  // namespace cypresswall::standins
