#include "cypresswall/checkpoint/checkpoint_reader.h"

#include <algorithm>

#include "cypresswall/common/at_scope_end.h"

namespace cypresswall::checkpoint {
namespace {

using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;

constexpr common::Duration kCheckInterval = std::chrono::milliseconds(100);
/// Bound of the exponent by which the delay after failed calls grows.
constexpr unsigned kMaximumDoublings = 3;

}  // namespace

CheckpointReader::CheckpointReader(const CheckpointSettings& settings,
                                   const api::ProcessContext& context,
                                   const membership::MembershipView& membership,
                                   object_store::ObjectStore& store, common::TimeOfDay time_of_day,
                                   CheckpointWriterLookup writer)
    : settings_(settings),
      context_(context),
      membership_(membership),
      store_(store),
      time_of_day_(std::move(time_of_day)),
      writer_(std::move(writer)),
      key_(checkpointKey(context.zone)),
      restored_(context.counters.counter("cypresswall_checkpoint_parts_restored_total",
                                         "Parts of the checkpoint that this node took over")) {}

void CheckpointReader::start() {
  started_at_ = context_.clock.now();
  tick();
}

void CheckpointReader::tick() {
  if (finished_) {
    return;
  }
  const auto now = context_.clock.now();
  if (now - started_at_ >= settings_.start_time) {
    finished_ = true;
    ignore(failures_ > 0 ? "store_away" : "not_writer");
    return;
  }
  const common::AtScopeEnd again(
      [this] { context_.scheduler.schedule(kCheckInterval, [this] { tick(); }); });
  const bool due = !call_in_flight_ && now >= next_call_at_ && !membership_.joining();
  if (due && writer_() == context_.self) {
    read();
  }
}

void CheckpointReader::read() {
  call_in_flight_ = true;
  store_.get(key_, [this](const StoreResult<StoredObject>& result) { onRead(result); });
}

void CheckpointReader::onRead(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  if (finished_) {
    return;
  }
  if (result.ok()) {
    finish({result.value().version, result.value().value});
  } else if (result.failure().kind == StoreFailure::kNotFound) {
    finish({});
  } else {
    const unsigned doublings = std::min(failures_++, kMaximumDoublings);
    next_call_at_ = context_.clock.now() + settings_.retry_delay * (std::int64_t{1} << doublings);
  }
}

void CheckpointReader::finish(CheckpointObject object) {
  finished_ = true;
  object_ = std::move(object);
  restore(*object_);
}

void CheckpointReader::restore(const CheckpointObject& object) {
  if (object.version == 0) {
    ignore("none");
    return;
  }
  if (object.value.size() > settings_.maximum_bytes) {
    ignore("size");
    return;
  }
  try {
    const Checkpoint checkpoint = decodeCheckpoint(object.value);
    if (checkpoint.schema != kSchemaVersion) {
      ignore("schema");
    } else if (checkpoint.zone != context_.zone) {
      ignore("zone");
    } else if (checkpoint.store_incarnation != store_.incarnation() && store_.incarnation() != 0) {
      ignore("store_incarnation");
    } else {
      const std::size_t parts = restoreParts(checkpoint);
      common::LogEvent(context_.log, common::LogLevel::kInfo, "checkpoint_read")
          .field("version", object.version)
          .field("bytes", object.value.size())
          .field("build", checkpoint.build)
          .field("parts", parts);
    }
  } catch (const CheckpointError& error) {
    common::LogEvent(context_.log, common::LogLevel::kWarning, "checkpoint_damaged")
        .field("error", error.what());
    ignore("damaged");
  }
}

std::size_t CheckpointReader::restoreParts(const Checkpoint& checkpoint) {
  const common::Duration now = time_of_day_();
  std::size_t restored = 0;
  for (CheckpointPart* const part : parts_) {
    const auto saved = checkpoint.parts.find(part->name());
    if (saved == checkpoint.parts.end()) {
      continue;
    }
    const common::Duration age = now - saved->second.saved_at;
    // Clocks of machines differ a little. A part from far in the future has an unknown age.
    if (age > settings_.maximum_age || age < -settings_.maximum_age) {
      ignore("age", part->name());
      continue;
    }
    part->restore(saved->second.bytes, std::max(age, common::Duration{0}));
    restored_.add();
    ++restored;
  }
  return restored;
}

void CheckpointReader::ignore(const char* reason, const std::string& part) {
  context_.counters
      .counter("cypresswall_checkpoint_ignored_total",
               "Checkpoints, or parts of one, that a starting node did not use", "reason", reason)
      .add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "checkpoint_ignored")
      .field("reason", reason)
      .field("part", part);
}

}  // namespace cypresswall::checkpoint
