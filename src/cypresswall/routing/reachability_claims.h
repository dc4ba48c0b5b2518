/// What other nodes say about engines that they can't reach, checked by this node's own
/// connections.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_connections.h"
#include "cypresswall/routing/engine_record.h"
#include "cypresswall/routing/engine_table.h"

namespace cypresswall::routing {

/// That a node can't reach an engine may be the engine's fault or that of the links between the
/// two. So a claim only makes this node try the engine itself, and only its own failure counts. A
/// probe is one connection for each claim, or for several that come at about the same time.
class ReachabilityClaims {
 public:
  /// \pre all references outlive this object
  ReachabilityClaims(const api::ProcessContext& context, EngineTable& table);
  ReachabilityClaims(const ReachabilityClaims&) = delete;
  ReachabilityClaims& operator=(const ReachabilityClaims&) = delete;

  /// Sets how engines are probed. Without it, claims are believed.
  void setConnections(api::ServerConnections& connections) { connections_ = &connections; }
  /// Records that the node says it can't reach the engine, which it watches, and probes the engine.
  void add(const common::NodeId& node, EngineSlot slot);
  /// Records that the node reaches the engine.
  void remove(const common::NodeId& node, EngineSlot slot);
  /// Forgets the claims of nodes that are not among `members`.
  void keepOnly(const std::set<common::NodeId>& members);
  /// \return the nodes that can't reach the engine
  const std::set<common::NodeId>& of(EngineSlot slot) const;
  /// Probes the engine.
  /// \param callback called once, possibly before this function returns: true if this node reaches
  ///   the engine
  void probe(EngineSlot slot, std::function<void(bool reached)> callback);
  /// \return true if a recent probe reached the engine
  bool reachedJustNow(EngineSlot slot) const;
  /// \param listener called after the claims about an engine have changed
  void onChange(std::function<void()> listener) { listener_ = std::move(listener); }

 private:
  struct Probe {
    bool pending = false;
    bool reached = false;
    common::MonotonicTime ended_at{};
    std::vector<std::function<void(bool reached)>> waiting;
  };

  void onProbed(EngineSlot slot, const common::EngineName& engine, bool reached);
  /// \return true if the slot still belongs to the engine
  bool isStill(EngineSlot slot, const common::EngineName& engine) const;
  void changed() const;

  const api::ProcessContext& context_;
  EngineTable& table_;
  api::ServerConnections* connections_ = nullptr;
  std::map<EngineSlot, std::set<common::NodeId>> claimants_;
  std::unordered_map<EngineSlot, Probe> probes_;
  std::function<void()> listener_;
  common::Counter& confirmed_;
  common::Counter& contradicted_;
};

}  // namespace cypresswall::routing
