/// HTTP front end of the platform: object API, machine list and weight store of docs/protocols.md.
#pragma once

#include <string>

#include "cypresswall/emulation/machine_list.h"
#include "cypresswall/emulation/object_store.h"
#include "cypresswall/emulation/weight_store.h"
#include "cypresswall/http/server.h"
#include "standins/fronts/json_http.h"

namespace cypresswall::standins {

class PlatformFront {
 public:
  PlatformFront(emulation::EmulatedObjectStore& store, emulation::EmulatedMachineList& machines,
                emulation::EmulatedWeightStore& weights)
      : store_(store), machines_(machines), weights_(weights) {}

  void handle(const http::Request& request, const ResponderPointer& responder);

 private:
  void route(const http::Request& request, const ResponderPointer& responder);
  void getObject(const std::string& key, const ResponderPointer& responder);
  void putObject(const std::string& key, const http::Request& request,
                 const ResponderPointer& responder);
  void listObjects(const http::Request& request, const ResponderPointer& responder);
  void watchObjects(const http::Request& request, const ResponderPointer& responder);
  void listMachines(const http::Request& request, const ResponderPointer& responder);
  void setMachine(const http::Request& request, const ResponderPointer& responder);
  void fetchWeights(const http::Request& request, const ResponderPointer& responder);
  void setFaults(const http::Request& request, const ResponderPointer& responder);
  nlohmann::json encodeObject(const object_store::StoredObject& object) const;
  nlohmann::json encodeListing(const object_store::ObjectListing& listing) const;
  nlohmann::json encodeLedger() const;
  void respondFailure(const common::Failure<object_store::StoreFailure>& failure,
                      const std::string& key, const ResponderPointer& responder) const;

  emulation::EmulatedObjectStore& store_;
  emulation::EmulatedMachineList& machines_;
  emulation::EmulatedWeightStore& weights_;
};

}  // namespace cypresswall::standins
