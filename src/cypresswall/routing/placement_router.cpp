#include "cypresswall/routing/placement_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cypresswall/routing/shared_part.h"

namespace cypresswall::routing {
namespace {

/// Above this many, owners that answer again are forgotten.
constexpr std::size_t kMaximumRemembered = 256;

}  // namespace

PlacementRouter::PlacementRouter(const PlacementSettings& settings,
                                 const RouterSettings& router_settings,
                                 const api::ProcessContext& context, EngineDirectory& directory,
                                 Router& local)
    : settings_(settings),
      long_prompt_tokens_(router_settings.prefill_chunk_tokens),
      long_answer_tokens_(router_settings.output_speed.minimum_tokens),
      context_(context),
      directory_(directory),
      local_(local),
      asked_(context.counters.counter("cypresswall_placement_asked_total",
                                      "Owners of engines asked for a place")),
      answered_(context.counters.counter("cypresswall_placement_answered_total",
                                         "Answers of owners that came in time")),
      silent_(context.counters.counter("cypresswall_placement_silent_total",
                                       "Owners that did not answer in time")),
      late_(context.counters.counter("cypresswall_placement_late_total",
                                     "Answers of owners that nobody waited for any more")),
      unusable_(context.counters.counter("cypresswall_placement_unusable_total",
                                         "Places on engines that may get no work or aren't known")),
      no_owner_(context.counters.counter("cypresswall_placement_no_owner_total",
                                         "Requests for which no owner gave any answer")) {
  context_.dispatcher.handle<PlacementAnswer>(
      [this](const common::NodeId& sender, const PlacementAnswer& answer) {
        onAnswer(sender, answer);
      });
}

void PlacementRouter::place(const RouteRequest& request, const PlacementCallback& done) {
  if (directory_.groups().everyNodeRoutes()) {
    local_.place(request, done);
    return;
  }
  Waiting waiting;
  waiting.request = request;
  waiting.done = done;
  waiting.candidates = candidatesFor(request);
  waiting_[request.stream_id] = std::move(waiting);
  askNext(request.stream_id);
}

std::deque<PlacementRouter::Candidate> PlacementRouter::candidatesFor(const RouteRequest& request) {
  const auto homes = directory_.groups().candidateGroupsFor(
      request.model, sharedPartOf(request.shape), context_.random);
  std::deque<Candidate> candidates;
  for (const EngineGroup* home : homes) {
    for (const common::NodeId& owner : home->owners) {
      candidates.push_back({owner, home->name});
    }
  }
  std::stable_partition(candidates.begin(), candidates.end(), [this](const Candidate& candidate) {
    return !unresponsive(candidate.node);
  });
  return candidates;
}

bool PlacementRouter::unresponsive(const common::NodeId& node) const {
  const auto until = unresponsive_until_.find(node);
  return until != unresponsive_until_.end() && context_.clock.now() < until->second;
}

void PlacementRouter::askNext(const std::string& stream_id) {
  Waiting& waiting = waiting_.at(stream_id);
  if (waiting.candidates.empty() || waiting.asks >= settings_.maximum_owners_asked) {
    giveUp(stream_id);
    return;
  }
  const Candidate candidate = std::move(waiting.candidates.front());
  waiting.candidates.pop_front();
  ++waiting.asks;
  if (candidate.node == context_.self) {
    placeHere(stream_id);
  } else {
    ask(waiting, candidate);
  }
}

void PlacementRouter::ask(Waiting& waiting, const Candidate& candidate) {
  asked_.add();
  waiting.asked = candidate;
  waiting.number = next_number_++;
  waiting.asked_at = context_.clock.now();
  PlacementRequest message = toMessage(waiting.request);
  message.number = waiting.number;
  message.group = candidate.group;
  context_.sendTo(candidate.node, message);
  waiting.timer = context_.scheduler.schedule(
      answerLimit(waiting.request),
      [this, stream_id = waiting.request.stream_id] { onSilence(stream_id); });
}

common::Duration PlacementRouter::answerLimit(const RouteRequest& request) const {
  const auto share =
      common::fromSeconds(common::toSeconds(request.first_token_limit) * settings_.answer_share);
  return std::clamp(share, settings_.minimum_answer_limit, settings_.answer_limit);
}

void PlacementRouter::placeHere(const std::string& stream_id) {
  local_.place(waiting_.at(stream_id).request, [this, stream_id](RouteChoice choice) {
    auto* const refusal = std::get_if<RouteRefusal>(&choice);
    if (refusal == nullptr) {
      finish(stream_id, std::move(choice));
      return;
    }
    waiting_.at(stream_id).refusal = std::move(*refusal);
    askNext(stream_id);
  });
}

void PlacementRouter::giveUp(const std::string& stream_id) {
  auto& refusal = waiting_.at(stream_id).refusal;
  if (!refusal) {
    no_owner_.add();
    refusal.emplace();
    refusal->retry_after = settings_.retry_after;
    refusal->message = "no node that decides about the engines answered";
  }
  finish(stream_id, std::move(*refusal));
}

void PlacementRouter::finish(const std::string& stream_id, RouteChoice choice) {
  auto waiting = waiting_.extract(stream_id);
  context_.scheduler.cancel(waiting.mapped().timer);
  waiting.mapped().done(std::move(choice));
}

void PlacementRouter::onSilence(const std::string& stream_id) {
  const auto found = waiting_.find(stream_id);
  if (found == waiting_.end()) {
    return;
  }
  Waiting& waiting = found->second;
  waiting.timer = 0;
  silent_.add();
  const auto now = context_.clock.now();
  if (unresponsive_until_.size() >= kMaximumRemembered) {
    std::erase_if(unresponsive_until_, [now](const auto& entry) { return entry.second <= now; });
  }
  unresponsive_until_[waiting.asked.node] = now + settings_.unresponsive_time;
  common::LogEvent(context_.log, common::LogLevel::kWarning, "owner_silent")
      .field("stream", stream_id)
      .field("owner", waiting.asked.node.address)
      .field("group", waiting.asked.group)
      .field("asks", waiting.asks);
  askNext(stream_id);
}

void PlacementRouter::onAnswer(const common::NodeId& sender, const PlacementAnswer& answer) {
  unresponsive_until_.erase(sender);
  const auto found = waiting_.find(answer.stream_id);
  const bool awaited = found != waiting_.end() && found->second.number == answer.number &&
                       found->second.asked.node == sender;
  if (!awaited) {
    late_.add();
    if (answer.outcome == PlacementOutcome::kPlaced) {
      giveBackUnlessUsed(sender, answer.stream_id);
    }
    return;
  }
  answered_.add();
  Waiting& waiting = found->second;
  context_.scheduler.cancel(std::exchange(waiting.timer, 0));
  if (answer.outcome != PlacementOutcome::kPlaced) {
    onRefusal(waiting, answer);
    return;
  }
  Route route = routeOf(answer);
  route.chosen_by = sender;
  if (!usable(route)) {
    unusable_.add();
    tell(sender, answer.stream_id, AttemptStep::kEnded);
    waiting.request.excluded.push_back(route.engine.name);
    waiting.candidates.push_front(waiting.asked);
    askNext(answer.stream_id);
    return;
  }
  Placed placed;
  placed.owner = sender;
  const double uncached = static_cast<double>(waiting.request.shape.tokens) -
                          static_cast<double>(route.expected_cached_tokens);
  const bool long_prompt = uncached > long_prompt_tokens_ || route.expected_copied_tokens > 0;
  const bool long_answer = waiting.request.maximum_tokens >= long_answer_tokens_;
  placed.tells_first_token = long_answer || (long_prompt && !route.prefill_engine);
  placed_[answer.stream_id] = std::move(placed);
  finish(answer.stream_id, std::move(route));
}

void PlacementRouter::onRefusal(Waiting& waiting, const PlacementAnswer& answer) {
  waiting.refusal = refusalOf(answer);
  if (answer.outcome == PlacementOutcome::kOverloaded) {
    // The group's other owner knows no better.
    std::erase_if(waiting.candidates, [&waiting](const Candidate& candidate) {
      return candidate.group == waiting.asked.group;
    });
  }
  askNext(answer.stream_id);
}

bool PlacementRouter::known(const engines::EngineEndpoint& engine) const {
  const EngineSlot slot = directory_.table().slotOf(engine.name);
  return slot != kNoEngineSlot &&
         directory_.table().record(slot).declaration.address == engine.address;
}

bool PlacementRouter::usable(const Route& route) const {
  const auto fits = [this](const engines::EngineEndpoint& engine) {
    return known(engine) && takesWork(engine);
  };
  return fits(route.engine) && (!route.prefill_engine || fits(*route.prefill_engine)) &&
         (!route.prefix_source || known(*route.prefix_source));
}

bool PlacementRouter::takesWork(const engines::EngineEndpoint& engine) const {
  const EngineSlot slot = directory_.table().slotOf(engine.name);
  if (slot == kNoEngineSlot) {
    return false;
  }
  return directory_.groups().routesTo(slot) ? local_.takesWork(engine)
                                            : !directory_.table().isLeaving(slot);
}

void PlacementRouter::abandonPlacement(const std::string& stream_id) {
  const auto waiting = waiting_.extract(stream_id);
  if (!waiting.empty()) {
    context_.scheduler.cancel(waiting.mapped().timer);
  }
  local_.abandonPlacement(stream_id);
}

/// An answer that came twice must not take back the place in use.
void PlacementRouter::giveBackUnlessUsed(const common::NodeId& owner,
                                         const std::string& stream_id) {
  const auto placed = placed_.find(stream_id);
  if (placed == placed_.end() || placed->second.owner != owner) {
    tell(owner, stream_id, AttemptStep::kEnded);
  }
}

void PlacementRouter::tell(const common::NodeId& owner, const std::string& stream_id,
                           AttemptStep step) {
  AttemptProgress progress;
  progress.stream_id = stream_id;
  progress.step = step;
  context_.sendTo(owner, progress);
}

void PlacementRouter::promptComputed(const std::string& stream_id) {
  const auto placed = placed_.find(stream_id);
  if (placed == placed_.end()) {
    local_.promptComputed(stream_id);
    return;
  }
  tell(placed->second.owner, stream_id, AttemptStep::kPromptComputed);
}

void PlacementRouter::firstTokenReceived(const std::string& stream_id) {
  const auto placed = placed_.find(stream_id);
  if (placed == placed_.end()) {
    local_.firstTokenReceived(stream_id);
  } else if (placed->second.tells_first_token) {
    tell(placed->second.owner, stream_id, AttemptStep::kFirstToken);
  }
}

void PlacementRouter::answerCompleted(const std::string& stream_id) {
  const auto placed = placed_.find(stream_id);
  if (placed == placed_.end()) {
    local_.answerCompleted(stream_id);
    return;
  }
  placed->second.completed = true;
}

void PlacementRouter::attemptFinished(const std::string& stream_id) {
  const auto placed = placed_.extract(stream_id);
  if (placed.empty()) {
    local_.attemptFinished(stream_id);
    return;
  }
  tell(placed.mapped().owner, stream_id,
       placed.mapped().completed ? AttemptStep::kCompleted : AttemptStep::kEnded);
}

void PlacementRouter::attemptFailed(const std::string& stream_id, const common::EngineName& engine,
                                    engines::StreamFailure failure) {
  const auto placed = placed_.extract(stream_id);
  if (placed.empty()) {
    local_.attemptFailed(stream_id, engine, failure);
    return;
  }
  AttemptProgress progress;
  progress.stream_id = stream_id;
  progress.step = AttemptStep::kFailed;
  progress.engine = engine;
  progress.failure = failure;
  context_.sendTo(placed.mapped().owner, progress);
}

}  // namespace cypresswall::routing
