/// Takes engines at which attempts fail out of routing for a short time, before load reports show
/// what is wrong (outlier ejection). A node acts at once on its own attempts that reached nothing;
/// what it sees it also tells the node that watches the engine, which ejects the engine for the
/// whole zone once several nodes say so. That costs one message a failure and one a node for each
/// ejection, however many nodes send to the engine.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/engines/engine_types.h"
#include "cypresswall/routing/engine_groups.h"
#include "cypresswall/routing/engine_table.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Told to the node that watches the engine: an attempt failed there.
struct EngineFailureReport {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 3);

  common::EngineName engine;
  /// Nothing reached the engine; otherwise the stream broke.
  bool unreached = false;

  MSGPACK_DEFINE(engine, unreached)
};

/// Told by the watcher to its zone: the engine gets no work for a while.
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
                 const EngineGroups& groups, EngineTable& table);
  EngineEjection(const EngineEjection&) = delete;
  EngineEjection& operator=(const EngineEjection&) = delete;

  /// An attempt of this node failed at the engine. Refusals and attempts
  /// that were not tried say nothing of its health.
  void attemptFailed(EngineSlot slot, engines::StreamFailure failure);
  /// An attempt that this node placed for another one failed at the engine: a word of that node's,
  /// which alone ejects nothing.
  void placedAttemptFailed(const common::NodeId& node, EngineSlot slot,
                           engines::StreamFailure failure);

 private:
  /// One failure that was told.
  struct Failure {
    common::NodeId node;
    bool unreached = false;
    common::MonotonicTime at{};
  };
  struct Engine {
    /// Of the last window, told to this node as the watcher.
    std::vector<Failure> reports;
    /// Of the last window, this node's own broken streams.
    std::vector<common::MonotonicTime> broken;
    /// Ejections in a row, each begun soon after the one before ended.
    std::uint32_t in_a_row = 0;
  };

  void onReport(const common::NodeId& sender, const EngineFailureReport& report);
  void onEjected(const EngineEjected& notice);
  void reportFailure(EngineSlot slot, bool unreached);
  /// \return true if what the nodes told of the last window is enough to eject the engine
  bool enoughReports(const Engine& engine, bool unreached) const;
  void ejectForZone(EngineSlot slot, bool unreached);
  /// \return for how long the engine's next ejection lasts
  common::Duration nextEjectionTime(EngineSlot slot);
  /// \return true unless ejection is switched off, or as many engines of the model and role are
  ///   ejected as may be
  bool mayEject(EngineSlot slot, bool unreached) const;
  void eject(EngineSlot slot, common::Duration time, bool unreached, const char* source);

  EjectionSettings settings_;
  const api::ProcessContext& context_;
  const EngineGroups& groups_;
  EngineTable& table_;
  std::unordered_map<EngineSlot, Engine> engines_;
  common::Counter& own_ejections_;
  common::Counter& zone_ejections_;
  common::Counter& refused_ejections_;
};

}  // namespace cypresswall::routing
