/// Outlier ejection: removes engines on which attempts fail from routing for a short time, before
/// load reports show the fault. A node ejects an engine at once if its own attempts can't reach it.
/// It also reports failures to the engine's watcher, which ejects the engine for the whole zone
/// once several nodes have reported. A failure causes one message to the watcher, however many
/// nodes use the engine; an ejection causes one message to each of the engine's other routing
/// nodes.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_path.h"
#include "cypresswall/engines/engine_types.h"
#include "cypresswall/routing/engine_groups.h"
#include "cypresswall/routing/engine_table.h"
#include "cypresswall/routing/reachability_claims.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Sent to the engine's watcher: an attempt failed on the engine.
struct EngineFailureReport {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 3);

  common::EngineName engine;
  /// True if the engine could not be reached, false if the stream broke.
  bool unreached = false;

  MSGPACK_DEFINE(engine, unreached)
};

/// Sent by the watcher to the engine's other routing nodes: the engine is ejected.
struct EngineEjected {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 4);

  common::EngineName engine;
  bool unreached = false;
  std::uint32_t milliseconds = 0;

  MSGPACK_DEFINE(engine, unreached, milliseconds)
};

class EngineEjection {
 public:
  /// Registers the handlers of both messages. \pre all references outlive this object
  EngineEjection(const EjectionSettings& settings, const api::ProcessContext& context,
                 const EngineGroups& groups, EngineTable& table, ReachabilityClaims& claims);
  EngineEjection(const EngineEjection&) = delete;
  EngineEjection& operator=(const EngineEjection&) = delete;

  /// Sets how this object learns that this node reaches no server; it then reports no failures.
  void setServerPath(const api::ServerPath& path) { server_path_ = &path; }
  /// Records a failed attempt of this node. Refusals by the engine and attempts that were never
  /// tried are ignored, because they say nothing about the engine's health.
  void attemptFailed(EngineSlot slot, engines::StreamFailure failure);
  /// Records a failed attempt of `node`, for which this node had chosen the engine. Counts as a
  /// report from `node`; reports of a single node do not eject an engine.
  void placedAttemptFailed(const common::NodeId& node, EngineSlot slot,
                           engines::StreamFailure failure);

 private:
  /// One reported failure.
  struct Failure {
    common::NodeId node;
    bool unreached = false;
    common::MonotonicTime at{};
  };
  struct Engine {
    /// Failures within EjectionSettings::window that nodes reported to this node as the engine's
    /// watcher.
    std::vector<Failure> reports;
    /// When streams of this node broke on the engine within EjectionSettings::window.
    std::vector<common::MonotonicTime> broken;
    /// Consecutive ejections, each begun within EjectionSettings::backoff_reset_time of the end of
    /// the previous one.
    std::uint32_t in_a_row = 0;
  };

  void onReport(const common::NodeId& sender, const EngineFailureReport& report);
  void onEjected(const EngineEjected& notice);
  void reportFailure(EngineSlot slot, bool unreached);
  /// \return true if the reports within EjectionSettings::window suffice to eject the engine for
  ///   the whole zone
  bool enoughReports(const Engine& engine, bool unreached) const;
  void ejectForZone(EngineSlot slot, bool unreached);
  /// \return the duration of the engine's next ejection
  common::Duration nextEjectionTime(EngineSlot slot);
  /// \return false if ejection is disabled, or if ejecting this engine too would exceed the maximum
  ///   share of ejected engines of the same model and role
  bool mayEject(EngineSlot slot, bool unreached) const;
  /// Ejects the engine because of other nodes' failures. If they can't reach it, this node probes
  /// it as well and ends the ejection if it reaches the engine.
  void ejectAsTold(EngineSlot slot, common::Duration time, bool unreached);
  void liftEjection(EngineSlot slot);
  void eject(EngineSlot slot, common::Duration time, bool unreached, const char* source);

  EjectionSettings settings_;
  const api::ProcessContext& context_;
  const EngineGroups& groups_;
  EngineTable& table_;
  ReachabilityClaims& claims_;
  const api::ServerPath* server_path_ = nullptr;
  std::unordered_map<EngineSlot, Engine> engines_;
  common::Counter& own_ejections_;
  common::Counter& zone_ejections_;
  common::Counter& refused_ejections_;
  common::Counter& lifted_ejections_;
};

}  // namespace cypresswall::routing
