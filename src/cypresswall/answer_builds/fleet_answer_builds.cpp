#include "cypresswall/answer_builds/fleet_answer_builds.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cypresswall/membership/alive_nodes.h"
#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::answer_builds {
namespace {

/// When a second build appears, answers that began up to this long ago are recorded at other nodes;
/// older ones have mostly ended.
constexpr common::Duration kRecentAnswers = std::chrono::seconds(30);
/// Number of nodes that tell a new member of the builds that have left the fleet.
constexpr std::size_t kTellingNodes = 2;
/// Interval at which a node that does not know the earlier builds checks whom it can ask.
constexpr common::Duration kHistoryCheckInterval = std::chrono::milliseconds(100);

common::Counter& originsFound(common::CounterRegistry& registry, const char* source) {
  return registry.counter("cypresswall_answer_builds_origins_total",
                          "Answers taken up, by how their build was found", "source", source);
}

std::string taskName(AnswerKey answer) { return std::to_string(answer); }

}  // namespace

FleetAnswerBuilds::FleetAnswerBuilds(const AnswerBuildSettings& settings,
                                     const api::ProcessContext& context,
                                     membership::MembershipView& membership,
                                     object_store::ObjectStore& store)
    : settings_(settings),
      context_(context),
      membership_(membership),
      store_(store),
      history_(settings.retention),
      records_(settings),
      stored_builds_(
          {"answer-builds/" + context.zone, settings.store_retry_delay, settings.store_owners},
          context, membership, store,
          {[this] { return historyNodes(); },
           [this](const std::string& stored) { return newStoredBuilds(stored); },
           [this](const std::string& stored) { onStoredBuilds(stored); }},
          context.counters.counter("cypresswall_answer_builds_store_failures_total",
                                   "Calls to the store for the builds of models that failed")),
      recorded_(context.counters.counter("cypresswall_answer_builds_recorded_total",
                                         "Answers of which other nodes were told")),
      only_build_(originsFound(context.counters, "only-build")),
      own_record_(originsFound(context.counters, "own-record")),
      record_of_peer_(originsFound(context.counters, "peer")),
      unknown_(originsFound(context.counters, "unknown")) {
  context_.dispatcher.handle<AnswersBegan>(
      [this](const common::NodeId&, const AnswersBegan& message) { onBegan(message); });
  context_.dispatcher.handle<AnswerBuildQuery>(
      [this](const common::NodeId& sender, const AnswerBuildQuery& query) {
        onQuery(sender, query);
      });
  context_.dispatcher.handle<AnswerBuildReply>(
      [this](const common::NodeId&, const AnswerBuildReply& reply) { onReply(reply); });
  context_.dispatcher.handle<DepartedBuilds>(
      [this](const common::NodeId&, const DepartedBuilds& message) { addSeen(message.builds); });
  context_.dispatcher.handle<BuildHistoryQuery>(
      [this](const common::NodeId& sender, const BuildHistoryQuery&) { onHistoryQuery(sender); });
  context_.dispatcher.handle<BuildHistoryReply>(
      [this](const common::NodeId&, const BuildHistoryReply& reply) { onHistory(reply); });
  membership.onChange([this] { membersChanged(); });
}

void FleetAnswerBuilds::start() {
  stored_builds_.start();
  askForHistory();
}

void FleetAnswerBuilds::askForHistory() {
  if (history_known_) {
    return;
  }
  const auto now = context_.clock.now();
  if (now >= next_history_query_at_ && !membership_.joining()) {
    auto nodes = historyNodes();
    std::erase(nodes, context_.self);
    const auto chosen = membership::rendezvousNodes(
        context_.self.toString() + "/" + std::to_string(history_queries_), nodes,
        settings_.nodes_asked_for_history);
    if (!chosen.empty()) {
      ++history_queries_;
      next_history_query_at_ = now + settings_.history_interval;
      context_.sendToAll(chosen, BuildHistoryQuery{});
    }
  }
  context_.scheduler.schedule(kHistoryCheckInterval, [this] { askForHistory(); });
}

