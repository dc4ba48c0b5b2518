/// Encodes what was read of the platform's store for peers: large objects as the difference to the
/// version before, compressed. A configuration of a thousand routes more is some 400 KB; over a
/// link of 10 Mbit/s that is busy with requests it takes ten seconds, its difference a tenth of
/// that.
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
  /// Contents below this are sent as they are.
  std::size_t packed_from_bytes = std::size_t{2} << 10;
  /// Longest content that is unpacked: what the store holds of one object, and some more.
  std::size_t maximum_bytes = std::size_t{4} << 20;
};

/// Keeps the objects of one topic as they were last seen: differences of large ones build on them,
/// and a node that has nothing yet is given all.
class ChangePacker {
 public:
  using Json = nlohmann::json;

  explicit ChangePacker(const ChangePackerSettings& settings = {}) : settings_(settings) {}

  /// Notes the content of an object that was put, without packing it.
  void note(const std::string& name, std::uint64_t revision, const Json& content);
  /// Packs an object that was put, and notes its content.
  StoreChange packPut(const std::string& name, std::uint64_t revision, const Json& content);
  StoreChange packRemoval(const std::string& name, std::uint64_t revision);
  /// \return every object held, packed without a base
  std::vector<StoreChange> packAll() const;
  /// \return false if the change builds on a version that is not held here, and neither is a later
  ///   one
  bool canUnpack(const StoreChange& change) const;
  /// \return the content of an object that was put, and notes it; null if it can't be understood
  /// \pre canUnpack(), and the changes before it were unpacked
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
  /// Keeps the newest version of an object: of a large one as the base of differences.
  void keep(const std::string& name, std::uint64_t revision, const Json& content,
            const std::string& text);
  std::optional<std::string> inflated(const std::string& packed) const;
  Json patched(const StoreChange& change) const;

  ChangePackerSettings settings_;
  std::map<std::string, Version> large_;
  std::map<std::string, SmallVersion> small_;
};

}  // namespace cypresswall::store_relay
