#include "cypresswall/object_store/http_machine_list.h"

#include <utility>

#include "cypresswall/object_store/platform_json.h"

namespace cypresswall::object_store {
namespace {

using runtime::CurlResponse;
using ListFault = common::Failure<MachineListFailure>;

constexpr int kStatusOk = 200;

common::Result<std::vector<Machine>, MachineListFailure> resultOf(const CurlResponse& response) {
  if (response.outcome != runtime::CurlOutcome::kAnswered) {
    return ListFault{MachineListFailure::kUnavailable, response.error};
  }
  if (response.status != kStatusOk) {
    return ListFault{MachineListFailure::kUnavailable, "status " + std::to_string(response.status)};
  }
  try {
    return parseMachines(response.body);
  } catch (const PlatformProtocolError& error) {
    return ListFault{MachineListFailure::kUnavailable, error.what()};
  }
}

}  // namespace

HttpMachineList::HttpMachineList(runtime::CurlMulti& curl, HttpMachineListSettings settings)
    : curl_(curl), settings_(std::move(settings)) {}

void HttpMachineList::fetch(const common::ZoneName& zone, MachineListCallback callback) {
  runtime::CurlRequest request;
  request.address = settings_.address;
  request.target = "/machines?zone=" + runtime::percentEncode(zone);
  request.connect_time_limit = settings_.connect_time_limit;
  request.total_time_limit = settings_.time_limit;
  curl_.fetch(std::move(request), [callback = std::move(callback)](const CurlResponse& response) {
    callback(resultOf(response));
  });
}

}  // namespace cypresswall::object_store
