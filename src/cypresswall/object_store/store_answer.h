/// What the answers of an object store over HTTP mean, whatever its dialect: shared by the clients
/// of the object API.
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

/// Numbers of calls by how they ended.
struct StoreCallCounters {
  explicit StoreCallCounters(common::CounterRegistry& registry);

  /// Counts `result` and gives it back.
  template <typename Value>
  StoreResult<Value> counted(StoreResult<Value> result) {
    count(result.ok() ? nullptr : &result.failure().kind);
    return result;
  }
  /// \param failure null if the call did what it was to do
  void count(const StoreFailure* failure);

  common::Counter& calls;
  common::Counter& unavailable;
  common::Counter& unknown_outcome;
  common::Counter& conflicts;
};

/// \return how the answer to a read failed, nothing if its body is to be read. A read that failed
///   did nothing.
std::optional<common::Failure<StoreFailure>> readFailure(const runtime::CurlResponse& response);

/// \return how the answer to a write failed, nothing if its body tells the object as written.
///   kUnavailable only if no byte was sent or the store said that it did nothing.
std::optional<common::Failure<StoreFailure>> writeFailure(const runtime::CurlResponse& response);

/// Turns the answer to a read into a result.
/// \param parse throws PlatformProtocolError if it can't read the body
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

/// Turns the answer to a write into a result.
/// \param parse throws PlatformProtocolError if it can't read the body
/// \param own tells whether the object that a refused write met is its own earlier copy: then there
///   is no conflict, the write took effect
StoreResult<StoredObject> writeResult(const runtime::CurlResponse& response,
                                      const std::function<StoredObject(std::string_view)>& parse,
                                      const std::function<bool(const StoredObject&)>& own);

}  // namespace cypresswall::object_store
