#include "cypresswall/store_relay/change_packer.h"

#include <zlib.h>

#include <utility>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::store_relay {
namespace {

using Json = ChangePacker::Json;

std::string textOf(const Json& content) {
  return content.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// \return the content of `text`; null if there is none or it can't be parsed
common::BoundedJson parsed(const std::optional<std::string>& text) {
  try {
    return text ? common::parseBoundedJson(*text) : common::BoundedJson{};
  } catch (const common::JsonError&) {
    return {};
  }
}

/// \return `text` compressed, or nothing if zlib reports an error.
std::optional<std::string> deflated(const std::string& text) {
  uLongf length = compressBound(text.size());
  std::string packed(length, '\0');
  const int result =
      compress2(reinterpret_cast<Bytef*>(packed.data()), &length,
                reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
  if (result != Z_OK) {
    return std::nullopt;
  }
  packed.resize(length);
  return packed;
}

}  // namespace

bool ChangePacker::holds(const std::string& name, std::uint64_t revision) const {
  const auto held = large_.find(name);
  return held != large_.end() && held->second.revision >= revision;
}

void ChangePacker::keep(const std::string& name, std::uint64_t revision, const Json& content,
                        const std::string& text) {
  const auto small = small_.find(name);
  if (holds(name, revision) || (small != small_.end() && small->second.revision >= revision)) {
    return;
  }
  if (text.size() < settings_.packed_from_bytes) {
    large_.erase(name);
    small_[name] = SmallVersion{revision, text};
  } else {
    small_.erase(name);
    large_[name] = Version{revision, content};
  }
}

void ChangePacker::storePlain(const std::string& name, std::uint64_t revision,
                              const Json& content) {
  keep(name, revision, content, textOf(content));
}

StoreChange ChangePacker::packPut(const std::string& name, std::uint64_t revision,
                                  const Json& content) {
  const std::string text = textOf(content);
  StoreChange change{name, revision, false, text};
  const std::size_t bytes = text.size();
  const auto before = large_.find(name);
  if (bytes >= settings_.packed_from_bytes) {
    std::string difference;
    if (before != large_.end()) {
      difference = textOf(Json::diff(before->second.content, content));
    }
    const bool smaller = !difference.empty() && difference.size() < bytes;
    auto packed = deflated(smaller ? difference : change.content);
    if (packed) {
      change.encoding = smaller ? ContentEncoding::kPackedDifference : ContentEncoding::kPacked;
      change.base_revision = smaller ? before->second.revision : 0;
      change.content = std::move(*packed);
    }
  }
  keep(name, revision, content, text);
  return change;
}

StoreChange ChangePacker::packRemoval(const std::string& name, std::uint64_t revision) {
  forget(name);
  return StoreChange{name, revision, true, ""};
}

void ChangePacker::forget(const std::string& name) {
  large_.erase(name);
  small_.erase(name);
}

void ChangePacker::beginIncarnation() {
  for (auto& [name, version] : small_) {
    version.revision = 0;
  }
  for (auto& [name, version] : large_) {
    version.revision = 0;
  }
}

void ChangePacker::forgetOutdated() {
  std::erase_if(small_, [](const auto& item) { return item.second.revision == 0; });
  std::erase_if(large_, [](const auto& item) { return item.second.revision == 0; });
}

std::vector<std::string> ChangePacker::names() const {
  std::vector<std::string> names;
  names.reserve(small_.size() + large_.size());
  for (const auto& [name, version] : small_) {
    names.push_back(name);
  }
  for (const auto& [name, version] : large_) {
    names.push_back(name);
  }
  return names;
}

std::vector<StoreChange> ChangePacker::packAll() const {
  std::vector<StoreChange> objects;
  for (const auto& [name, version] : small_) {
    objects.push_back({name, version.revision, false, version.text});
  }
  for (const auto& [name, version] : large_) {
    StoreChange change{name, version.revision, false, textOf(version.content)};
    if (auto packed = deflated(change.content)) {
      change.encoding = ContentEncoding::kPacked;
      change.content = std::move(*packed);
    }
    objects.push_back(std::move(change));
  }
  return objects;
}

bool ChangePacker::canUnpack(const StoreChange& change) const {
  if (change.gone || change.encoding != ContentEncoding::kPackedDifference) {
    return true;
  }
  const auto before = large_.find(change.name);
  return before != large_.end() && (before->second.revision == change.base_revision ||
                                    before->second.revision >= change.revision);
}

std::optional<std::string> ChangePacker::inflated(const std::string& packed) const {
  std::string text(settings_.maximum_bytes, '\0');
  uLongf length = text.size();
  const int result = uncompress(reinterpret_cast<Bytef*>(text.data()), &length,
                                reinterpret_cast<const Bytef*>(packed.data()), packed.size());
  if (result != Z_OK) {
    return std::nullopt;
  }
  text.resize(length);
  return text;
}

Json ChangePacker::patched(const StoreChange& change) const {
  const auto before = large_.find(change.name);
  if (before == large_.end() || before->second.revision >= change.revision) {
    // There is no base, or this version or a later one is already held; the caller stores nothing.
    return before == large_.end() ? Json() : before->second.content;
  }
  const auto text = inflated(change.content);
  const common::BoundedJson difference = parsed(text);
  if (difference.repaired()) {
    return {};
  }
  try {
    return before->second.content.patch(difference.value);
  } catch (const Json::exception&) {
    return {};
  }
}

Json ChangePacker::unpack(const StoreChange& change) {
  if (change.gone) {
    forget(change.name);
    return {};
  }
  if (change.encoding == ContentEncoding::kPackedDifference) {
    Json content = patched(change);
    if (content.is_object() && !holds(change.name, change.revision)) {
      storePlain(change.name, change.revision, content);
    }
    return content;
  }
  const bool packed = change.encoding == ContentEncoding::kPacked;
  const auto text = packed ? inflated(change.content) : std::optional(change.content);
  common::BoundedJson content = parsed(text);
  if (content.value.is_object() && content.repaired()) {
    storePlain(change.name, change.revision, content.value);
  } else if (content.value.is_object()) {
    keep(change.name, change.revision, content.value, *text);
  }
  return std::move(content.value);
}

}  // namespace cypresswall::store_relay
