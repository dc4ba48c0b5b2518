#include "cypresswall/answer_builds/fleet_answer_builds.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::answer_builds {
namespace {

/// When a second build appears, answers that began up to this long ago are recorded at other nodes;
/// older ones have mostly ended.
constexpr common::Duration kRecentAnswers = std::chrono::seconds(30);
/// Number of nodes that tell a new member of the builds that have left the fleet.
constexpr std::size_t kTellingNodes = 2;

common::Counter& originsFound(common::CounterRegistry& registry, const char* source) {
  return registry.counter("cypresswall_answer_builds_origins_total",
                          "Answers taken up, by how their build was found", "source", source);
}

std::string taskName(AnswerKey answer) { return std::to_string(answer); }

}  // namespace

FleetAnswerBuilds::FleetAnswerBuilds(const AnswerBuildSettings& settings,
                                     const api::ProcessContext& context,
                                     membership::MembershipView& membership)
    : settings_(settings),
      context_(context),
      membership_(membership),
      history_(settings.retention),
      records_(settings),
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
      [this](const common::NodeId&, const DepartedBuilds& message) { onDeparted(message); });
  membership.onChange([this] { membersChanged(); });
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
  const auto now = context_.clock.now();
  const auto builds = history_.possible(model, now);
  if (builds.size() <= 1) {
    only_build_.add();
    found({true, builds.empty() ? std::nullopt : std::make_optional(*builds.begin())});
    return;
  }
  if (began_as.empty()) {
    unknown_.add();
    found({});
    return;
  }
  const AnswerKey answer = answerKey(began_as);
  if (const auto build = records_.find(answer, now)) {
    own_record_.add();
    found({true, build});
    return;
  }
  ask(answer, std::move(found));
}

void FleetAnswerBuilds::ask(AnswerKey answer, OriginCallback found) {
  const auto nodes = nodesFor(answer, settings_.asked_nodes);
  const std::uint64_t number = next_number_++;
  Search& search = searches_[number];
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
  (origin.known ? record_of_peer_ : unknown_).add();
  search.mapped().found(origin);
}

void FleetAnswerBuilds::onDeparted(const DepartedBuilds& message) {
  const auto now = context_.clock.now();
  for (const DepartedBuild& departed : message.builds) {
    const common::Duration age = std::chrono::milliseconds(departed.age_milliseconds);
    seen(departed.model, departed.build, now - age);
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
  DepartedBuilds message;
  const auto now = context_.clock.now();
  for (const PastBuild& past : history_.past(now)) {
    message.builds.push_back(
        {past.model, past.build, common::millisecondsOf(now - past.last_seen_at)});
  }
  for (const common::NodeId& node : new_members) {
    told_members_->insert(node);
    const auto chosen = membership::rendezvousNodes(node.toString(), tellers, kTellingNodes);
    if (std::find(chosen.begin(), chosen.end(), context_.self) != chosen.end()) {
      context_.sendTo(node, message);
    }
  }
}

std::vector<common::NodeId> FleetAnswerBuilds::nodesFor(AnswerKey answer, std::size_t count) {
  return membership::rendezvousNodes(taskName(answer), peers(), count);
}

const std::vector<common::NodeId>& FleetAnswerBuilds::peers() {
  if (std::exchange(peers_stale_, false)) {
    peers_.clear();
    for (const membership::Member& member : membership_.members()) {
      const bool alive = member.state == membership::MemberState::kAlive;
      if (alive && member.node != context_.self &&
          membership_.handles(member.node, api::MessageSet::kAnswerBuilds)) {
        peers_.push_back(member.node);
      }
    }
  }
  return peers_;
}

}  // namespace cypresswall::answer_builds
