/// Writes what the nodes of a zone have learnt to the platform's store, a few times a minute.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/checkpoint/checkpoint.h"
#include "cypresswall/checkpoint/checkpoint_reader.h"
#include "cypresswall/checkpoint/settings.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::checkpoint {

/// Every node runs one; the one that the lookup names writes. It replaces the object by
/// compare-and-set, so that of two nodes that both consider themselves the writer one reads the
/// other's object first. Parts that it does not know, and those of which it has learnt nothing yet,
/// are written back as they were. A failed call is not repeated before the next interval.
class CheckpointWriter {
 public:
  /// \param reader holds the parts and the stored object; nothing is written before it has finished
  /// \param time_of_day wall-clock time since the Unix epoch
  /// \pre all references outlive this object
  CheckpointWriter(const CheckpointSettings& settings, const api::ProcessContext& context,
                   object_store::ObjectStore& store, common::TimeOfDay time_of_day,
                   CheckpointWriterLookup writer, CheckpointReader& reader);
  CheckpointWriter(const CheckpointWriter&) = delete;
  CheckpointWriter& operator=(const CheckpointWriter&) = delete;

  void start();

 private:
  void tick();
  void read();
  void write();
  /// \return the stored checkpoint, or an empty one if it can't be used
  Checkpoint stored() const;
  /// Replaces the parts of which this node has learnt something, and drops those that are too old.
  /// \return true if a write is due
  bool update(Checkpoint& checkpoint) const;
  /// Drops parts until the object is small enough, those without an owner on this node first.
  /// \return the text; empty if no part fits
  std::string encodeWithinBounds(Checkpoint checkpoint);
  void onWritten(const object_store::StoreResult<object_store::StoredObject>& result);
  void observe(const object_store::StoredObject& object);
  void storeFailed();
  /// \return true if the object was written by a build of another schema not long ago
  bool ownedByOtherSchema();
  bool owns(const std::string& part) const;
  void skip(const char* reason);

  const CheckpointSettings settings_;
  const api::ProcessContext& context_;
  object_store::ObjectStore& store_;
  common::TimeOfDay time_of_day_;
  CheckpointWriterLookup writer_;
  CheckpointReader& reader_;
  std::string key_;
  bool call_in_flight_ = false;
  /// True if the stored object may be another than the reader holds.
  bool outdated_ = false;
  /// Incarnation of the store in which the reader's object was current.
  std::uint64_t incarnation_ = 0;
  unsigned failures_ = 0;
  common::MonotonicTime next_call_at_{};
  std::uint64_t next_change_ = 0;
  /// Version of an object of another schema, and when this node first saw it.
  std::uint64_t other_schema_version_ = 0;
  common::MonotonicTime other_schema_since_{};
  common::Counter& written_;
  common::Counter& bytes_;
};

}  // namespace cypresswall::checkpoint
