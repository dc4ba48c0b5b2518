/// Encodes changes that a node has read from the platform's store for transfer to its peers. A
/// large object is encoded as the compressed difference to its previous version: a thousand
/// additional routes enlarge the configuration by some 400 KB, which take ten seconds over a 10
/// Mbit/s link that is busy with requests; the difference takes a tenth of that time.
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
  /// Contents smaller than this are sent uncompressed.
  std::size_t packed_from_bytes = std::size_t{2} << 10;
  /// Maximum size of a content after unpacking. Larger than any object that the store accepts.
  std::size_t maximum_bytes = std::size_t{4} << 20;
};

/// Keeps the newest known version of each object of one topic. The versions are the bases of
/// differences, and are sent in full to nodes that have no copy yet.
class ChangePacker {
 public:
  using Json = nlohmann::json;

  explicit ChangePacker(const ChangePackerSettings& settings = {}) : settings_(settings) {}

  /// Stores the content of an object that was created or replaced, without packing it.
  void storePlain(const std::string& name, std::uint64_t revision, const Json& content);
  /// Packs an object that was created or replaced, and stores its content.
  StoreChange packPut(const std::string& name, std::uint64_t revision, const Json& content);
  StoreChange packRemoval(const std::string& name, std::uint64_t revision);
  /// \return all objects, none of them encoded as a difference
  std::vector<StoreChange> packAll() const;
  /// \return true if unpack() can handle the change: it is not a difference, or its base version is
  ///   held, or its own version or a later one is already held
  bool canUnpack(const StoreChange& change) const;
  /// Unpacks and stores the content of an object that was created or replaced; forgets an object
  /// that was removed.
  /// \return the content; null if it cannot be parsed or the object was removed
  /// \pre canUnpack(), and all earlier changes were unpacked
  Json unpack(const StoreChange& change);
  bool holds(const std::string& name) const {
    return large_.contains(name) || small_.contains(name);
  }
  /// Called when the store has begun a new incarnation: the held contents are older than any that
  /// is stored from now on, and no base of differences.
  void beginIncarnation();
  /// Forgets the contents that beginIncarnation() has outdated and that were not stored again.
  void forgetOutdated();
  /// \return the names of all held objects
  std::vector<std::string> names() const;
  void forget(const std::string& name);

 private:
  struct Version {
    std::uint64_t revision = 0;
    Json content;
  };
  /// A version of an object smaller than `packed_from_bytes`, as JSON text.
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