void FleetAnswerBuilds::onHistoryQuery(const common::NodeId& sender) {
  if (history_known_) {
    sendHistory(sender);
  } else {
    asking_nodes_.insert(sender);
  }
}

void FleetAnswerBuilds::sendHistory(const common::NodeId& node) {
  const auto now = context_.clock.now();
  BuildHistoryReply reply;
  for (const auto& [model, builds] : history_.possible(now)) {
    for (const common::BuildName& build : builds) {
      const auto age = now - history_.lastSeen(model, build, now);
      reply.builds.push_back({model, build, common::millisecondsOf(age)});
    }
  }
  context_.sendTo(node, reply);
}

void FleetAnswerBuilds::onHistory(const BuildHistoryReply& reply) {
  addSeen(reply.builds);
  historyKnown("peer");
}

void FleetAnswerBuilds::onStoredBuilds(const std::string& stored) {
  try {
    addStored(decodeStoredBuilds(stored));
  } catch (const StoredBuildsError& error) {
    common::LogEvent(context_.log, common::LogLevel::kWarning, "stored_builds_unreadable")
        .field("zone", context_.zone)
        .field("reason", error.what());
  }
  historyKnown("store");
}

/// When the builds in the store were last seen is not known: each of them may have left just now.
void FleetAnswerBuilds::addStored(const StoredBuilds& stored) {
  const auto now = context_.clock.now();
  bool learnt = false;
  for (const auto& [model, builds] : stored.builds) {
    const auto possible = history_.possible(model, now);
    for (const common::BuildName& build : builds) {
      if (!possible.contains(build)) {
        seen(model, build, now);
        learnt = true;
      }
    }
  }
  const bool outdated = stored.store_incarnation != store_.incarnation();
  if (!history_known_ && !stored.builds.empty() && outdated) {
    addForgotten(stored);
  }
  if (learnt && history_known_) {
    context_.sendToAll(peers(), departedBuilds());
  }
}

void FleetAnswerBuilds::addForgotten(const StoredBuilds& stored) {
  common::LogEvent(context_.log, common::LogLevel::kWarning, "stored_builds_outdated")
      .field("zone", context_.zone)
      .field("written_in", stored.store_incarnation)
      .field("store_incarnation", store_.incarnation());
  seen(kAnyModel, kForgottenBuild, context_.clock.now());
}

void FleetAnswerBuilds::historyKnown(const char* source) {
  if (std::exchange(history_known_, true)) {
    return;
  }
  common::LogEvent(context_.log, common::LogLevel::kInfo, "build_history_known")
      .field("source", source)
      .field("models", history_.possible(context_.clock.now()).size())
      .field("mixed", mixed_models_.size());
  for (const common::NodeId& node : std::exchange(asking_nodes_, {})) {
    sendHistory(node);
  }
  for (auto& [number, search] : std::exchange(waiting_searches_, {})) {
    context_.scheduler.cancel(search.timer);
    find(search.model, search.began_as, std::move(search.found));
  }
}

std::optional<std::string> FleetAnswerBuilds::newStoredBuilds(const std::string& stored) const {
  const StoredBuilds builds{history_.possible(context_.clock.now()), store_.incarnation()};
  try {
    const StoredBuilds held = decodeStoredBuilds(stored);
    if (held == builds || (held.builds.empty() && builds.builds.empty())) {
      return std::nullopt;
    }
  } catch (const StoredBuildsError&) {  // NOLINT(bugprone-empty-catch): replaced
  }
  return encodeStoredBuilds(builds, stored);
}

std::vector<common::NodeId> FleetAnswerBuilds::historyNodes() const {
  return membership::aliveNodes(membership_, api::MessageSet::kBuildHistory);
}

void FleetAnswerBuilds::enginesChanged(BuildsByModel present) {
  history_.setPresent(std::move(present), context_.clock.now());
  historyChanged();
}

void FleetAnswerBuilds::seen(const common::ModelName& model, const common::BuildName& build,
                             common::MonotonicTime seen_at) {
  const bool known = history_.possible(model, context_.clock.now()).contains(build);
  history_.addSeen(model, build, seen_at);
  if (!known) {
    historyChanged();
  }
}

