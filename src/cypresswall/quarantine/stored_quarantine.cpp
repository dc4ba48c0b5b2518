#include "cypresswall/quarantine/stored_quarantine.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::quarantine {
namespace {

constexpr const char* kRequests = "requests";
constexpr const char* kCrashes = "crashes";
constexpr const char* kRequest = "request";
constexpr const char* kEngine = "engine";
constexpr const char* kTime = "at_ms";
constexpr const char* kOutputBegan = "output_began";
constexpr const char* kEarlierParts = "earlier_parts";
constexpr const char* kLaterParts = "later_parts";
constexpr int kHexadecimal = 16;

std::optional<common::RequestFingerprint> parseFingerprint(const nlohmann::json& value) {
  if (!value.is_string()) {
    return std::nullopt;
  }
  const auto& text = value.get_ref<const std::string&>();
  common::RequestFingerprint fingerprint = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, fingerprint, kHexadecimal);
  const bool whole = read.ec == std::errc() && read.ptr == end;
  return whole && fingerprint != 0 ? std::optional(fingerprint) : std::nullopt;
}

nlohmann::json parsedOrNull(const std::string& text) {
  try {
    return common::parseBoundedJson(text).value;
  } catch (const common::JsonError&) {
    return {};
  }
}

/// \return the valid fingerprints of a list; none if `object` has no such list
std::vector<common::RequestFingerprint> fingerprintsIn(const nlohmann::json& object,
                                                       const char* field) {
  std::vector<common::RequestFingerprint> fingerprints;
  const auto list = object.find(field);
  if (list == object.end() || !list->is_array()) {
    return fingerprints;
  }
  for (const auto& value : *list) {
    if (const auto fingerprint = parseFingerprint(value)) {
      fingerprints.push_back(*fingerprint);
    }
  }
  return fingerprints;
}

nlohmann::json listOf(const std::vector<common::RequestFingerprint>& fingerprints) {
  auto list = nlohmann::json::array();
  for (const auto fingerprint : fingerprints) {
    list.push_back(common::toString(fingerprint));
  }
  return list;
}

std::optional<StoredCrash> parseCrash(const nlohmann::json& value) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto engine = value.contains(kEngine) ? parseFingerprint(value.at(kEngine)) : std::nullopt;
  const auto at = value.contains(kTime) ? common::integerIn(value.at(kTime)) : std::nullopt;
  if (!engine || !at) {
    return std::nullopt;
  }
  const auto output_began = value.find(kOutputBegan);
  return StoredCrash{
      *engine, std::chrono::milliseconds(*at),
      output_began != value.end() && output_began->is_boolean() && output_began->get<bool>(),
      fingerprintsIn(value, kEarlierParts), fingerprintsIn(value, kLaterParts)};
}

std::optional<StoredCrashes> parseCrashes(const nlohmann::json& value) {
  if (!value.is_object() || !value.contains(kRequest) || !value.contains(kCrashes)) {
    return std::nullopt;
  }
  const auto request = parseFingerprint(value.at(kRequest));
  if (!request || !value.at(kCrashes).is_array()) {
    return std::nullopt;
  }
  StoredCrashes stored{*request, {}};
  for (const auto& crash : value.at(kCrashes)) {
    if (auto parsed = parseCrash(crash)) {
      stored.crashes.push_back(std::move(*parsed));
    }
  }
  return stored;
}

nlohmann::json encodeCrashes(const StoredCrashes& stored) {
  auto crashes = nlohmann::json::array();
  for (const StoredCrash& crash : stored.crashes) {
    crashes.push_back({{kEngine, common::toString(crash.engine)},
                       {kTime, crash.at.count()},
                       {kOutputBegan, crash.output_began},
                       {kEarlierParts, listOf(crash.earlier_parts)},
                       {kLaterParts, listOf(crash.later_parts)}});
  }
  return {{kRequest, common::toString(stored.request)}, {kCrashes, std::move(crashes)}};
}

}  // namespace

StoredQuarantine decodeStoredQuarantine(const std::string& text) {
  const auto content = parsedOrNull(text);
  if (!content.is_object()) {
    throw StoredQuarantineError("not a JSON object");
  }
  StoredQuarantine quarantine;
  quarantine.original_text = text;
  const auto requests = content.find(kRequests);
  if (requests == content.end() || !requests->is_array()) {
    throw StoredQuarantineError("no list of requests");
  }
  quarantine.requests = fingerprintsIn(content, kRequests);
  const auto crashes = content.find(kCrashes);
  if (crashes != content.end() && crashes->is_array()) {
    for (const auto& value : *crashes) {
      if (auto parsed = parseCrashes(value)) {
        quarantine.crashes.push_back(std::move(*parsed));
      }
    }
  }
  std::sort(quarantine.requests.begin(), quarantine.requests.end());
  return quarantine;
}

std::string encodeStoredQuarantine(const StoredQuarantine& quarantine) {
  auto content = parsedOrNull(quarantine.original_text);
  if (!content.is_object()) {
    content = nlohmann::json::object();
  }
  content[kRequests] = listOf(quarantine.requests);
  auto& crashes = content[kCrashes] = nlohmann::json::array();
  for (const StoredCrashes& stored : quarantine.crashes) {
    crashes.push_back(encodeCrashes(stored));
  }
  return content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace cypresswall::quarantine
