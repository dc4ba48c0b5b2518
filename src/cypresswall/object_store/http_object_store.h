/// Client of the platform's object API over HTTP (docs/protocols.md).
#pragma once

#include <chrono>

#include "cypresswall/common/counters.h"
#include "cypresswall/object_store/object_store.h"
#include "cypresswall/object_store/store_answer.h"
#include "cypresswall/runtime/curl_multi.h"

namespace cypresswall::object_store {

struct HttpObjectStoreSettings {
  common::Address address;
  common::Duration connect_time_limit = std::chrono::seconds(1);
  common::Duration read_time_limit = std::chrono::seconds(3);
  common::Duration write_time_limit = std::chrono::seconds(3);
  /// Long-poll time: how long the store may hold a watch request while nothing changes.
  common::Duration watch_poll_time = std::chrono::seconds(5);
};

/// The client reports a failed write as kUnavailable only if no byte was sent or the store reported
/// that it did not carry out the write.
/// \pre `curl` and `counters` outlive the client
class HttpObjectStore final : public ObjectStore {
 public:
  HttpObjectStore(runtime::CurlMulti& curl, common::CounterRegistry& counters,
                  HttpObjectStoreSettings settings);

  void get(const std::string& key, StoreCallback<StoredObject> callback) override;
  void compareAndSet(ObjectWrite write, StoreCallback<StoredObject> callback) override;
  void list(const std::string& prefix, StoreCallback<ObjectListing> callback) override;
  void watch(const std::string& prefix, std::uint64_t revision,
             StoreCallback<ObjectListing> callback) override;

 private:
  runtime::CurlRequest request(std::string method, std::string target,
                               common::Duration time_limit) const;
  StoreResult<ObjectListing> listingOf(const runtime::CurlResponse& response);

  runtime::CurlMulti& curl_;
  StoreCallCounters counters_;
  HttpObjectStoreSettings settings_;
};

}  // namespace cypresswall::object_store