void FleetAnswerBuilds::historyChanged() {
  const auto now = context_.clock.now();
  const auto before = std::exchange(mixed_models_, history_.mixedModels(now));
  for (const common::ModelName& model : mixed_models_) {
    if (!before.contains(model)) {
      common::LogEvent(context_.log, common::LogLevel::kInfo, "model_has_several_builds")
          .field("model", model)
          .field("builds", history_.possible(model, now).size());
      sendRecords(model);
    }
  }
  if (auto possible = history_.possible(now); possible != possible_builds_) {
    possible_builds_ = std::move(possible);
    stored_builds_.valueChanged();
  }
  const auto expiry = history_.nextExpiry(now);
  if (!expiry) {
    told_members_.reset();
    return;
  }
  if (!told_members_) {
    // The present members have seen the builds themselves.
    told_members_.emplace(peers().begin(), peers().end());
  }
  context_.scheduler.cancel(expiry_timer_);
  expiry_timer_ = context_.scheduler.schedule(*expiry - now, [this] {
    expiry_timer_ = 0;
    historyChanged();
  });
}

void FleetAnswerBuilds::sendRecords(const common::ModelName& model) {
  const auto since = context_.clock.now() - kRecentAnswers;
  for (const auto& [build, answers] : records_.ownSince(model, since)) {
    std::map<common::NodeId, std::vector<AnswerKey>> by_node;
    for (const AnswerKey answer : answers) {
      for (const common::NodeId& node : nodesFor(answer, settings_.copies)) {
        by_node[node].push_back(answer);
      }
    }
    for (const auto& [node, keys] : by_node) {
      context_.sendTo(node, AnswersBegan{model, build, keys});
    }
  }
}

void FleetAnswerBuilds::began(const common::ModelName& model, const std::string& request_id,
                              const common::BuildName& build) {
  const auto now = context_.clock.now();
  const AnswerKey answer = answerKey(request_id);
  records_.add(answer, model, build, true, now);
  if (!mixed_models_.contains(model)) {
    return;
  }
  recorded_.add();
  context_.sendToAll(nodesFor(answer, settings_.copies), AnswersBegan{model, build, {answer}});
}

void FleetAnswerBuilds::find(const common::ModelName& model, const std::string& began_as,
                             OriginCallback found) {
  const auto builds = history_.possible(model, context_.clock.now());
  if (builds.size() > 1 || builds.contains(kForgottenBuild)) {
    findRecord(model, began_as, std::move(found));
  } else if (!history_known_) {
    awaitHistory(model, began_as, std::move(found));
  } else {
    only_build_.add();
    found({true, builds.empty() ? std::nullopt : std::make_optional(*builds.begin())});
  }
}

void FleetAnswerBuilds::awaitHistory(const common::ModelName& model, const std::string& began_as,
                                     OriginCallback found) {
  if (findOwnRecord(began_as, found)) {
    return;
  }
  const std::uint64_t number = next_number_++;
  const auto timer = context_.scheduler.schedule(settings_.history_limit, [this, number] {
    auto search = waiting_searches_.extract(number);
    findRecord(search.mapped().model, search.mapped().began_as, std::move(search.mapped().found));
  });
  waiting_searches_.emplace(number, WaitingSearch{model, began_as, std::move(found), timer});
}

void FleetAnswerBuilds::findRecord(const common::ModelName& model, const std::string& began_as,
                                   OriginCallback found) {
  if (began_as.empty()) {
    reportUnknown(model, found);
  } else if (!findOwnRecord(began_as, found)) {
    ask(model, answerKey(began_as), std::move(found));
  }
}

bool FleetAnswerBuilds::findOwnRecord(const std::string& began_as, const OriginCallback& found) {
  const auto build = records_.find(answerKey(began_as), context_.clock.now());
  if (began_as.empty() || !build) {
    return false;
  }
  own_record_.add();
  found({true, build});
  return true;
}

void FleetAnswerBuilds::reportUnknown(const common::ModelName& model, const OriginCallback& found) {
  unknown_.add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "answer_build_unknown")
      .field("model", model)
      .field("builds", history_.possible(model, context_.clock.now()).size())
      .field("history_known", history_known_);
  found({});
}

