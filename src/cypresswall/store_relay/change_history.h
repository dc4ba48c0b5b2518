/// The last changes that a node read of one topic of the store, kept for peers that ask for them.
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
  /// \param maximum_bytes of names and contents kept; older batches give way
  explicit ChangeHistory(std::size_t maximum_bytes) : maximum_bytes_(maximum_bytes) {}

  /// The node read everything anew at `revision`: what was kept before leads nowhere.
  void restart(std::uint64_t revision);
  /// \param changes all that was changed after revision() and up to `revision`
  void add(std::vector<StoreChange> changes, std::uint64_t revision);
  /// \return all changes after `revision`, or nothing if they are no longer kept or exceed
  ///   `maximum_bytes`. A change that the asker knows already may be among them.
  std::optional<std::vector<StoreChange>> since(std::uint64_t revision,
                                                std::size_t maximum_bytes) const;
  /// \return revision up to which everything is known
  std::uint64_t revision() const { return revision_; }
  /// \return revision with which the last batch of changes came, or of the last restart
  std::uint64_t changed() const { return changed_; }
  /// \return bytes of the last batch of changes; zero if none is kept
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
  /// Changes after this revision are kept.
  std::uint64_t begin_ = 0;
  std::uint64_t changed_ = 0;
  std::uint64_t revision_ = 0;
  std::size_t bytes_ = 0;
  std::deque<Batch> batches_;
};

}  // namespace cypresswall::store_relay
