#include "cypresswall/routing/reachability_claims.h"

#include <utility>

namespace cypresswall::routing {
namespace {

/// How long the success of a probe answers further claims. A failure answers none: the engine may
/// have started again since.
constexpr common::Duration kProbeValidity = std::chrono::milliseconds(500);

common::Counter& claimCounter(const api::ProcessContext& context, const char* result) {
  return context.counters.counter("cypresswall_engine_reachability_claims_total",
                                  "Engines probed since another node can't reach them", "result",
                                  result);
}

}  // namespace

ReachabilityClaims::ReachabilityClaims(const api::ProcessContext& context, EngineTable& table)
    : context_(context),
      table_(table),
      confirmed_(claimCounter(context, "confirmed")),
      contradicted_(claimCounter(context, "contradicted")) {
  table_.onChange([this](EngineSlot slot, bool restarted) {
    if (restarted) {
      claimants_.erase(slot);
      probes_.erase(slot);
    }
  });
}

void ReachabilityClaims::add(const common::NodeId& node, EngineSlot slot) {
  if (claimants_[slot].insert(node).second) {
    changed();
  }
  probe(slot, [this, slot, node, engine = table_.record(slot).declaration.name](bool reached) {
    if (!isStill(slot, engine)) {
      return;
    }
    common::LogEvent(context_.log, common::LogLevel::kInfo, "engine_claimed_unreachable")
        .field("engine", engine)
        .field("source", node.address)
        .field("reached_here", reached);
    if (!reached) {
      table_.setReachable(slot, false, context_.clock.now());
    }
  });
}

void ReachabilityClaims::remove(const common::NodeId& node, EngineSlot slot) {
  const auto found = claimants_.find(slot);
  if (found == claimants_.end() || found->second.erase(node) == 0) {
    return;
  }
  if (found->second.empty()) {
    claimants_.erase(found);
  }
  changed();
}

void ReachabilityClaims::keepOnly(const std::set<common::NodeId>& members) {
  for (auto& [slot, nodes] : claimants_) {
    std::erase_if(nodes, [&](const common::NodeId& node) { return !members.contains(node); });
  }
  std::erase_if(claimants_, [](const auto& entry) { return entry.second.empty(); });
}

const std::set<common::NodeId>& ReachabilityClaims::of(EngineSlot slot) const {
  static const std::set<common::NodeId> kNone;
  const auto found = claimants_.find(slot);
  return found == claimants_.end() ? kNone : found->second;
}

void ReachabilityClaims::probe(EngineSlot slot, std::function<void(bool reached)> callback) {
  if (connections_ == nullptr) {
    callback(false);
    return;
  }
  if (reachedJustNow(slot)) {
    callback(true);
    return;
  }
  Probe& probe = probes_[slot];
  probe.waiting.push_back(std::move(callback));
  if (std::exchange(probe.pending, true)) {
    return;
  }
  const engines::EngineEndpoint endpoint = table_.record(slot).endpoint();
  connections_->probe(endpoint.address, [this, slot, engine = endpoint.name](bool reached) {
    onProbed(slot, engine, reached);
  });
}

bool ReachabilityClaims::reachedJustNow(EngineSlot slot) const {
  const auto found = probes_.find(slot);
  return found != probes_.end() && !found->second.pending && found->second.reached &&
         context_.clock.now() - found->second.ended_at < kProbeValidity;
}

void ReachabilityClaims::onProbed(EngineSlot slot, const common::EngineName& engine, bool reached) {
  const auto found = probes_.find(slot);
  if (found == probes_.end() || !isStill(slot, engine)) {
    return;
  }
  (reached ? contradicted_ : confirmed_).add();
  Probe& probe = found->second;
  probe.pending = false;
  probe.reached = reached;
  probe.ended_at = context_.clock.now();
  for (const auto& callback : std::exchange(probe.waiting, {})) {
    callback(reached);
  }
}

bool ReachabilityClaims::isStill(EngineSlot slot, const common::EngineName& engine) const {
  return table_.slotOf(engine) == slot;
}

void ReachabilityClaims::changed() const {
  if (listener_) {
    listener_();
  }
}

}  // namespace cypresswall::routing
