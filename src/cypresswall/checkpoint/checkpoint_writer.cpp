#include "cypresswall/checkpoint/checkpoint_writer.h"

#include <algorithm>
#include <utility>

namespace cypresswall::checkpoint {
namespace {

using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;

/// Bound of the exponent by which the delay after failed calls grows.
constexpr unsigned kMaximumDoublings = 6;

}  // namespace

CheckpointWriter::CheckpointWriter(const CheckpointSettings& settings,
                                   const api::ProcessContext& context,
                                   object_store::ObjectStore& store, common::TimeOfDay time_of_day,
                                   CheckpointWriterLookup writer, CheckpointReader& reader)
    : settings_(settings),
      context_(context),
      store_(store),
      time_of_day_(std::move(time_of_day)),
      writer_(std::move(writer)),
      reader_(reader),
      key_(checkpointKey(context.zone)),
      written_(context.counters.counter("cypresswall_checkpoint_written_total",
                                        "Checkpoints that this node wrote to the store")),
      bytes_(context.counters.gauge("cypresswall_checkpoint_bytes",
                                    "Size of the checkpoint that this node last wrote")) {}

void CheckpointWriter::start() {
  context_.scheduler.schedule(settings_.interval, [this] { tick(); });
}

void CheckpointWriter::tick() {
  context_.scheduler.schedule(settings_.interval, [this] { tick(); });
  if (writer_() != context_.self || !reader_.finished()) {
    return;
  }
  if (call_in_flight_) {
    skip("store_slow");
  } else if (context_.clock.now() < next_call_at_) {
    skip("store_away");
  } else if (!reader_.object() || outdated_ || incarnation_ != store_.incarnation()) {
    read();
  } else {
    write();
  }
}

void CheckpointWriter::read() {
  call_in_flight_ = true;
  store_.get(key_, [this](const StoreResult<StoredObject>& result) {
    call_in_flight_ = false;
    if (result.ok()) {
      observe(result.value());
    } else if (result.failure().kind == StoreFailure::kNotFound) {
      observe({});
    } else {
      storeFailed();
      return;
    }
    write();
  });
}

Checkpoint CheckpointWriter::stored() const {
  const CheckpointObject& object = *reader_.object();
  if (object.version == 0 || object.value.size() > settings_.maximum_bytes) {
    return {};
  }
  try {
    Checkpoint checkpoint = decodeCheckpoint(object.value);
    return checkpoint.zone == context_.zone ? checkpoint : Checkpoint{};
  } catch (const CheckpointError&) {
    // The reader has logged it; a valid object replaces the damaged one.
    return {};
  }
}

bool CheckpointWriter::ownedByOtherSchema() {
  const CheckpointObject& object = *reader_.object();
  try {
    if (object.version == 0 || object.value.size() > settings_.maximum_bytes ||
        decodeCheckpoint(object.value).schema == kSchemaVersion) {
      return false;
    }
  } catch (const CheckpointError&) {
    return false;
  }
  const auto now = context_.clock.now();
  if (std::exchange(other_schema_version_, object.version) != object.version) {
    other_schema_since_ = now;
  }
  return now - other_schema_since_ < settings_.maximum_age;
}

bool CheckpointWriter::update(Checkpoint& checkpoint) const {
  const common::Duration now = time_of_day_();
  bool due = std::erase_if(checkpoint.parts, [&](const auto& entry) {
               return now - entry.second.saved_at > settings_.maximum_age;
             }) > 0;
  for (const CheckpointPart* const part : reader_.parts()) {
    std::string bytes = part->encode();
    if (bytes.empty()) {
      continue;
    }
    SavedPart& saved = checkpoint.parts[part->name()];
    // What doesn't change is written again from time to time, since old parts are ignored.
    due = due || saved.bytes != bytes || now - saved.saved_at > settings_.maximum_age / 2;
    saved = {std::move(bytes), now};
  }
  return due;
}

bool CheckpointWriter::owns(const std::string& part) const {
  return std::any_of(reader_.parts().begin(), reader_.parts().end(),
                     [&](const CheckpointPart* own) { return own->name() == part; });
}

std::string CheckpointWriter::encodeWithinBounds(Checkpoint checkpoint) {
  std::string text = encodeCheckpoint(checkpoint);
  while (text.size() > settings_.maximum_bytes && !checkpoint.parts.empty()) {
    const auto dropped = std::max_element(
        checkpoint.parts.begin(), checkpoint.parts.end(), [this](const auto& a, const auto& b) {
          return std::make_pair(!owns(a.first), a.second.bytes.size()) <
                 std::make_pair(!owns(b.first), b.second.bytes.size());
        });
    common::LogEvent(context_.log, common::LogLevel::kWarning, "checkpoint_part_dropped")
        .field("part", dropped->first)
        .field("bytes", dropped->second.bytes.size())
        .field("limit", settings_.maximum_bytes);
    checkpoint.parts.erase(dropped);
    text = encodeCheckpoint(checkpoint);
  }
  return checkpoint.parts.empty() ? "" : text;
}

void CheckpointWriter::write() {
  if (ownedByOtherSchema()) {
    skip("schema");
    return;
  }
  Checkpoint checkpoint = stored();
  if (!update(checkpoint)) {
    skip("unchanged");
    return;
  }
  checkpoint.schema = kSchemaVersion;
  checkpoint.build = static_cast<std::uint32_t>(api::kHandledMessages);
  checkpoint.zone = context_.zone;
  checkpoint.store_incarnation = store_.incarnation();
  object_store::ObjectWrite request;
  request.value = encodeWithinBounds(std::move(checkpoint));
  if (request.value.empty()) {
    skip("size");
    return;
  }
  request.key = key_;
  request.expected_version = reader_.object()->version;
  request.change_id = context_.self.toString() + "/" + std::to_string(++next_change_);
  call_in_flight_ = true;
  store_.compareAndSet(std::move(request),
                       [this](const StoreResult<StoredObject>& result) { onWritten(result); });
}

void CheckpointWriter::onWritten(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  if (result.ok()) {
    failures_ = 0;
    observe(result.value());
    written_.add();
    bytes_.set(static_cast<double>(result.value().value.size()));
    common::LogEvent(context_.log, common::LogLevel::kInfo, "checkpoint_written")
        .field("version", result.value().version)
        .field("bytes", result.value().value.size());
    return;
  }
  // Another node wrote, or this write took effect without an answer.
  outdated_ = true;
  if (result.failure().kind == StoreFailure::kConflict) {
    skip("conflict");
  } else {
    storeFailed();
  }
}

void CheckpointWriter::observe(const StoredObject& object) {
  outdated_ = false;
  incarnation_ = store_.incarnation();
  reader_.observe({object.version, object.value});
}

void CheckpointWriter::storeFailed() {
  const unsigned doublings = std::min(failures_++, kMaximumDoublings);
  next_call_at_ = context_.clock.now() + settings_.interval * (std::int64_t{1} << doublings);
  skip("store_failed");
}

void CheckpointWriter::skip(const char* reason) {
  context_.counters
      .counter("cypresswall_checkpoint_skipped_total",
               "Intervals in which the checkpoint was not written", "reason", reason)
      .add();
  common::LogEvent(context_.log, common::LogLevel::kDebug, "checkpoint_skipped")
      .field("reason", reason);
}

}  // namespace cypresswall::checkpoint
