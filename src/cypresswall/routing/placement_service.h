/// The owner's side of placement: places requests of other nodes on the engines of the groups that
/// this node owns, and tracks these placements until the requesting node reports their end, or they
/// expire.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "cypresswall/api/process_context.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/placement_messages.h"

namespace cypresswall::routing {

class PlacementService {
 public:
  /// Registers the handlers of PlacementRequest and AttemptProgress.
  /// \param router chooses among the engines that this node routes to
  /// \pre all references outlive this object
  PlacementService(const PlacementSettings& settings, const api::ProcessContext& context,
                   EngineDirectory& directory, Router& router);

  /// \return number of placements that have not been released.
  std::size_t placements() const { return placements_.size(); }

 private:
  struct ActivePlacement {
    /// The node that requested the placement.
    common::NodeId node;
    common::MonotonicTime created_at{};
  };

  void onRequest(const common::NodeId& sender, const PlacementRequest& message);
  /// \return the reason why this node can't place a request in the group; empty if it can
  std::optional<RouteRefusal> refusalOfGroup(const std::string& group);
  void answerWith(const RouteChoice& choice, const common::NodeId& node, std::uint64_t number,
                  const std::string& stream_id);
  void onProgress(const common::NodeId& sender, const AttemptProgress& progress);
  void onFailed(const common::NodeId& sender, const AttemptProgress& progress);
  void release(const std::string& stream_id);
  void sweep();

  PlacementSettings settings_;
  const api::ProcessContext& context_;
  EngineDirectory& directory_;
  Router& router_;
  std::unordered_map<std::string, ActivePlacement> placements_;
  common::Counter& placed_;
  common::Counter& refused_;
  common::Counter& not_owner_;
  common::Counter& full_;
  common::Counter& invalid_;
  common::Counter& unknown_;
  common::Counter& expired_;
};

}  // namespace cypresswall::routing
