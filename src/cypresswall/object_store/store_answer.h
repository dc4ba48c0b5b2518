/// Interpretation of an object store's HTTP answers, shared by the clients of all supported object
/// APIs.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cypresswall/common/counters.h"
#include "cypresswall/object_store/object_store.h"
#include "cypresswall/object_store/platform_json.h"
#include "cypresswall/runtime/curl_request.h"

namespace cypresswall::object_store {

/// Counters of store calls by outcome.
struct StoreCallCounters {
  explicit StoreCallCounters(common::CounterRegistry& registry);

  /// Counts `result` and returns it.
  template <typename Value>
  StoreResult<Value> counted(StoreResult<Value> result) {
    count(result.ok() ? nullptr : &result.failure().kind);
    return result;
  }
  /// \param failure null if the call succeeded
  void count(const StoreFailure* failure);

  common::Counter& calls;
  common::Counter& unavailable;
  common::Counter& unknown_outcome;
  common::Counter& conflicts;
  /// Objects left out of answers: another writer made or overwrote them.
  common::Counter& unreadable_objects;
};

/// \return the failure of a read, or nothing if the body contains the result.
std::optional<common::Failure<StoreFailure>> readFailure(const runtime::CurlResponse& response);

/// \return the failure of a write, or nothing if the body contains the object as written. The
///   failure is kUnavailable only if no byte was sent or the store reported that it did nothing.
std::optional<common::Failure<StoreFailure>> writeFailure(const runtime::CurlResponse& response);

/// Converts the answer to a read into a result.
/// \param parse throws PlatformProtocolError if it cannot parse the body
template <typename Value, typename Parse>
StoreResult<Value> readResult(const runtime::CurlResponse& response, Parse parse) {
  if (const auto failure = readFailure(response)) {
    return *failure;
  }
  try {
    return parse(response.body);
  } catch (const PlatformProtocolError& error) {
    return common::Failure<StoreFailure>{StoreFailure::kUnavailable, error.what()};
  }
}

/// Converts the answer to a write into a result.
/// \param parse throws PlatformProtocolError if it cannot parse the body
/// \param own returns true if the stored object that caused a conflict was written by an earlier
///   attempt of the same write; the write then took effect, and the result is the stored object
///   instead of a conflict
StoreResult<StoredObject> writeResult(const runtime::CurlResponse& response,
                                      const std::function<StoredObject(std::string_view)>& parse,
                                      const std::function<bool(const StoredObject&)>& own);

}  // namespace cypresswall::object_store
