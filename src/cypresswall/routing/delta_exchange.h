/// Publishes the state of the engines that this node polls to the other nodes that route to them,
/// within a byte budget, and applies what those nodes publish.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/routing/engine_deltas.h"
#include "cypresswall/routing/engine_groups.h"
#include "cypresswall/routing/engine_poller.h"
#include "cypresswall/routing/engine_table.h"
#include "cypresswall/routing/reachability_claims.h"

namespace cypresswall::routing {

class DeltaExchange {
 public:
  /// Registers the handlers of EngineDeltas and IdentityRequest.
  DeltaExchange(const DirectorySettings& settings, const api::ProcessContext& context,
                const EngineGroups& groups, EngineTable& table, PrefixIndex& prefixes,
                ReachabilityClaims& claims);

  /// Starts publishing the state of the engines that `poller` watches; called once.
  void start(EnginePoller& poller);
  /// Sets the function that returns the node that plans roles (empty if unknown). This node is sent
  /// the state of every engine that the local node watches.
  void setPlanningNode(std::function<common::NodeId()> find) { planning_node_ = std::move(find); }
  /// Queues a cache change of a watched engine for publication.
  void addCacheHint(EngineSlot slot, bool stored, common::PieceHash piece);
  /// To be called for the first report of a new engine. If this node watches it, the report is
  /// published soon rather than in the next period: until then peers send the engine nothing.
  void reported(EngineSlot slot);
  /// Forgets the last publication of a slot that is now used by another engine or incarnation.
  void forget(EngineSlot slot) { published_.erase(slot); }

 private:
  /// A load change to publish, with its priority.
  struct PendingChange {
    double significance = 0;
    EngineSlot slot = kNoEngineSlot;
    EngineDelta delta;
  };

  /// The last publication of an engine.
  struct Published {
    EngineDelta delta;
    common::MonotonicTime at{};
  };

  void tick();
  void publishDue();
  void publish(const std::vector<common::NodeId>& peers);
  /// \return true if at least one poll interval of steady engines has passed since the last
  ///   publication.
  bool confirmationDue() const;
  /// \return the receivers of publications: the nodes that route to the engines watched by this
  ///   node, and the node that plans roles.
  std::vector<common::NodeId> receivers() const;
  std::vector<PendingChange> collectChanges(EngineDeltas& message);
  /// \return true if the engine's model, version, adapters or speeds differ from those published.
  bool identityChanged(const PendingChange& change) const;
  /// \return upper estimate of the number of bytes that a change adds to a message.
  double estimatedBytes(const PendingChange& change) const;
  /// \param budget number of bytes that may be added to this message
  void addChanges(EngineDeltas& message, const std::vector<PendingChange>& changes, double budget);
  void addHints(EngineDeltas& message, double budget);
  common::Duration ageOf(EngineSlot slot) const;
  std::uint16_t indexOf(EngineSlot slot) const;
  EngineSlot slotAt(std::uint16_t index) const;

  void onDeltas(const common::NodeId& sender, const EngineDeltas& message);
  /// \return false if the identity of the engine at `index` was requested recently
  bool mayRequestIdentity(std::uint16_t index);
  void applyChanges(const common::NodeId& sender, const EngineDeltas& message,
                    std::set<std::uint16_t>& unknown);
  /// Applies what a peer says of an engine. That it can't reach the engine is only a claim.
  void applyObservation(const common::NodeId& sender, EngineSlot slot,
                        EngineObservation observation);
  /// Logs what a peer says of an engine, if the engine's record says otherwise.
  void logReachability(const common::NodeId& sender, EngineSlot slot, bool reachable) const;
  void applyConfirmations(const EngineDeltas& message, std::set<std::uint16_t>& unknown);
  void applyDeferred(const EngineDeltas& message);
  void applyHints(const EngineDeltas& message);
  void onIdentityRequest(const common::NodeId& sender, const IdentityRequest& request);

  DirectorySettings settings_;
  const api::ProcessContext& context_;
  const EngineGroups& groups_;
  std::function<common::NodeId()> planning_node_;
  EngineTable& table_;
  PrefixIndex& prefixes_;
  ReachabilityClaims& claims_;
  EnginePoller* poller_ = nullptr;
  std::uint64_t sequence_ = 0;
  double budget_bytes_ = 0;
  common::MonotonicTime budget_filled_at_{};
  common::MonotonicTime last_sent_at_{};
  std::map<EngineSlot, Published> published_;
  /// Highest sequence number received from each peer incarnation.
  std::map<common::NodeId, std::uint64_t> received_;
  std::map<std::uint16_t, EngineIdentity> identities_;
  std::uint32_t identities_digest_ = 0;
  /// By engine index: when this node last requested the engine's identity because the known one did
  /// not match the published tag.
  std::map<std::uint16_t, common::MonotonicTime> asked_;
  std::deque<CacheHint> hints_;
  /// A publication of first reports is scheduled.
  bool first_reports_wait_ = false;
  common::Counter& sent_bytes_;
  common::Counter& sent_messages_;
  common::Counter& deferred_changes_;
  common::Counter& dropped_hints_;
  common::Counter& foreign_roster_;
  common::Counter& late_messages_;
  common::Counter& unmatched_identities_;
  common::Counter& identity_requests_;
};

}  // namespace cypresswall::routing
