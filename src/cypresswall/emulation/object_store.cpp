#include "cypresswall/emulation/object_store.h"

#include <memory>
#include <optional>

namespace cypresswall::emulation {

using object_store::ObjectListing;
using object_store::StoredObject;
using object_store::StoreFailure;

namespace {

common::Failure<StoreFailure> failure(StoreFailure kind, const std::string& message) {
  return {kind, message};
}

}  // namespace

template <typename Value, typename Effect>
void EmulatedObjectStore::serve(object_store::StoreCallback<Value> callback, Effect effect) {
  const common::Duration half = faults_.delay / 2;
  scheduler_.schedule(half, [this, half, callback = std::move(callback), effect]() mutable {
    std::optional<object_store::StoreResult<Value>> result;
    if (faults_.down) {
      ++ledger_.refused_while_down;
      result.emplace(failure(StoreFailure::kUnavailable, "store is down"));
    } else {
      result.emplace(effect());
    }
    if (half == common::Duration{0}) {
      callback(*result);
      return;
    }
    scheduler_.schedule(half, [callback, result] { callback(*result); });
  });
}

void EmulatedObjectStore::get(const std::string& key,
                              object_store::StoreCallback<StoredObject> callback) {
  serve<StoredObject>(std::move(callback),
                      [this, key]() -> object_store::StoreResult<StoredObject> {
                        ++ledger_.reads;
                        const auto found = objects_.find(key);
                        if (found == objects_.end()) {
                          return failure(StoreFailure::kNotFound, "no object " + key);
                        }
                        return found->second.object;
                      });
}

void EmulatedObjectStore::compareAndSet(object_store::ObjectWrite request,
                                        object_store::StoreCallback<StoredObject> callback) {
  serve<StoredObject>(
      std::move(callback),
      [this, request = std::move(request)]() -> object_store::StoreResult<StoredObject> {
        auto result = write(request);
        if (faults_.lose_next_answers == 0) {
          return result;
        }
        --faults_.lose_next_answers;
        ++ledger_.answers_lost;
        ledger_.writes.back().answer_lost = true;
        return failure(StoreFailure::kUnknownOutcome, "answer lost");
      });
}

object_store::StoreResult<StoredObject> EmulatedObjectStore::write(
    const object_store::ObjectWrite& request) {
  const std::uint64_t present = peek(request.key).version;
  const bool matches = present == request.expected_version;
  if (matches) {
    ++revision_;
    const StoredObject object{request.key, present + 1, request.value, request.change_id};
    objects_[request.key] = {revision_, object};
    history_.push_back({revision_, object});
  }
  ledger_.writes.push_back({request, matches, false, revision_, clock_.now()});
  if (!matches) {
    return failure(StoreFailure::kConflict, "version is " + std::to_string(present));
  }
  answerWatches();
  return peek(request.key);
}

void EmulatedObjectStore::list(const std::string& prefix,
                               object_store::StoreCallback<ObjectListing> callback) {
  serve<ObjectListing>(std::move(callback),
                       [this, prefix]() -> object_store::StoreResult<ObjectListing> {
                         ++ledger_.lists;
                         return changesAfter(prefix, 0);
                       });
}

void EmulatedObjectStore::watchFor(const std::string& prefix, std::uint64_t revision,
                                   common::Duration wait,
                                   object_store::StoreCallback<ObjectListing> callback) {
  const common::Duration half = faults_.delay / 2;
  scheduler_.schedule(half, [this, prefix, revision, wait, callback = std::move(callback)] {
    beginWatch(prefix, revision, wait, callback);
  });
}

void EmulatedObjectStore::beginWatch(const std::string& prefix, std::uint64_t revision,
                                     common::Duration wait,
                                     object_store::StoreCallback<ObjectListing> callback) {
  if (faults_.down) {
    ++ledger_.refused_while_down;
    callback(failure(StoreFailure::kUnavailable, "store is down"));
    return;
  }
  ++ledger_.watches;
  if (revision > revision_) {
    callback(failure(StoreFailure::kCompacted, "revision is ahead of the store"));
    return;
  }
  const std::uint64_t watch = next_watch_++;
  PendingWatch& pending = watches_[watch];
  pending.prefix = prefix;
  pending.revision = revision;
  pending.callback = std::move(callback);
  pending.timer = scheduler_.schedule(wait, [this, watch] {
    ObjectListing nothing;
    nothing.revision = watches_[watch].revision;
    endWatch(watch, nothing);
  });
  answerWatches();
}

void EmulatedObjectStore::answerWatches() {
  std::vector<std::pair<std::uint64_t, ObjectListing>> answers;
  for (const auto& [watch, pending] : watches_) {
    ObjectListing changes = changesAfter(pending.prefix, pending.revision);
    if (!changes.objects.empty()) {
      dropForGap(changes);
      answers.emplace_back(watch, std::move(changes));
    }
  }
  for (auto& [watch, changes] : answers) {
    endWatch(watch, std::move(changes));
  }
}

void EmulatedObjectStore::dropForGap(ObjectListing& listing) {
  if (!faults_.watch_gap) {
    return;
  }
  faults_.watch_gap = false;
  if (listing.objects.size() == 1) {
    listing.objects.clear();
    return;
  }
  std::size_t newest = 0;
  for (std::size_t index = 1; index < listing.objects.size(); ++index) {
    if (revisionOf(listing.objects[index].key) > revisionOf(listing.objects[newest].key)) {
      newest = index;
    }
  }
  listing.objects = {listing.objects[newest]};
}

void EmulatedObjectStore::endWatch(std::uint64_t watch,
                                   object_store::StoreResult<ObjectListing> result) {
  const auto found = watches_.find(watch);
  if (found == watches_.end()) {
    return;
  }
  scheduler_.cancel(found->second.timer);
  const auto callback = std::move(found->second.callback);
  watches_.erase(found);
  // The callback runs in a separate event, since it may write to the store again.
  scheduler_.schedule(faults_.delay / 2,
                      [callback, result = std::move(result)] { callback(result); });
}

void EmulatedObjectStore::failWatches(StoreFailure kind, std::uint64_t ahead_of) {
  std::vector<std::uint64_t> failing;
  for (const auto& [watch, pending] : watches_) {
    if (pending.revision >= ahead_of) {
      failing.push_back(watch);
    }
  }
  for (const std::uint64_t watch : failing) {
    endWatch(watch, failure(kind, "the watch can't go on"));
  }
}

void EmulatedObjectStore::setFaults(const ObjectStoreFaults& faults) {
  faults_ = faults;
  if (faults_.down) {
    failWatches(StoreFailure::kUnavailable, 0);
  }
}

void EmulatedObjectStore::restoreToRevision(std::uint64_t revision) {
  ++ledger_.restores;
  std::erase_if(history_, [revision](const Versioned& entry) { return entry.revision > revision; });
  objects_.clear();
  revision_ = 0;
  for (const Versioned& entry : history_) {
    objects_[entry.object.key] = entry;
    revision_ = entry.revision;
  }
  failWatches(StoreFailure::kCompacted, revision_ + 1);
}

std::uint64_t EmulatedObjectStore::revisionOf(const std::string& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? 0 : found->second.revision;
}

StoredObject EmulatedObjectStore::peek(const std::string& key) const {
  const auto found = objects_.find(key);
  if (found != objects_.end()) {
    return found->second.object;
  }
  StoredObject nothing;
  nothing.key = key;
  return nothing;
}

ObjectListing EmulatedObjectStore::changesAfter(const std::string& prefix,
                                                std::uint64_t revision) const {
  ObjectListing listing;
  listing.revision = revision_;
  for (auto entry = objects_.lower_bound(prefix);
       entry != objects_.end() && entry->first.starts_with(prefix); ++entry) {
    if (entry->second.revision > revision) {
      listing.objects.push_back(entry->second.object);
    }
  }
  return listing;
}

}  // namespace cypresswall::emulation
