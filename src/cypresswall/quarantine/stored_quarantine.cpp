#include "cypresswall/quarantine/stored_quarantine.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::quarantine {
namespace {

constexpr const char* kRequests = "requests";
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
  for (const auto& value : *requests) {
    if (const auto fingerprint = parseFingerprint(value)) {
      quarantine.requests.push_back(*fingerprint);
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
  auto& requests = content[kRequests] = nlohmann::json::array();
  for (const auto request : quarantine.requests) {
    requests.push_back(common::toString(request));
  }
  return content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace cypresswall::quarantine
