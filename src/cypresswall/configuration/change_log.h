/// One replica's log of accepted changes: the resulting configuration, the most recent changes, and
/// a hash chained over all changes, which detects diverging histories.
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

/// An accepted change with its position in the hash chain.
struct LoggedChange {
  ConfigurationChange change;
  ChainDigest previous_digest = 0;
  ChainDigest digest = 0;
};

/// Metadata of a change, retained for longer than the change itself.
struct ChangeRecord {
  std::uint64_t version = 0;
  ChainDigest digest = 0;
  std::string change_id;
  std::string author;
};

/// A complete configuration, and the records of the latest changes up to its version.
struct ConfigurationSnapshot {
  FleetConfiguration configuration;
  ChainDigest digest = 0;
  std::vector<ChangeRecord> records;
  /// The change that produced this version. A node that started from the snapshot needs it to write
  /// that change back to a store that lost it.
  std::optional<LoggedChange> last_change;
};

enum class AppendResult {
  kApplied,
  kAppliedWithoutEffect,  ///< the version advanced, but its objects can't be decoded
  kKnown,                 ///< the log's version already includes the change
  kGap,                   ///< the log lacks changes that precede it
  kFork,                  ///< the change or one before it differs from this log's history
};

class ChangeLog {
 public:
  explicit ChangeLog(const ConfigurationSettings& settings);

  std::uint64_t version() const { return current_->version; }
  ChainDigest digest() const { return digest_; }
  std::shared_ptr<const FleetConfiguration> current() const { return current_; }

  /// Appends the change of the next version; any other change leaves the log unchanged.
  AppendResult append(const LoggedChange& entry);
  /// Replaces the configuration by that of a newer snapshot. \return false if it is not newer
  bool install(const ConfigurationSnapshot& snapshot);

  /// \return the change of that version, or null if it is not retained.
  const LoggedChange* find(std::uint64_t version) const;
  /// \return the retained changes from `version` on: at least one, and further ones up to about
  ///   `maximum_bytes` in total; empty if the change of `version` is not retained.
  std::vector<LoggedChange> from(std::uint64_t version, std::size_t maximum_bytes) const;
  /// \return the digest at that version, or nullopt if it is no longer retained.
  std::optional<ChainDigest> digestAt(std::uint64_t version) const;
  /// \return the record of the change with that identifier, or null if none is retained.
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

/// \return the digest of `change` appended to a chain with digest `previous`.
ChainDigest chainDigest(ChainDigest previous, const ConfigurationChange& change);
/// \return `change` with its digests in the chain.
LoggedChange chainChange(ChainDigest previous, ConfigurationChange change);

}  // namespace cypresswall::configuration
