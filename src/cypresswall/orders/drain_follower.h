/// Applies the lease holder's drain table (the list of engines to be drained) on one node: the node
/// sends no new work to these engines.
#pragma once

#include <cstdint>
#include <set>

#include "cypresswall/api/process_context.h"
#include "cypresswall/orders/messages.h"
#include "cypresswall/orders/settings.h"
#include "cypresswall/routing/engine_directory.h"

namespace cypresswall::orders {

class DrainFollower {
 public:
  /// Registers the handler of DrainAnnouncement.
  DrainFollower(const DrainSettings& settings, const api::ProcessContext& context,
                routing::EngineDirectory& directory);

  /// Applies an announced table unless a newer one is in force. Also called by the DrainTable of
  /// this node, if it holds the lease.
  /// \return true if the announced table is now in force on this node
  bool apply(const DrainAnnouncement& announcement);
  const std::set<common::EngineName>& engines() const { return engines_; }
  const common::Epoch& epoch() const { return epoch_; }

 private:
  void checkExpiry();

  DrainSettings settings_;
  const api::ProcessContext& context_;
  routing::EngineDirectory& directory_;
  common::Epoch epoch_;
  std::uint64_t version_ = 0;
  std::set<common::EngineName> engines_;
  common::MonotonicTime renewed_at_{};
  common::TimerId expiry_timer_ = 0;
  common::Counter& stale_;
  common::Counter& expired_;
};

}  // namespace cypresswall::orders
