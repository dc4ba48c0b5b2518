#include "cypresswall/routing/placement_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cypresswall/routing/shared_part.h"

namespace cypresswall::routing {
namespace {

/// Number of entries in the table of unresponsive owners from which expired entries are removed.
constexpr std::size_t kMaximumUnresponsiveOwners = 256;

/// Output is reported to the owner of a running attempt about this often, so that an engine that
/// has become slow is noticed before its streams end.
constexpr common::Duration kOutputReportInterval = std::chrono::milliseconds(500);

}  // namespace

PlacementRouter::PlacementRouter(const PlacementSettings& settings,
                                 const RouterSettings& router_settings,
                                 const api::ProcessContext& context, EngineDirectory& directory,
                                 Router& local)
    : settings_(settings),
      long_prompt_tokens_(router_settings.prefill_chunk_tokens),
      long_answer_tokens_(router_settings.output_speed.minimum_tokens),
      output_report_interval_(router_settings.engine_speed.enabled ? kOutputReportInterval
                                                                   : common::Duration::max()),
      context_(context),
      directory_(directory),
      local_(local),
      asked_(context.counters.counter("cypresswall_placement_asked_total",
                                      "Owners of engines asked for a place")),
      answered_(context.counters.counter("cypresswall_placement_answered_total",
                                         "Answers of owners that came in time")),
      timed_out_(context.counters.counter("cypresswall_placement_silent_total",
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
    RouteRequest local = request;
    local.connected = connectedEngines(directory_.table().roster());
    local_.place(local, done);
    return;
  }
  PendingRequest pending;
  pending.request = request;
  pending.done = done;
  pending.candidates = candidatesFor(request);
  pending_[request.stream_id] = std::move(pending);
  tryNextOwner(request.stream_id);
}

std::deque<PlacementRouter::Candidate> PlacementRouter::candidatesFor(const RouteRequest& request) {
  const auto candidate_groups = directory_.groups().candidateGroupsFor(
      request.model, sharedPartOf(request.shape), context_.random, request.build);
  std::deque<Candidate> candidates;
  for (const EngineGroup* group : candidate_groups) {
    for (const common::NodeId& owner : group->owners) {
      candidates.push_back({owner, group->name});
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

void PlacementRouter::tryNextOwner(const std::string& stream_id) {
  PendingRequest& pending = pending_.at(stream_id);
  if (pending.candidates.empty() || pending.attempts >= settings_.maximum_owners_asked) {
    giveUp(stream_id);
    return;
  }
  const Candidate candidate = std::move(pending.candidates.front());
  pending.candidates.pop_front();
  ++pending.attempts;
  pending.request.connected = connectedEngines(directory_.groups().enginesOf(candidate.group));
  if (candidate.node == context_.self) {
    placeLocally(stream_id);
  } else {
    sendRequest(pending, candidate);
  }
}

std::vector<common::EngineName> PlacementRouter::connectedEngines(
    const std::vector<EngineSlot>& engines) const {
  std::vector<common::EngineName> connected;
  for (const EngineSlot slot : engines) {
    const auto& declared = directory_.table().record(slot).declaration;
    if (connected.size() < kMaximumConnectedEngines && has_idle_connection_ &&
        has_idle_connection_({declared.name, declared.address})) {
      connected.push_back(declared.name);
    }
  }
  return connected;
}

void PlacementRouter::sendRequest(PendingRequest& pending, const Candidate& candidate) {
  asked_.add();
  pending.asked = candidate;
  pending.number = next_number_++;
  pending.asked_at = context_.clock.now();
  PlacementRequest message = toMessage(pending.request);
  message.number = pending.number;
  message.group = candidate.group;
  context_.sendTo(candidate.node, message);
  pending.timer = context_.scheduler.schedule(
      answerTimeout(pending.request),
      [this, stream_id = pending.request.stream_id] { onAnswerTimeout(stream_id); });
}

common::Duration PlacementRouter::answerTimeout(const RouteRequest& request) const {
  const auto share =
      common::fromSeconds(common::toSeconds(request.first_token_limit) * settings_.answer_share);
  return std::clamp(share, settings_.minimum_answer_limit, settings_.answer_limit);
}

void PlacementRouter::placeLocally(const std::string& stream_id) {
  local_.place(pending_.at(stream_id).request, [this, stream_id](RouteChoice choice) {
    auto* const refusal = std::get_if<RouteRefusal>(&choice);
    if (refusal == nullptr) {
      finish(stream_id, std::move(choice));
      return;
    }
    keepRefusal(pending_.at(stream_id), std::move(*refusal));
    tryNextOwner(stream_id);
  });
}

void PlacementRouter::giveUp(const std::string& stream_id) {
  const RouteRequest& request = pending_.at(stream_id).request;
  auto& refusal = pending_.at(stream_id).refusal;
  const bool without_build =
      request.build && !directory_.table().hasEngineOfBuild(request.model, *request.build);
  if (without_build) {
    refusal.emplace();
    refusal->reason = RouteFailure::kNoEngineOfBuild;
    refusal->message = noEngineOfBuild(request.model, *request.build);
  } else if (!refusal) {
    no_owner_.add();
    refusal.emplace();
    refusal->retry_after = settings_.retry_after;
    refusal->message = "no node that decides about the engines answered";
  }
  finish(stream_id, std::move(*refusal));
}

void PlacementRouter::finish(const std::string& stream_id, RouteChoice choice) {
  auto pending = pending_.extract(stream_id);
  context_.scheduler.cancel(pending.mapped().timer);
  pending.mapped().done(std::move(choice));
}

void PlacementRouter::onAnswerTimeout(const std::string& stream_id) {
  const auto found = pending_.find(stream_id);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  pending.timer = 0;
  timed_out_.add();
  const auto now = context_.clock.now();
  if (unresponsive_until_.size() >= kMaximumUnresponsiveOwners) {
    std::erase_if(unresponsive_until_, [now](const auto& entry) { return entry.second <= now; });
  }
  unresponsive_until_[pending.asked.node] = now + settings_.unresponsive_time;
  common::LogEvent(context_.log, common::LogLevel::kWarning, "owner_silent")
      .field("stream", stream_id)
      .field("owner", pending.asked.node.address)
      .field("group", pending.asked.group)
      .field("asks", pending.attempts);
  tryNextOwner(stream_id);
}

void PlacementRouter::onAnswer(const common::NodeId& sender, const PlacementAnswer& answer) {
  unresponsive_until_.erase(sender);
  const auto found = pending_.find(answer.stream_id);
  const bool awaited = found != pending_.end() && found->second.number == answer.number &&
                       found->second.asked.node == sender;
  if (!awaited) {
    late_.add();
    if (answer.outcome == PlacementOutcome::kPlaced) {
      releaseUnlessInUse(sender, answer.stream_id);
    }
    return;
  }
  answered_.add();
  PendingRequest& pending = found->second;
  context_.scheduler.cancel(std::exchange(pending.timer, 0));
  if (answer.outcome != PlacementOutcome::kPlaced) {
    onRefusal(pending, answer);
    return;
  }
  Route route = routeOf(answer);
  route.chosen_by = sender;
  if (!usable(pending.request, route)) {
    unusable_.add();
    sendProgress(sender, answer.stream_id, AttemptStep::kEnded);
    excludeUnusable(pending, route);
    pending.candidates.push_front(pending.asked);
    tryNextOwner(answer.stream_id);
    return;
  }
  route.build = buildOf(route.engine);
  RemotePlacement placed;
  placed.owner = sender;
  const double uncached = static_cast<double>(pending.request.shape.tokens) -
                          static_cast<double>(route.expected_cached_tokens);
  const bool long_prompt = uncached > long_prompt_tokens_ || route.expected_copied_tokens > 0;
  const bool long_answer = pending.request.maximum_tokens >= long_answer_tokens_;
  placed.reports_first_token = long_answer || (long_prompt && !route.prefill_engine);
  remote_placements_[answer.stream_id] = std::move(placed);
  finish(answer.stream_id, std::move(route));
}

/// Keeps the last refusal, except that engines of the required build in one group outweigh their
/// absence from another.
void PlacementRouter::keepRefusal(PendingRequest& pending, RouteRefusal refusal) {
  if (!pending.refusal || refusal.reason != RouteFailure::kNoEngineOfBuild) {
    pending.refusal = std::move(refusal);
  }
}

void PlacementRouter::onRefusal(PendingRequest& pending, const PlacementAnswer& answer) {
  keepRefusal(pending, refusalOf(answer));
  if (answer.outcome == PlacementOutcome::kOverloaded ||
      answer.outcome == PlacementOutcome::kNoEngineOfBuild) {
    // The group's other owners know the same engines and would refuse as well, so they are not
    // asked.
    std::erase_if(pending.candidates, [&pending](const Candidate& candidate) {
      return candidate.group == pending.asked.group;
    });
  }
  tryNextOwner(answer.stream_id);
}

bool PlacementRouter::known(const engines::EngineEndpoint& engine) const {
  const EngineSlot slot = directory_.table().slotOf(engine.name);
  return slot != kNoEngineSlot &&
         directory_.table().record(slot).declaration.address == engine.address;
}

/// From this node's own table, since owners of earlier builds don't name it.
/// \pre the engine is known
common::BuildName PlacementRouter::buildOf(const engines::EngineEndpoint& engine) const {
  const EngineTable& table = directory_.table();
  return table.record(table.slotOf(engine.name)).declaration.build;
}

bool PlacementRouter::fits(const RouteRequest& request,
                           const engines::EngineEndpoint& engine) const {
  return known(engine) && takesWork(engine) &&
         (!request.build || buildOf(engine) == *request.build);
}

bool PlacementRouter::usable(const RouteRequest& request, const Route& route) const {
  return fits(request, route.engine) &&
         (!route.prefill_engine || fits(request, *route.prefill_engine)) &&
         (!route.prefix_source || known(*route.prefix_source));
}

void PlacementRouter::excludeUnusable(PendingRequest& pending, const Route& route) const {
  RouteRequest& request = pending.request;
  for (const common::EngineName& name : directory_.unavailableByAnnouncement()) {
    request.excluded.push_back(name);
  }
  const bool prefill_fits = !route.prefill_engine || fits(request, *route.prefill_engine);
  if (!prefill_fits) {
    request.excluded.push_back(route.prefill_engine->name);
  }
  if (prefill_fits || !fits(request, route.engine)) {
    request.excluded.push_back(route.engine.name);
  }
  excludeOtherBuilds(pending);
}

/// For owners of earlier builds, which ignore the required software build.
void PlacementRouter::excludeOtherBuilds(PendingRequest& pending) const {
  RouteRequest& request = pending.request;
  if (!request.build) {
    return;
  }
  for (const EngineSlot slot : directory_.groups().enginesOf(pending.asked.group)) {
    const auto& engine = directory_.table().record(slot).declaration;
    const bool excluded = std::find(request.excluded.begin(), request.excluded.end(),
                                    engine.name) != request.excluded.end();
    if (engine.build != *request.build && !excluded) {
      request.excluded.push_back(engine.name);
    }
  }
}

bool PlacementRouter::takesWork(const engines::EngineEndpoint& engine) const {
  const EngineSlot slot = directory_.table().slotOf(engine.name);
  if (slot == kNoEngineSlot) {
    return false;
  }
  if (directory_.groups().routesTo(slot)) {
    return local_.takesWork(engine);
  }
  const EngineTable& table = directory_.table();
  return !table.isLeaving(slot) && table.pausedUntil(slot) <= context_.clock.now();
}

void PlacementRouter::abandonPlacement(const std::string& stream_id) {
  const auto pending = pending_.extract(stream_id);
  if (!pending.empty()) {
    context_.scheduler.cancel(pending.mapped().timer);
  }
  local_.abandonPlacement(stream_id);
}

/// Releases a placement whose answer came too late, unless the stream uses a placement by this
/// owner: then the answer is a duplicate, and the placement must not be released.
void PlacementRouter::releaseUnlessInUse(const common::NodeId& owner,
                                         const std::string& stream_id) {
  const auto placed = remote_placements_.find(stream_id);
  if (placed == remote_placements_.end() || placed->second.owner != owner) {
    sendProgress(owner, stream_id, AttemptStep::kEnded);
  }
}

void PlacementRouter::sendProgress(const common::NodeId& owner, const std::string& stream_id,
                                   AttemptStep step, const OutputSample& output) {
  AttemptProgress progress;
  progress.stream_id = stream_id;
  progress.step = step;
  setSample(progress, output);
  context_.sendTo(owner, progress);
}

void PlacementRouter::promptComputed(const std::string& stream_id) {
  const auto placed = remote_placements_.find(stream_id);
  if (placed == remote_placements_.end()) {
    local_.promptComputed(stream_id);
    return;
  }
  sendProgress(placed->second.owner, stream_id, AttemptStep::kPromptComputed);
}

void PlacementRouter::firstTokenReceived(const std::string& stream_id) {
  const auto placed = remote_placements_.find(stream_id);
  if (placed == remote_placements_.end()) {
    local_.firstTokenReceived(stream_id);
  } else if (placed->second.reports_first_token) {
    sendProgress(placed->second.owner, stream_id, AttemptStep::kFirstToken);
  }
}

void PlacementRouter::outputReceived(const std::string& stream_id, const OutputSample& sample) {
  const auto placed = remote_placements_.find(stream_id);
  if (placed == remote_placements_.end()) {
    local_.outputReceived(stream_id, sample);
    return;
  }
  OutputSample& output = placed->second.output;
  output.tokens += sample.tokens;
  output.duration += sample.duration;
  output.longest_pause = std::max(output.longest_pause, sample.longest_pause);
  if (output.duration >= output_report_interval_) {
    sendProgress(placed->second.owner, stream_id, AttemptStep::kOutput, std::exchange(output, {}));
  }
}

void PlacementRouter::answerCompleted(const std::string& stream_id) {
  const auto placed = remote_placements_.find(stream_id);
  if (placed == remote_placements_.end()) {
    local_.answerCompleted(stream_id);
    return;
  }
  placed->second.completed = true;
}

void PlacementRouter::attemptFinished(const std::string& stream_id) {
  const auto placed = remote_placements_.extract(stream_id);
  if (placed.empty()) {
    local_.attemptFinished(stream_id);
    return;
  }
  sendProgress(placed.mapped().owner, stream_id,
               placed.mapped().completed ? AttemptStep::kCompleted : AttemptStep::kEnded,
               placed.mapped().output);
}

void PlacementRouter::attemptFailed(const std::string& stream_id, const common::EngineName& engine,
                                    engines::StreamFailure failure) {
  const auto placed = remote_placements_.extract(stream_id);
  if (placed.empty()) {
    local_.attemptFailed(stream_id, engine, failure);
    return;
  }
  AttemptProgress progress;
  progress.stream_id = stream_id;
  progress.step = AttemptStep::kFailed;
  progress.engine = engine;
  progress.failure = failure;
  setSample(progress, placed.mapped().output);
  context_.sendTo(placed.mapped().owner, progress);
}

}  // namespace cypresswall::routing
