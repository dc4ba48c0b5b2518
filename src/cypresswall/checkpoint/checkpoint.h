/// What the nodes of a zone have learnt, as one object of the platform's store: a JSON envelope
/// around parts whose bytes only their owners understand.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::checkpoint {

/// Thrown if a stored checkpoint can't be decoded.
class CheckpointError : public common::Error {
 public:
  using common::Error::Error;
};

/// Version of the envelope. Raised only by a change that earlier builds would misread.
inline constexpr std::uint32_t kSchemaVersion = 1;

struct SavedPart {
  std::string bytes;
  /// Wall-clock time since the Unix epoch at which the part was encoded, by its writer's clock.
  common::Duration saved_at{0};

  bool operator==(const SavedPart&) const = default;
};

struct Checkpoint {
  std::uint32_t schema = kSchemaVersion;
  /// The api::MessageSet of the build that wrote the object; only shown to operators.
  std::uint32_t build = 0;
  common::ZoneName zone;
  /// Incarnation of the store that the object was written to; zero if the store names none.
  std::uint64_t store_incarnation = 0;
  /// By name. Includes parts that this build does not know, which it writes back unchanged.
  std::map<std::string, SavedPart> parts;
};

/// \return the key of a zone's checkpoint in the store
std::string checkpointKey(const common::ZoneName& zone);
std::string encodeCheckpoint(const Checkpoint& checkpoint);
/// \throws CheckpointError if the text is not a checkpoint. A checkpoint of another schema is
///   returned without parts.
Checkpoint decodeCheckpoint(const std::string& text);

}  // namespace cypresswall::checkpoint