void FleetAnswerBuilds::ask(const common::ModelName& model, AnswerKey answer,
                            OriginCallback found) {
  const auto nodes = nodesFor(answer, settings_.asked_nodes);
  const std::uint64_t number = next_number_++;
  Search& search = searches_[number];
  search.model = model;
  search.found = std::move(found);
  search.replies_missing = nodes.size();
  if (nodes.empty()) {
    finish(number, {});
    return;
  }
  search.timer = context_.scheduler.schedule(settings_.answer_limit, [this, number] {
    searches_.at(number).timer = 0;
    finish(number, {});
  });
  context_.sendToAll(nodes, AnswerBuildQuery{number, answer});
}

void FleetAnswerBuilds::onBegan(const AnswersBegan& message) {
  const auto now = context_.clock.now();
  for (const AnswerKey answer : message.answers) {
    records_.add(answer, message.model, message.build, false, now);
  }
  seen(message.model, message.build, now);
}

void FleetAnswerBuilds::onQuery(const common::NodeId& sender, const AnswerBuildQuery& query) {
  const auto build = records_.find(query.answer, context_.clock.now());
  context_.sendTo(sender, AnswerBuildReply{query.number, build.has_value(), build.value_or("")});
}

void FleetAnswerBuilds::onReply(const AnswerBuildReply& reply) {
  const auto search = searches_.find(reply.number);
  if (search == searches_.end()) {
    return;
  }
  if (reply.known) {
    finish(reply.number, {true, reply.build});
  } else if (--search->second.replies_missing == 0) {
    finish(reply.number, {});
  }
}

void FleetAnswerBuilds::finish(std::uint64_t number, const AnswerOrigin& origin) {
  const auto search = searches_.extract(number);
  context_.scheduler.cancel(search.mapped().timer);
  if (!origin.known) {
    reportUnknown(search.mapped().model, search.mapped().found);
    return;
  }
  record_of_peer_.add();
  search.mapped().found(origin);
}

void FleetAnswerBuilds::addSeen(const std::vector<SeenBuild>& builds) {
  const auto now = context_.clock.now();
  for (const SeenBuild& build : builds) {
    const common::Duration age = std::chrono::milliseconds(build.age_milliseconds);
    seen(build.model, build.build, now - age);
  }
}

void FleetAnswerBuilds::membersChanged() {
  peers_stale_ = true;
  if (told_members_) {
    tellNewMembers();
  }
}

void FleetAnswerBuilds::tellNewMembers() {
  std::vector<common::NodeId> tellers = {context_.self};
  std::vector<common::NodeId> new_members;
  for (const common::NodeId& node : peers()) {
    (told_members_->contains(node) ? tellers : new_members).push_back(node);
  }
  const DepartedBuilds message = departedBuilds();
  for (const common::NodeId& node : new_members) {
    told_members_->insert(node);
    if (membership_.handles(node, api::MessageSet::kBuildHistory)) {
      continue;
    }
    const auto chosen = membership::rendezvousNodes(node.toString(), tellers, kTellingNodes);
    if (std::find(chosen.begin(), chosen.end(), context_.self) != chosen.end()) {
      context_.sendTo(node, message);
    }
  }
}

DepartedBuilds FleetAnswerBuilds::departedBuilds() const {
  DepartedBuilds message;
  const auto now = context_.clock.now();
  for (const PastBuild& past : history_.past(now)) {
    message.builds.push_back(
        {past.model, past.build, common::millisecondsOf(now - past.last_seen_at)});
  }
  return message;
}

std::vector<common::NodeId> FleetAnswerBuilds::nodesFor(AnswerKey answer, std::size_t count) {
  return membership::rendezvousNodes(taskName(answer), peers(), count);
}

const std::vector<common::NodeId>& FleetAnswerBuilds::peers() {
  if (std::exchange(peers_stale_, false)) {
    peers_ = membership::aliveNodes(membership_, api::MessageSet::kAnswerBuilds);
    std::erase(peers_, context_.self);
  }
  return peers_;
}

}  // namespace cypresswall::answer_builds
