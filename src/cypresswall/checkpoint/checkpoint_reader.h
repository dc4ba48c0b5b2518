/// Gives a starting node what the nodes of its zone had learnt before.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/checkpoint/checkpoint.h"
#include "cypresswall/checkpoint/checkpoint_part.h"
#include "cypresswall/checkpoint/settings.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::checkpoint {

/// The stored object as last read or written by this node.
struct CheckpointObject {
  /// Zero if the store holds none.
  std::uint64_t version = 0;
  std::string value;
};

/// \return the node that writes the zone's checkpoint; empty if unknown
using CheckpointWriterLookup = std::function<common::NodeId()>;

/// Reads the checkpoint once after the start, on the node that writes it, and hands its parts to
/// their owners there. The other nodes make no call, so that a zone whose nodes all start at once
/// reads the object once. The node serves callers meanwhile: nothing waits for the checkpoint.
class CheckpointReader {
 public:
  /// \param time_of_day wall-clock time since the Unix epoch
  /// \pre all references outlive this object
  CheckpointReader(const CheckpointSettings& settings, const api::ProcessContext& context,
                   const membership::MembershipView& membership, object_store::ObjectStore& store,
                   common::TimeOfDay time_of_day, CheckpointWriterLookup writer);
  CheckpointReader(const CheckpointReader&) = delete;
  CheckpointReader& operator=(const CheckpointReader&) = delete;

  /// \pre start() has not been called; `part` outlives this object
  void addPart(CheckpointPart& part) { parts_.push_back(&part); }
  void start();
  /// \return true once the checkpoint was read, or CheckpointSettings::start_time has passed
  bool finished() const { return finished_; }
  /// \return the stored object as far as this node knows it
  const std::optional<CheckpointObject>& object() const { return object_; }
  /// Records what this node has written or read since.
  void observe(CheckpointObject object) { object_ = std::move(object); }
  const std::vector<CheckpointPart*>& parts() const { return parts_; }

 private:
  void tick();
  void read();
  void onRead(const object_store::StoreResult<object_store::StoredObject>& result);
  void finish(CheckpointObject object);
  void restore(const CheckpointObject& object);
  /// Hands over the parts that are not too old. \return the number of parts handed over
  std::size_t restoreParts(const Checkpoint& checkpoint);
  void ignore(const char* reason, const std::string& part = "");

  const CheckpointSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  object_store::ObjectStore& store_;
  common::TimeOfDay time_of_day_;
  CheckpointWriterLookup writer_;
  std::string key_;
  std::vector<CheckpointPart*> parts_;
  std::optional<CheckpointObject> object_;
  bool finished_ = false;
  bool call_in_flight_ = false;
  unsigned failures_ = 0;
  common::MonotonicTime next_call_at_{};
  common::MonotonicTime started_at_{};
  common::Counter& restored_;
};

}  // namespace cypresswall::checkpoint
