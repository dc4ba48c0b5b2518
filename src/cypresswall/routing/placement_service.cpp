#include "cypresswall/routing/placement_service.h"

#include <utility>
#include <vector>

namespace cypresswall::routing {
namespace {

constexpr common::Duration kSweepInterval = std::chrono::seconds(1);

common::Counter& answers(common::CounterRegistry& registry, const char* outcome) {
  return registry.counter("cypresswall_placement_answers_total",
                          "Answers to other nodes that asked for a place", "outcome", outcome);
}

common::Counter& dropped(common::CounterRegistry& registry, const char* reason) {
  return registry.counter("cypresswall_placement_dropped_total",
                          "Messages about places that were dropped", "reason", reason);
}

}  // namespace

PlacementService::PlacementService(const PlacementSettings& settings,
                                   const api::ProcessContext& context, EngineDirectory& directory,
                                   Router& router)
    : settings_(settings),
      context_(context),
      directory_(directory),
      router_(router),
      placed_(answers(context.counters, "placed")),
      refused_(answers(context.counters, "refused")),
      not_owner_(answers(context.counters, "not-owner")),
      full_(answers(context.counters, "full")),
      invalid_(dropped(context.counters, "invalid")),
      unknown_(dropped(context.counters, "unknown-place")),
      expired_(context.counters.counter("cypresswall_placement_expired_total",
                                        "Places taken back: their end was never told")) {
  context_.dispatcher.handle<PlacementRequest>(
      [this](const common::NodeId& sender, const PlacementRequest& message) {
        onRequest(sender, message);
      });
  context_.dispatcher.handle<AttemptProgress>(
      [this](const common::NodeId& sender, const AttemptProgress& progress) {
        onProgress(sender, progress);
      });
  context_.scheduler.schedule(kSweepInterval, [this] { sweep(); });
}

void PlacementService::onRequest(const common::NodeId& sender, const PlacementRequest& message) {
  RouteRequest request;
  const auto known = placements_.find(message.stream_id);
  const bool from_other_node = known != placements_.end() && known->second.node != sender;
  if (from_other_node || !fromMessage(message, request)) {
    invalid_.add();
    return;
  }
  // An earlier request for the same stream was repeated or duplicated. Its placement is not used,
  // so it is released.
  release(request.stream_id);
  router_.abandonPlacement(request.stream_id);
  if (const auto refusal = refusalOfGroup(message.group)) {
    answerWith(*refusal, sender, message.number, message.stream_id);
    return;
  }
  router_.place(request, [this, sender, number = message.number,
                          stream_id = message.stream_id](const RouteChoice& choice) {
    refused_.add(std::holds_alternative<RouteRefusal>(choice) ? 1 : 0);
    answerWith(choice, sender, number, stream_id);
  });
}

void PlacementService::answerWith(const RouteChoice& choice, const common::NodeId& node,
                                  std::uint64_t number, const std::string& stream_id) {
  if (std::holds_alternative<Route>(choice)) {
    placements_[stream_id] = ActivePlacement{node, context_.clock.now()};
    placed_.add();
  }
  PlacementAnswer answer = toMessage(choice);
  answer.number = number;
  answer.stream_id = stream_id;
  context_.sendTo(node, answer);
}

std::optional<RouteRefusal> PlacementService::refusalOfGroup(const std::string& group) {
  if (!directory_.groups().everyNodeRoutes() && !directory_.groups().owns(group)) {
    not_owner_.add();
    return RouteRefusal{RouteFailure::kOverloaded, settings_.retry_after,
                        "this node does not decide about these engines", std::nullopt};
  }
  if (placements_.size() >= settings_.maximum_placements) {
    full_.add();
    return RouteRefusal{RouteFailure::kOverloaded, settings_.retry_after,
                        "this node has given as many places as it can follow", std::nullopt};
  }
  return std::nullopt;
}

void PlacementService::onProgress(const common::NodeId& sender, const AttemptProgress& progress) {
  const auto place = placements_.find(progress.stream_id);
  if (place == placements_.end() || place->second.node != sender) {
    unknown_.add();
    return;
  }
  if (progress.output_tokens > 0) {
    router_.outputReceived(progress.stream_id, sampleOf(progress));
  }
  switch (progress.step) {
    case AttemptStep::kPromptComputed:
      router_.promptComputed(progress.stream_id);
      break;
    case AttemptStep::kFirstToken:
      router_.firstTokenReceived(progress.stream_id);
      break;
    case AttemptStep::kCompleted:
      router_.answerCompleted(progress.stream_id);
      release(progress.stream_id);
      break;
    case AttemptStep::kEnded:
      release(progress.stream_id);
      break;
    case AttemptStep::kFailed:
      onFailed(sender, progress);
      break;
    case AttemptStep::kOutput:
      break;
    default:
      invalid_.add();
  }
}

void PlacementService::onFailed(const common::NodeId& sender, const AttemptProgress& progress) {
  release(progress.stream_id);
  directory_.ejection().placedAttemptFailed(sender, directory_.table().slotOf(progress.engine),
                                            progress.failure);
}

void PlacementService::release(const std::string& stream_id) {
  if (placements_.erase(stream_id) != 0) {
    router_.attemptFinished(stream_id);
  }
}

void PlacementService::sweep() {
  context_.scheduler.schedule(kSweepInterval, [this] { sweep(); });
  const auto now = context_.clock.now();
  std::vector<std::string> expired;
  for (const auto& [stream_id, place] : placements_) {
    if (now - place.created_at > settings_.placement_time_limit) {
      expired.push_back(stream_id);
    }
  }
  for (const std::string& stream_id : expired) {
    expired_.add();
    release(stream_id);
  }
}

}  // namespace cypresswall::routing
