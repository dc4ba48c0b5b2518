/// Client of the platform's machine list over HTTP (docs/protocols.md).
#pragma once

#include <chrono>

#include "cypresswall/object_store/machine_list.h"
#include "cypresswall/runtime/curl_multi.h"

namespace cypresswall::object_store {

struct HttpMachineListSettings {
  common::Address address;
  common::Duration connect_time_limit = std::chrono::seconds(1);
  common::Duration time_limit = std::chrono::seconds(2);
};

/// \pre `curl` outlives the client
class HttpMachineList final : public MachineList {
 public:
  HttpMachineList(runtime::CurlMulti& curl, HttpMachineListSettings settings);
  void fetch(const common::ZoneName& zone, MachineListCallback callback) override;

 private:
  runtime::CurlMulti& curl_;
  HttpMachineListSettings settings_;
};

}  // namespace cypresswall::object_store
