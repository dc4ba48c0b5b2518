/// Emulation of the platform's object API and its faults: outages, latency, lost responses to
/// writes, changes that a watch omits, and a restore to an older state.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::emulation {

struct ObjectStoreFaults {
  /// Every call fails without effect.
  bool down = false;
  /// Time from call to response; a write takes effect after half of it.
  common::Duration delay{0};
  /// Number of the next writes whose responses are lost, whether the writes take effect or fail.
  std::uint32_t lose_next_answers = 0;
  /// If true, the next watch response with changes omits all changes but the newest, or the only
  /// change if there is just one. Reset after that response.
  bool watch_gap = false;
};

/// One write that the store received while it was not down.
struct ObjectWriteEntry {
  object_store::ObjectWrite write;
  bool took_effect = false;
  bool answer_lost = false;
  /// Revision of the store after the write.
  std::uint64_t revision = 0;
  common::MonotonicTime at;
};

struct ObjectStoreLedger {
  std::vector<ObjectWriteEntry> writes;
  std::uint64_t reads = 0;
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t answers_lost = 0;
  std::uint64_t refused_while_down = 0;
  std::uint64_t restores = 0;
};

class EmulatedObjectStore final : public object_store::ObjectStore {
 public:
  /// How long watch() waits for a change.
  static constexpr common::Duration kWatchTime = std::chrono::seconds(5);

  EmulatedObjectStore(const common::Clock& clock, common::Scheduler& scheduler)
      : clock_(clock), scheduler_(scheduler) {}

  void get(const std::string& key,
           object_store::StoreCallback<object_store::StoredObject> callback) override;
  void compareAndSet(object_store::ObjectWrite write,
                     object_store::StoreCallback<object_store::StoredObject> callback) override;
  void list(const std::string& prefix,
            object_store::StoreCallback<object_store::ObjectListing> callback) override;
  void watch(const std::string& prefix, std::uint64_t revision,
             object_store::StoreCallback<object_store::ObjectListing> callback) override {
    watchFor(prefix, revision, kWatchTime, std::move(callback));
  }
  /// Like watch(), but waits for a change for at most `wait` instead of kWatchTime.
  void watchFor(const std::string& prefix, std::uint64_t revision, common::Duration wait,
                object_store::StoreCallback<object_store::ObjectListing> callback);

  /// Sets the faults. If the store goes down, pending watches fail at once.
  void setFaults(const ObjectStoreFaults& faults);
  const ObjectStoreFaults& faults() const { return faults_; }
  /// Reverts the store to its state at `revision`, like a restore from a backup. Pending watches
  /// that started from a later revision fail with kCompacted.
  void restoreToRevision(std::uint64_t revision);

  std::uint64_t revision() const { return revision_; }
  /// \return revision of the last write of `key`, zero if there is none.
  std::uint64_t revisionOf(const std::string& key) const;
  /// \return the object now stored under `key`, unaffected by faults; its version is 0 if there is
  ///   none.
  object_store::StoredObject peek(const std::string& key) const;
  const ObjectStoreLedger& ledger() const { return ledger_; }

 private:
  struct Versioned {
    std::uint64_t revision = 0;
    object_store::StoredObject object;
  };
  struct PendingWatch {
    std::string prefix;
    std::uint64_t revision = 0;
    common::TimerId timer = 0;
    object_store::StoreCallback<object_store::ObjectListing> callback;
  };

  /// Unless the store is down, runs `effect` after half of ObjectStoreFaults::delay, and passes its
  /// result to `callback` after the other half.
  template <typename Value, typename Effect>
  void serve(object_store::StoreCallback<Value> callback, Effect effect);
  object_store::StoreResult<object_store::StoredObject> write(
      const object_store::ObjectWrite& write);
  object_store::ObjectListing changesAfter(const std::string& prefix, std::uint64_t revision) const;
  void beginWatch(const std::string& prefix, std::uint64_t revision, common::Duration wait,
                  object_store::StoreCallback<object_store::ObjectListing> callback);
  void answerWatches();
  void endWatch(std::uint64_t watch, object_store::StoreResult<object_store::ObjectListing> result);
  void failWatches(object_store::StoreFailure failure, std::uint64_t ahead_of);
  void dropForGap(object_store::ObjectListing& listing);

  const common::Clock& clock_;
  common::Scheduler& scheduler_;
  ObjectStoreFaults faults_;
  ObjectStoreLedger ledger_;
  std::uint64_t revision_ = 0;
  std::map<std::string, Versioned> objects_;
  /// All writes that took effect, in order; used to restore an older state.
  std::vector<Versioned> history_;
  std::uint64_t next_watch_ = 1;
  std::map<std::uint64_t, PendingWatch> watches_;
};

}  // namespace cypresswall::emulation
