#include "cypresswall/checkpoint/checkpoint.h"

#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>

#include "cypresswall/checkpoint/base64.h"
#include "cypresswall/common/bounded_json.h"

namespace cypresswall::checkpoint {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kSchema = "schema";
constexpr const char* kBuild = "build";
constexpr const char* kZone = "zone";
constexpr const char* kStoreIncarnation = "store_incarnation";
constexpr const char* kParts = "parts";
constexpr const char* kBytes = "bytes";
constexpr const char* kSavedAt = "saved_at_ms";
/// Bound of `saved_at_ms`, far beyond any clock, so that conversions don't overflow.
constexpr std::uint64_t kMaximumMilliseconds = std::uint64_t{1} << 50U;
constexpr std::uint64_t kMaximumNumber = std::numeric_limits<std::uint32_t>::max();

SavedPart parsePart(const std::string& name, const Json& json) {
  const auto saved_at =
      common::integerIn(common::memberOrNull(json, kSavedAt), kMaximumMilliseconds);
  auto bytes = decodeBase64(json.at(kBytes).get<std::string>());
  if (!bytes || !saved_at) {
    throw CheckpointError("part '" + common::abbreviated(name) + "' of the checkpoint is damaged");
  }
  return {std::move(*bytes), milliseconds(*saved_at)};
}

}  // namespace

std::string checkpointKey(const common::ZoneName& zone) { return "zones/" + zone + "/checkpoint"; }

std::string encodeCheckpoint(const Checkpoint& checkpoint) {
  Json parts = Json::object();
  for (const auto& [name, part] : checkpoint.parts) {
    const auto saved_at = std::chrono::duration_cast<milliseconds>(part.saved_at).count();
    parts[name] = {{kBytes, encodeBase64(part.bytes)}, {kSavedAt, saved_at}};
  }
  return Json{{kSchema, checkpoint.schema},
              {kBuild, checkpoint.build},
              {kZone, checkpoint.zone},
              {kStoreIncarnation, checkpoint.store_incarnation},
              {kParts, std::move(parts)}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Checkpoint decodeCheckpoint(const std::string& text) {
  try {
    const Json json = common::parseBoundedJson(text).value;
    Checkpoint checkpoint;
    checkpoint.schema =
        static_cast<std::uint32_t>(common::integerAt(json, kSchema, kMaximumNumber));
    checkpoint.build =
        static_cast<std::uint32_t>(common::integerOr(json, kBuild, 0, kMaximumNumber));
    if (checkpoint.schema != kSchemaVersion) {
      return checkpoint;
    }
    checkpoint.zone = json.at(kZone).get<std::string>();
    checkpoint.store_incarnation =
        common::integerOr(json, kStoreIncarnation, 0, common::kLargestInteger);
    for (const auto& [name, part] : json.at(kParts).items()) {
      checkpoint.parts[name] = parsePart(name, part);
    }
    return checkpoint;
  } catch (const Json::exception& error) {
    throw CheckpointError("checkpoint cannot be parsed: " + common::abbreviated(error.what()));
  } catch (const common::JsonError& error) {
    throw CheckpointError(std::string("checkpoint cannot be parsed: ") + error.what());
  }
}

}  // namespace cypresswall::checkpoint
