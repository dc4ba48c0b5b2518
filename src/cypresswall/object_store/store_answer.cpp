#include "cypresswall/object_store/store_answer.h"

namespace cypresswall::object_store {
namespace {

using runtime::CurlOutcome;
using runtime::CurlResponse;
using StoreFault = common::Failure<StoreFailure>;

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

std::string statusText(const CurlResponse& response) {
  return "status " + std::to_string(response.status);
}

/// \return true if an answer with this status means that the store did not carry out the write.
bool refusesWrite(int status) {
  return status == kStatusUnavailable ||
         (status >= kStatusBadRequest && status < kStatusServerError);
}

bool isOwnWrite(const CurlResponse& response,
                const std::function<StoredObject(std::string_view)>& parse,
                const std::function<bool(const StoredObject&)>& own, StoredObject& stored) {
  try {
    stored = parse(response.body);
    return own(stored);
  } catch (const PlatformProtocolError&) {
    return false;  // An unreadable body does not show that the stored object is our own write.
  }
}

}  // namespace

StoreCallCounters::StoreCallCounters(common::CounterRegistry& registry)
    : calls(registry.counter("cypresswall_store_calls_total", "Calls to the object API.")),
      unavailable(registry.counter("cypresswall_store_unavailable_total",
                                   "Calls to the object API that did nothing.")),
      unknown_outcome(registry.counter("cypresswall_store_unknown_outcome_total",
                                       "Writes that may have taken effect.")),
      conflicts(registry.counter("cypresswall_store_conflicts_total",
                                 "Writes refused for another version.")),
      unreadable_objects(
          registry.counter("cypresswall_store_unreadable_objects_total",
                           "Objects of this system left out of answers: another writer made or "
                           "overwrote them.")) {}

void StoreCallCounters::count(const StoreFailure* failure) {
  calls.add();
  if (failure == nullptr) {
    return;
  }
  if (*failure == StoreFailure::kUnavailable) {
    unavailable.add();
  } else if (*failure == StoreFailure::kUnknownOutcome) {
    unknown_outcome.add();
  } else if (*failure == StoreFailure::kConflict) {
    conflicts.add();
  }
}

std::optional<StoreFault> readFailure(const CurlResponse& response) {
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
  return std::nullopt;
}

std::optional<StoreFault> writeFailure(const CurlResponse& response) {
  if (response.outcome == CurlOutcome::kNotSent) {
    return StoreFault{StoreFailure::kUnavailable, response.error};
  }
  if (response.outcome == CurlOutcome::kBroken) {
    return StoreFault{StoreFailure::kUnknownOutcome, response.error};
  }
  if (response.status == kStatusConflict) {
    return StoreFault{StoreFailure::kConflict, "another version is stored"};
  }
  if (refusesWrite(response.status)) {
    return StoreFault{StoreFailure::kUnavailable, statusText(response)};
  }
  if (response.status != kStatusOk && response.status != kStatusCreated) {
    return StoreFault{StoreFailure::kUnknownOutcome, statusText(response)};
  }
  return std::nullopt;
}

StoreResult<StoredObject> writeResult(const CurlResponse& response,
                                      const std::function<StoredObject(std::string_view)>& parse,
                                      const std::function<bool(const StoredObject&)>& own) {
  if (const auto failure = writeFailure(response)) {
    StoredObject stored;
    if (failure->kind == StoreFailure::kConflict && isOwnWrite(response, parse, own, stored)) {
      return stored;
    }
    return *failure;
  }
  try {
    return parse(response.body);
  } catch (const PlatformProtocolError& error) {
    return StoreFault{StoreFailure::kUnknownOutcome, error.what()};
  }
}

}  // namespace cypresswall::object_store
