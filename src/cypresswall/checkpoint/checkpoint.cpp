#include "cypresswall/checkpoint/checkpoint.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "cypresswall/checkpoint/base64.h"

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
constexpr std::int64_t kMaximumMilliseconds = std::int64_t{1} << 50;

SavedPart parsePart(const std::string& name, const Json& json) {
  const auto saved_at = json.at(kSavedAt).get<std::int64_t>();
  auto bytes = decodeBase64(json.at(kBytes).get<std::string>());
  if (!bytes || saved_at < 0 || saved_at > kMaximumMilliseconds) {
    throw CheckpointError("part '" + name + "' of the checkpoint is damaged");
  }
  return {std::move(*bytes), milliseconds(saved_at)};
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
      .dump();
}

Checkpoint decodeCheckpoint(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    Checkpoint checkpoint;
    checkpoint.schema = json.at(kSchema).get<std::uint32_t>();
    checkpoint.build = json.value(kBuild, std::uint32_t{0});
    if (checkpoint.schema != kSchemaVersion) {
      return checkpoint;
    }
    checkpoint.zone = json.at(kZone).get<std::string>();
    checkpoint.store_incarnation = json.value(kStoreIncarnation, std::uint64_t{0});
    for (const auto& [name, part] : json.at(kParts).items()) {
      checkpoint.parts[name] = parsePart(name, part);
    }
    return checkpoint;
  } catch (const Json::exception& error) {
    throw CheckpointError(std::string("checkpoint cannot be parsed: ") + error.what());
  }
}

}  // namespace cypresswall::checkpoint
