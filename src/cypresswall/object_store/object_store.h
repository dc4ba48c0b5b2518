/// Interface of the platform's object API: versioned objects with compare-and-set, list and watch.
/// Implemented over HTTP (HttpObjectStore) and by the simulator.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cypresswall/common/result.h"

namespace cypresswall::object_store {

/// Why a call to the store failed.
enum class StoreFailure {
  kUnavailable,     ///< nothing was sent, or the store reported that it did nothing
  kUnknownOutcome,  ///< a write may or may not have taken effect; read the object back to find out
  kConflict,        ///< compare-and-set found another version
  kNotFound,
  kCompacted,  ///< the watch can't continue from the given revision; list again
};

/// One stored object.
struct StoredObject {
  std::string key;
  /// Version of this object, starting at 1. As expected version of a compare-and-set, zero means
  /// that the object must not exist.
  std::uint64_t version = 0;
  std::string value;
  /// Identifier that the writer chose for its latest write. After a lost answer it shows the writer
  /// whether the write took effect.
  std::string change_id;
};

/// All objects under a prefix at one revision of the store.
struct ObjectListing {
  std::uint64_t revision = 0;
  std::vector<StoredObject> objects;
  /// Number of malformed objects, which are left out.
  std::size_t unreadable = 0;
};

/// A compare-and-set write.
struct ObjectWrite {
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
  std::string change_id;
};

template <typename Value>
using StoreResult = common::Result<Value, StoreFailure>;
template <typename Value>
using StoreCallback = std::function<void(StoreResult<Value>)>;

/// Client of the object API. Each callback is called exactly once, never before the member function
/// returns, on the process's only thread, and within the client's time limit.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  virtual void get(const std::string& key, StoreCallback<StoredObject> callback) = 0;
  /// \param callback receives the object as written, or kConflict, kUnknownOutcome or kUnavailable
  virtual void compareAndSet(ObjectWrite write, StoreCallback<StoredObject> callback) = 0;
  virtual void list(const std::string& prefix, StoreCallback<ObjectListing> callback) = 0;
  /// Waits for changes under `prefix` after `revision` (long poll); an empty listing means that
  /// nothing changed within the poll time. The store may leave out some changes from the listing.
  virtual void watch(const std::string& prefix, std::uint64_t revision,
                     StoreCallback<ObjectListing> callback) = 0;
  /// \return the latest known incarnation of the store; zero if unknown. The store begins a new one
  ///   when it is restored from a copy: writes after the copy are then lost, and versions of an
  ///   earlier incarnation mean nothing.
  virtual std::uint64_t incarnation() const { return 0; }
};

}  // namespace cypresswall::object_store
