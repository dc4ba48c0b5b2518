/// The accepted changes as one replica holds them: the configuration they lead to, the newest of
/// them, and a digest chained over all, by which two histories can be told apart.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/configuration/configuration_settings.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::configuration {

/// Hash over a change and all changes before it.
using ChainDigest = std::uint64_t;

/// An accepted change and its place in the chain.
struct LoggedChange {
  ConfigurationChange change;
  ChainDigest previous_digest = 0;
  ChainDigest digest = 0;
};

/// What is kept of a change for longer than the change itself.
struct ChangeRecord {
  std::uint64_t version = 0;
  ChainDigest digest = 0;
  std::string change_id;
  std::string author;
};

/// A whole configuration, with the newest records up to its version.
struct ConfigurationSnapshot {
  FleetConfiguration configuration;
  ChainDigest digest = 0;
  std::vector<ChangeRecord> records;
  /// The change that led to it; lets a node that began with the snapshot write that change back to
  /// a store that lost it.
  std::optional<LoggedChange> last_change;
};

enum class AppendResult {
  kApplied,
  kAppliedWithoutEffect,  ///< the next version, but its objects can't be decoded
  kKnown,                 ///< held already
  kGap,                   ///< changes before it are missing
  kFork,                  ///< another change of the same version, or one that follows another
};

class ChangeLog {
 public:
  explicit ChangeLog(const ConfigurationSettings& settings);

  std::uint64_t version() const { return current_->version; }
  ChainDigest digest() const { return digest_; }
  std::shared_ptr<const FleetConfiguration> current() const { return current_; }

  /// Takes the change of the next version; any other leaves the log as it is.
  AppendResult append(const LoggedChange& entry);
  /// Replaces the configuration by a newer one. \return false if it is not newer
  bool install(const ConfigurationSnapshot& snapshot);

  /// \return the change of that version, null if it is not retained.
  const LoggedChange* find(std::uint64_t version) const;
  /// \return retained changes from `version` on, up to about `maximum_bytes`, at least one;
  ///   empty if that version is not retained.
  std::vector<LoggedChange> from(std::uint64_t version, std::size_t maximum_bytes) const;
  /// \return the digest at that version; nothing if it is not known any more.
  std::optional<ChainDigest> digestAt(std::uint64_t version) const;
  /// \return the record of the change with that identifier, null if none is known.
  const ChangeRecord* findChangeId(const std::string& change_id) const;
  const std::deque<ChangeRecord>& records() const { return records_; }
  ConfigurationSnapshot snapshot() const;

 private:
  void retain(const LoggedChange& entry);

  ConfigurationSettings settings_;
  std::shared_ptr<const FleetConfiguration> current_;
  ChainDigest digest_ = 0;
  std::deque<LoggedChange> changes_;
  std::size_t retained_bytes_ = 0;
  std::deque<ChangeRecord> records_;
};

/// \return the digest of `change` after a history of digest `previous`.
ChainDigest chainDigest(ChainDigest previous, const ConfigurationChange& change);
/// \return `change` with its place in the chain.
LoggedChange chainChange(ChainDigest previous, ConfigurationChange change);

}  // namespace cypresswall::configuration
