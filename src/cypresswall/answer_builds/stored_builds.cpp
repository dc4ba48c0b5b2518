#include "cypresswall/answer_builds/stored_builds.h"

#include <nlohmann/json.hpp>

namespace cypresswall::answer_builds {
namespace {

constexpr const char* kBuilds = "builds";

}  // namespace

BuildsByModel decodeStoredBuilds(const std::string& text) {
  if (text.empty()) {
    return {};
  }
  try {
    return nlohmann::json::parse(text).at(kBuilds).get<BuildsByModel>();
  } catch (const nlohmann::json::exception& error) {
    throw StoredBuildsError(error.what());
  }
}

std::string encodeStoredBuilds(const BuildsByModel& builds, const std::string& replaced) {
  auto content = nlohmann::json::parse(replaced, nullptr, false);
  if (!content.is_object()) {
    content = nlohmann::json::object();
  }
  content[kBuilds] = builds;
  return content.dump();
}

}  // namespace cypresswall::answer_builds
