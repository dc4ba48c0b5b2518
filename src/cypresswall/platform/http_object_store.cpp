#include "cypresswall/platform/http_object_store.h"

#include <utility>

#include "cypresswall/platform/platform_json.h"

namespace cypresswall::platform {
namespace {

using runtime::CurlOutcome;
using runtime::CurlRequest;
using runtime::CurlResponse;
using StoreFault = common::Failure<StoreFailure>;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;
/// Added to a watch's poll time for the way there and back.
constexpr auto kWatchMargin = std::chrono::seconds(2);

std::string statusText(const CurlResponse& response) {
  return "status " + std::to_string(response.status);
}

/// Turns the answer to a read into a result; a read that failed did nothing.
template <typename Value, typename Parse>
StoreResult<Value> readResult(const CurlResponse& response, Parse parse) {
  if (response.outcome != CurlOutcome::kAnswered) {
    return StoreFault{StoreFailure::kUnavailable, response.error};
  }
  if (response.status == kStatusNotFound) {
    return StoreFault{StoreFailure::kNotFound, "no such object"};
  }
  if (response.status == kStatusGone) {
    return StoreFault{StoreFailure::kCompacted, "the revision is too old"};
  }
  if (response.status != kStatusOk) {
    return StoreFault{StoreFailure::kUnavailable, statusText(response)};
  }
  try {
    return parse(response.body);
  } catch (const PlatformProtocolError& error) {
    return StoreFault{StoreFailure::kUnavailable, error.what()};
  }
}

/// A conflict with the write's own earlier copy is no conflict: the write took effect.
StoreResult<StoredObject> conflictResult(const CurlResponse& response, const ObjectWrite& write) {
  try {
    StoredObject stored = parseStoredObject(response.body);
    if (stored.change_id == write.change_id && stored.version == write.expected_version + 1) {
      return stored;
    }
  } catch (const PlatformProtocolError&) {
    // The status alone says enough.
  }
  return StoreFault{StoreFailure::kConflict, "another version is stored"};
}

/// \return true if the status says that a write was not carried out.
bool refusesWrite(int status) {
  return status == kStatusUnavailable ||
         (status >= kStatusBadRequest && status < kStatusServerError);
}

}  // namespace

HttpObjectStoreCounters::HttpObjectStoreCounters(common::CounterRegistry& registry)
    : calls(registry.counter("cypresswall_store_calls_total", "Calls to the object API.")),
      unavailable(registry.counter("cypresswall_store_unavailable_total",
                                   "Calls to the object API that did nothing.")),
      unknown_outcome(registry.counter("cypresswall_store_unknown_outcome_total",
                                       "Writes that may have taken effect.")),
      conflicts(registry.counter("cypresswall_store_conflicts_total",
                                 "Writes refused for another version.")) {}

HttpObjectStore::HttpObjectStore(runtime::CurlMulti& curl, common::CounterRegistry& counters,
                                 HttpObjectStoreSettings settings)
    : curl_(curl), counters_(counters), settings_(std::move(settings)) {}

void HttpObjectStore::get(const std::string& key, StoreCallback<StoredObject> callback) {
  curl_.fetch(request("GET", "/objects/" + runtime::percentEncode(key), settings_.read_time_limit),
              [this, callback = std::move(callback)](const CurlResponse& response) {
                callback(counted(readResult<StoredObject>(response, parseStoredObject)));
              });
}

void HttpObjectStore::compareAndSet(ObjectWrite write, StoreCallback<StoredObject> callback) {
  CurlRequest sent =
      request("PUT", "/objects/" + runtime::percentEncode(write.key), settings_.write_time_limit);
  sent.headers.push_back({"Content-Type", "application/json"});
  sent.body = objectWriteJson(write);
  sent.connection_use = runtime::ConnectionUse::kFresh;
  curl_.fetch(std::move(sent), [this, write = std::move(write),
                                callback = std::move(callback)](const CurlResponse& response) {
    callback(counted(writeResult(response, write)));
  });
}

void HttpObjectStore::list(const std::string& prefix, StoreCallback<ObjectListing> callback) {
  curl_.fetch(request("GET", "/objects?prefix=" + runtime::percentEncode(prefix),
                      settings_.read_time_limit),
              [this, callback = std::move(callback)](const CurlResponse& response) {
                callback(counted(readResult<ObjectListing>(response, parseObjectListing)));
              });
}

void HttpObjectStore::watch(const std::string& prefix, std::uint64_t revision,
                            StoreCallback<ObjectListing> callback) {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(settings_.watch_poll_time);
  const std::string target = "/watch?prefix=" + runtime::percentEncode(prefix) +
                             "&after=" + std::to_string(revision) +
                             "&wait_ms=" + std::to_string(wait.count());
  curl_.fetch(request("GET", target, settings_.watch_poll_time + kWatchMargin),
              [this, callback = std::move(callback)](const CurlResponse& response) {
                callback(counted(readResult<ObjectListing>(response, parseObjectListing)));
              });
}

CurlRequest HttpObjectStore::request(std::string method, std::string target,
                                     common::Duration time_limit) const {
  CurlRequest made;
  made.method = std::move(method);
  made.address = settings_.address;
  made.target = std::move(target);
  made.connect_time_limit = settings_.connect_time_limit;
  made.total_time_limit = time_limit;
  return made;
}

StoreResult<StoredObject> HttpObjectStore::writeResult(const CurlResponse& response,
                                                       const ObjectWrite& write) const {
  if (response.outcome == CurlOutcome::kNotSent) {
    return StoreFault{StoreFailure::kUnavailable, response.error};
  }
  if (response.outcome == CurlOutcome::kBroken) {
    return StoreFault{StoreFailure::kUnknownOutcome, response.error};
  }
  if (response.status == kStatusConflict) {
    return conflictResult(response, write);
  }
  if (refusesWrite(response.status)) {
    return StoreFault{StoreFailure::kUnavailable, statusText(response)};
  }
  if (response.status != kStatusOk) {
    return StoreFault{StoreFailure::kUnknownOutcome, statusText(response)};
  }
  try {
    return parseStoredObject(response.body);
  } catch (const PlatformProtocolError& error) {
    return StoreFault{StoreFailure::kUnknownOutcome, error.what()};
  }
}

template <typename Value>
StoreResult<Value> HttpObjectStore::counted(StoreResult<Value> result) {
  counters_.calls.add();
  if (result.ok()) {
    return result;
  }
  if (result.failure().kind == StoreFailure::kUnavailable) {
    counters_.unavailable.add();
  } else if (result.failure().kind == StoreFailure::kUnknownOutcome) {
    counters_.unknown_outcome.add();
  } else if (result.failure().kind == StoreFailure::kConflict) {
    counters_.conflicts.add();
  }
  return result;
}

}  // namespace cypresswall::platform
