/// On the node that is its zone's reader: reads accepted changes from the platform's store, and
/// writes back changes that a store restored from a backup has lost. Also loads the first
/// configuration of a new node that obtains none from peers.
#pragma once

#include <functional>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_settings.h"
#include "cypresswall/configuration/replica_state.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::configuration {

class StoreReader {
 public:
  /// \param is_reader returns whether this node is currently its zone's reader
  StoreReader(const ConfigurationSettings& settings, const api::ProcessContext& context,
              ReplicaState& state, object_store::ObjectStore& store,
              std::function<bool()> is_reader);
  StoreReader(const StoreReader&) = delete;
  StoreReader& operator=(const StoreReader&) = delete;

  void start();
  /// True if this node's last read reached the store.
  bool storeReachable() const { return reachable_; }
  /// True while the store is known to lack changes that this node holds.
  bool storeBehind() const { return behind_; }

 private:
  using Stored = object_store::StoreResult<object_store::StoredObject>;

  void loadWhenDue();
  void load();
  void onSnapshotRead(const Stored& result);
  void probe();
  void checkOwnVersion();
  void fetchNext();
  void onChangeRead(const Stored& result);
  void onFetchEnded(bool complete);
  void watch();
  void startWatch();
  void onWatchResult(const object_store::StoreResult<object_store::ObjectListing>& result);
  void retryWatch();
  bool applyStored(const object_store::StoredObject& object);
  void findLastStoredChange(std::uint64_t version);
  void writeBack(std::uint64_t version);
  void writeSnapshotThenChanges(std::uint64_t version);
  void continueIfStoredMatches(std::uint64_t version, std::function<void()> same);
  bool matchesOwnChange(const object_store::StoredObject& object, std::uint64_t version);
  void recordReachability(const Stored& result);

  const ConfigurationSettings& settings_;
  const api::ProcessContext& context_;
  ReplicaState& state_;
  object_store::ObjectStore& store_;
  std::function<bool()> is_reader_;
  common::MonotonicTime started_;
  bool loading_ = false;
  bool fetching_ = false;
  bool watching_ = false;
  bool writing_back_ = false;
  bool reachable_ = false;
  bool behind_ = false;
  std::uint64_t revision_ = 0;
  common::Counter& unreadable_;
  common::Counter& failures_;
  common::Counter& written_back_;
  common::Counter& behind_count_;
};

}  // namespace cypresswall::configuration
