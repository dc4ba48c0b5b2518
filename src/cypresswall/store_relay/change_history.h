/// The latest changes that a node has read of one topic of the store (see Topic), kept for peers
/// that request them. The changes of one call of add() form a batch.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "cypresswall/store_relay/messages.h"

namespace cypresswall::store_relay {

class ChangeHistory {
 public:
  /// \param maximum_bytes maximum total size of the kept names and contents; the oldest batches are
  ///   evicted
  explicit ChangeHistory(std::size_t maximum_bytes) : maximum_bytes_(maximum_bytes) {}

  /// Drops all kept changes. Called after the node has read all objects anew, as of `revision`.
  void restart(std::uint64_t revision);
  /// \param changes all changes after revision() and up to `revision`
  void add(std::vector<StoreChange> changes, std::uint64_t revision);
  /// \return all changes after `revision`, or nothing if some of them are no longer kept or the
  ///   result would exceed `maximum_bytes`. May include some changes that are not after `revision`,
  ///   since batches are returned whole.
  std::optional<std::vector<StoreChange>> since(std::uint64_t revision,
                                                std::size_t maximum_bytes) const;
  /// \return revision up to which all changes are known
  std::uint64_t revision() const { return revision_; }
  /// \return revision of the last batch of changes, or of the last restart
  std::uint64_t changed() const { return changed_; }
  /// \return size of the last batch of changes in bytes; zero if no batch is kept
  std::uint32_t newestBytes() const {
    return batches_.empty() ? 0 : static_cast<std::uint32_t>(batches_.back().bytes);
  }

 private:
  struct Batch {
    std::uint64_t revision = 0;
    std::size_t bytes = 0;
    std::vector<StoreChange> changes;
  };

  void dropOldest();

  const std::size_t maximum_bytes_;
  /// All changes after this revision are still kept.
  std::uint64_t begin_ = 0;
  std::uint64_t changed_ = 0;
  std::uint64_t revision_ = 0;
  std::size_t bytes_ = 0;
  std::deque<Batch> batches_;
};

}  // namespace cypresswall::store_relay
