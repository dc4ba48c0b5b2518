#include "cypresswall/answer_builds/stored_builds.h"

#include <nlohmann/json.hpp>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::answer_builds {
namespace {

constexpr const char* kBuilds = "builds";
constexpr const char* kStoreIncarnation = "store_incarnation";

/// \return the object in `text`, or an empty one; keeps the fields of later releases
nlohmann::json objectIn(const std::string& text) {
  try {
    auto content = common::parseBoundedJson(text).value;
    return content.is_object() ? content : nlohmann::json::object();
  } catch (const common::JsonError&) {
    return nlohmann::json::object();
  }
}

}  // namespace

StoredBuilds decodeStoredBuilds(const std::string& text) {
  if (text.empty()) {
    return {};
  }
  try {
    const common::BoundedJson content = common::parseBoundedJson(text);
    return {common::memberOrNull(content.value, kBuilds).get<BuildsByModel>(),
            common::integerOr(content.value, kStoreIncarnation, 0, common::kLargestInteger)};
  } catch (const nlohmann::json::exception& error) {
    throw StoredBuildsError(common::abbreviated(error.what()));
  } catch (const common::JsonError& error) {
    throw StoredBuildsError(error.what());
  }
}

std::string encodeStoredBuilds(const StoredBuilds& builds, const std::string& replaced) {
  auto content = objectIn(replaced);
  content[kBuilds] = builds.builds;
  content[kStoreIncarnation] = builds.store_incarnation;
  return content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace cypresswall::answer_builds
