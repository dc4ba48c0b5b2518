#include "cypresswall/answer_builds/stored_builds.h"

#include <nlohmann/json.hpp>

namespace cypresswall::answer_builds {
namespace {

constexpr const char* kBuilds = "builds";
constexpr const char* kStoreIncarnation = "store_incarnation";

}  // namespace

StoredBuilds decodeStoredBuilds(const std::string& text) {
  if (text.empty()) {
    return {};
  }
  try {
    const auto content = nlohmann::json::parse(text);
    return {content.at(kBuilds).get<BuildsByModel>(),
            content.value(kStoreIncarnation, std::uint64_t{0})};
  } catch (const nlohmann::json::exception& error) {
    throw StoredBuildsError(error.what());
  }
}

std::string encodeStoredBuilds(const StoredBuilds& builds, const std::string& replaced) {
  auto content = nlohmann::json::parse(replaced, nullptr, false);
  if (!content.is_object()) {
    content = nlohmann::json::object();
  }
  content[kBuilds] = builds.builds;
  content[kStoreIncarnation] = builds.store_incarnation;
  return content.dump();
}

}  // namespace cypresswall::answer_builds
