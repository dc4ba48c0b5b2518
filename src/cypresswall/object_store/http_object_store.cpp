#include "cypresswall/object_store/http_object_store.h"

#include <utility>

#include "cypresswall/object_store/platform_json.h"

namespace cypresswall::object_store {
namespace {

using runtime::CurlRequest;
using runtime::CurlResponse;

/// The time limit of a watch request exceeds its poll time by this, for the network round trip.
constexpr auto kWatchMargin = std::chrono::seconds(2);

}  // namespace

HttpObjectStore::HttpObjectStore(runtime::CurlMulti& curl, common::CounterRegistry& counters,
                                 HttpObjectStoreSettings settings)
    : curl_(curl), counters_(counters), settings_(std::move(settings)) {}

void HttpObjectStore::get(const std::string& key, StoreCallback<StoredObject> callback) {
  curl_.fetch(request("GET", "/objects/" + runtime::percentEncode(key), settings_.read_time_limit),
              [this, callback = std::move(callback)](const CurlResponse& response) {
                callback(counters_.counted(readResult<StoredObject>(response, parseStoredObject)));
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
    // A version conflict counts as success if an earlier attempt of the same write caused it.
    const auto own = [&](const StoredObject& stored) {
      return stored.change_id == write.change_id && stored.version == write.expected_version + 1;
    };
    callback(counters_.counted(writeResult(response, parseStoredObject, own)));
  });
}

void HttpObjectStore::list(const std::string& prefix, StoreCallback<ObjectListing> callback) {
  curl_.fetch(request("GET", "/objects?prefix=" + runtime::percentEncode(prefix),
                      settings_.read_time_limit),
              [this, callback = std::move(callback)](const CurlResponse& response) {
                callback(listingOf(response));
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
                callback(listingOf(response));
              });
}

StoreResult<ObjectListing> HttpObjectStore::listingOf(const CurlResponse& response) {
  auto result = counters_.counted(readResult<ObjectListing>(response, parseObjectListing));
  if (result.ok()) {
    counters_.unreadable_objects.add(result.value().unreadable);
  }
  return result;
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

}  // namespace cypresswall::object_store
