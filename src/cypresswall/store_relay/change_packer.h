/// Encodes changes read from the platform's store for peers: a large object as the compressed
/// difference to its previous version. A thousand additional routes enlarge the configuration by
/// some 400 KB, which take ten seconds over a 10 Mbit/s link that is busy with requests; the
/// difference takes a tenth of that.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/store_relay/messages.h"

namespace cypresswall::store_relay {

struct ChangePackerSettings {
  /// Smaller contents are sent uncompressed.
  std::size_t packed_from_bytes = std::size_t{2} << 10;
  /// Maximum size of an unpacked content; above the store's size limit of one object.
  std::size_t maximum_bytes = std::size_t{4} << 20;
};

/// Keeps the last seen version of each object of one topic, as base of differences and as a full
/// copy for nodes that have none.
class ChangePacker {
 public:
  using Json = nlohmann::json;

  explicit ChangePacker(const ChangePackerSettings& settings = {}) : settings_(settings) {}

  /// Stores the content of an object that was put, without packing it.
  void storePlain(const std::string& name, std::uint64_t revision, const Json& content);
  /// Packs an object that was put, and stores its content.
  StoreChange packPut(const std::string& name, std::uint64_t revision, const Json& content);
  StoreChange packRemoval(const std::string& name, std::uint64_t revision);
  /// \return all objects, packed without a base
  std::vector<StoreChange> packAll() const;
  /// \return false if neither the base of the change nor a later version is held
  bool canUnpack(const StoreChange& change) const;
  /// Unpacks and stores the content of an object that was put.
  /// \return the content; null if it cannot be parsed
  /// \pre canUnpack(), and all earlier changes were unpacked
  Json unpack(const StoreChange& change);

 private:
  struct Version {
    std::uint64_t revision = 0;
    Json content;
  };
  /// A small object, as text.
  struct SmallVersion {
    std::uint64_t revision = 0;
    std::string text;
  };

  /// \return true if this version of a large object, or a later one, is held
  bool holds(const std::string& name, std::uint64_t revision) const;
  /// Stores the version if it is the newest of its object.
  void keep(const std::string& name, std::uint64_t revision, const Json& content,
            const std::string& text);
  std::optional<std::string> inflated(const std::string& packed) const;
  Json patched(const StoreChange& change) const;

  ChangePackerSettings settings_;
  std::map<std::string, Version> large_;
  std::map<std::string, SmallVersion> small_;
};

}  // namespace cypresswall::store_relay
