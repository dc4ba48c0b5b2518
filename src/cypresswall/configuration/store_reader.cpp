#include "cypresswall/configuration/store_reader.h"

#include <exception>
#include <utility>

#include "cypresswall/configuration/change_encoding.h"

namespace cypresswall::configuration {

using common::LogEvent;
using common::LogLevel;
using object_store::StoreFailure;

namespace {

/// Calls `step`; if it throws, clears `under_way` so that the work begins again when it is due.
template <typename Step>
void endOnFailure(bool& under_way, Step&& step) {
  try {
    std::forward<Step>(step)();
  } catch (const std::exception&) {
    under_way = false;
    throw;
  }
}

}  // namespace

StoreReader::StoreReader(const ConfigurationSettings& settings, const api::ProcessContext& context,
                         ReplicaState& state, object_store::ObjectStore& store,
                         std::function<bool()> is_reader)
    : settings_(settings),
      context_(context),
      state_(state),
      store_(store),
      is_reader_(std::move(is_reader)),
      unreadable_(context.counters.counter("cypresswall_configuration_unreadable_total",
                                           "Received changes and snapshots that can't be decoded",
                                           "source", "store")),
      failures_(context.counters.counter("cypresswall_configuration_store_failures_total",
                                         "Reads of the store that failed")),
      written_back_(context.counters.counter("cypresswall_configuration_written_back_total",
                                             "Changes written back to a store that lost them")),
      behind_count_(context.counters.counter("cypresswall_configuration_store_behind_total",
                                             "Times that the store was found to lack changes")) {}

void StoreReader::start() {
  started_ = context_.clock.now();
  loadWhenDue();
  context_.scheduler.schedule(settings_.probe_interval, [this] { probe(); });
  state_.onReady([this] { watch(); });
}

void StoreReader::loadWhenDue() {
  if (state_.ready()) {
    return;
  }
  context_.scheduler.schedule(settings_.bootstrap_interval, [this] { loadWhenDue(); });
  const auto waited = context_.clock.now() - started_;
  const bool due = waited >= settings_.store_bootstrap_delay ||
                   (waited >= settings_.peer_bootstrap_delay && is_reader_());
  if (due && !loading_) {
    load();
  }
}

void StoreReader::load() {
  loading_ = true;
  store_.get(std::string(kSnapshotKey), [this](const Stored& result) {
    endOnFailure(loading_, [&] { onSnapshotRead(result); });
  });
}

void StoreReader::onSnapshotRead(const Stored& result) {
  recordReachability(result);
  if (result.ok()) {
    try {
      state_.install(decodeSnapshot(result.value().value), ChangeSource::kStore);
    } catch (const EncodingError& error) {
      unreadable_.add();
      LogEvent(context_.log, LogLevel::kError, "configuration_snapshot_unreadable")
          .field("error", error.what());
      loading_ = false;
      return;
    }
  } else if (result.failure().kind != StoreFailure::kNotFound) {
    loading_ = false;
    return;
  }
  fetchNext();
}

void StoreReader::probe() {
  context_.scheduler.schedule(settings_.probe_interval, [this] { probe(); });
  if (!state_.ready() || !is_reader_()) {
    return;
  }
  watch();
  checkOwnVersion();
}

void StoreReader::checkOwnVersion() {
  const std::uint64_t version = state_.log().version();
  if (version == 0) {
    fetchNext();
    return;
  }
  store_.get(changeKey(version), [this, version](const Stored& result) {
    recordReachability(result);
    if (result.ok()) {
      if (matchesOwnChange(result.value(), version)) {
        behind_ = false;
        fetchNext();
      }
    } else if (result.failure().kind == StoreFailure::kNotFound && !writing_back_) {
      behind_ = true;
      behind_count_.add();
      writing_back_ = true;
      findLastStoredChange(version);
    }
  });
}

void StoreReader::fetchNext() {
  if (fetching_) {
    return;
  }
  fetching_ = true;
  store_.get(changeKey(state_.log().version() + 1), [this](const Stored& result) {
    endOnFailure(loading_, [&] { onChangeRead(result); });
  });
}

void StoreReader::onChangeRead(const Stored& result) {
  recordReachability(result);
  fetching_ = false;
  if (result.ok()) {
    if (applyStored(result.value())) {
      fetchNext();
    } else {
      onFetchEnded(false);
    }
  } else {
    onFetchEnded(result.failure().kind == StoreFailure::kNotFound);
  }
}

void StoreReader::onFetchEnded(bool complete) {
  if (loading_ && complete) {
    state_.markReady();
  }
  loading_ = false;
}

bool StoreReader::applyStored(const object_store::StoredObject& object) {
  try {
    const AppendResult result = state_.apply({decodeChange(object.value)}, ChangeSource::kStore);
    if (result == AppendResult::kGap) {
      fetchNext();
    }
    return result != AppendResult::kFork && result != AppendResult::kGap;
  } catch (const EncodingError& error) {
    unreadable_.add();
    LogEvent(context_.log, LogLevel::kError, "configuration_change_unreadable")
        .field("key", object.key)
        .field("error", error.what());
    return false;
  }
}

void StoreReader::watch() {
  if (watching_ || !state_.ready() || !is_reader_()) {
    return;
  }
  watching_ = true;
  if (revision_ == 0) {
    startWatch();
    return;
  }
  store_.watch(std::string(kChangesPrefix), revision_,
               [this](const object_store::StoreResult<object_store::ObjectListing>& result) {
                 onWatchResult(result);
               });
}

/// Obtains the store's revision, from which the watch starts. To do so, lists the key prefix of the
/// next change, which at most one object has; a listing of all changes would grow with the age of
/// the fleet.
void StoreReader::startWatch() {
  store_.list(changeKey(state_.log().version() + 1),
              [this](const object_store::StoreResult<object_store::ObjectListing>& result) {
                onWatchResult(result);
              });
}

void StoreReader::onWatchResult(
    const object_store::StoreResult<object_store::ObjectListing>& result) {
  watching_ = false;
  if (!result.ok()) {
    failures_.add();
    if (result.failure().kind == StoreFailure::kCompacted) {
      revision_ = 0;
    }
    retryWatch();
    return;
  }
  for (const object_store::StoredObject& object : result.value().objects) {
    applyStored(object);
  }
  const bool store_rolled_back = result.value().revision < revision_;
  revision_ = store_rolled_back ? 0 : result.value().revision;
  if (revision_ == 0) {
    retryWatch();
  } else {
    watch();
  }
}

void StoreReader::retryWatch() {
  context_.scheduler.schedule(settings_.store_retry_delay, [this] { watch(); });
}

bool StoreReader::matchesOwnChange(const object_store::StoredObject& object,
                                   std::uint64_t version) {
  try {
    const LoggedChange stored = decodeChange(object.value);
    const auto own = state_.log().digestAt(version);
    if (!own || *own == stored.digest) {
      return true;
    }
    state_.recordFork("store", version);
  } catch (const EncodingError&) {
    unreadable_.add();
  }
  return false;
}

/// Searches backwards from `version` for the newest change that the store still holds, and writes
/// the changes after that one back to the store.
void StoreReader::findLastStoredChange(std::uint64_t version) {
  if (version == 0) {
    writeBack(1);
    return;
  }
  if (state_.log().find(version) == nullptr) {
    writeSnapshotThenChanges(version + 1);
    return;
  }
  store_.get(changeKey(version), [this, version](const Stored& result) {
    if (result.ok()) {
      if (matchesOwnChange(result.value(), version)) {
        writeBack(version + 1);
      } else {
        writing_back_ = false;
      }
    } else if (result.failure().kind == StoreFailure::kNotFound) {
      findLastStoredChange(version - 1);
    } else {
      writing_back_ = false;
    }
  });
}

/// Writes a snapshot and then the changes from `version` on to the store. The snapshot replaces the
/// changes before `version`, which this node no longer retains.
void StoreReader::writeSnapshotThenChanges(std::uint64_t version) {
  const std::string key(kSnapshotKey);
  store_.get(key, [this, key, version](const Stored& result) {
    const bool absent = !result.ok() && result.failure().kind == StoreFailure::kNotFound;
    if (!result.ok() && !absent) {
      writing_back_ = false;
      return;
    }
    const std::uint64_t expected = absent ? 0 : result.value().version;
    object_store::ObjectWrite write{key, expected, encodeSnapshot(state_.log().snapshot()),
                                    "snapshot-" + std::to_string(state_.log().version())};
    store_.compareAndSet(std::move(write), [this, version](const Stored& written) {
      if (written.ok()) {
        writeBack(version);
      } else {
        writing_back_ = false;
      }
    });
  });
}

void StoreReader::writeBack(std::uint64_t version) {
  const LoggedChange* entry = state_.log().find(version);
  if (entry == nullptr) {
    writing_back_ = false;
    behind_ = version <= state_.log().version();
    return;
  }
  object_store::ObjectWrite write{changeKey(version), 0, encodeChange(*entry),
                                  entry->change.change_id};
  store_.compareAndSet(std::move(write), [this, version](const Stored& result) {
    if (result.ok()) {
      written_back_.add();
      LogEvent(context_.log, LogLevel::kWarning, "configuration_change_written_back")
          .field("version", version);
      writeBack(version + 1);
    } else if (result.failure().kind == StoreFailure::kConflict) {
      continueIfStoredMatches(version, [this, version] { writeBack(version + 1); });
    } else {
      writing_back_ = false;
    }
  });
}

/// Calls `same` if the stored change of `version` is the one that this node holds; otherwise ends
/// the write-back.
void StoreReader::continueIfStoredMatches(std::uint64_t version, std::function<void()> same) {
  store_.get(changeKey(version), [this, version, same = std::move(same)](const Stored& result) {
    if (result.ok() && matchesOwnChange(result.value(), version)) {
      same();
    } else {
      writing_back_ = false;
    }
  });
}

void StoreReader::recordReachability(const Stored& result) {
  reachable_ = result.ok() || result.failure().kind == StoreFailure::kNotFound;
  if (!reachable_) {
    failures_.add();
  }
}

}  // namespace cypresswall::configuration
