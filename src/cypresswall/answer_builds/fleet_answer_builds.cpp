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
/// Shorter than the membership remembers silent nodes.
constexpr common::Duration kSilentNodesCheckInterval = std::chrono::seconds(10);

common::Counter& originsFound(common::CounterRegistry& registry, const char* source) {
  return registry.counter("cypresswall_answer_builds_origins_total",
                          "Answers taken up, by how their build was found", "source", source);
}

/// How long a build counts that only the store's object names: the object may be about to be
/// rewritten without it, and is read again when an answer is taken up.
constexpr common::Duration kConfirmedFor = std::chrono::seconds(5);
/// Time after which a search whose nodes have not all replied asks all members, alive or silent, in
/// case that the store does not answer either.
constexpr common::Duration kMajorityAskedAfter = std::chrono::milliseconds(500);
/// Maximum number of members that are asked then; in a zone with more of them it is a sample.
constexpr std::size_t kMajorityNodesAsked = 64;
/// Reasons for which the build of an answer is not known.
constexpr const char* kSeveralBuilds = "several-builds";
constexpr const char* kOutOfStep = "out-of-step";
constexpr const char* kHistoryUnknown = "history-unknown";

std::string storeKey(const api::ProcessContext& context) { return "answer-builds/" + context.zone; }

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
      silent_nodes_(membership),
      history_(settings.retention),
      records_(settings),
      stored_builds_(
          {storeKey(context), settings.store_retry_delay, settings.store_owners}, context,
          membership, store,
          {[this] { return historyNodes(); },
           [this](const std::string& stored) { return newStoredBuilds(stored); },
           [this](const std::string& stored) { onStoredBuilds(stored); }},
          context.counters.counter("cypresswall_answer_builds_store_failures_total",
                                   "Calls to the store for the builds of models that failed")),
      confirmation_(storeKey(context), context, store,
                    [this](const std::string& stored) { onConfirmedBuilds(stored); }),
      recorded_(context.counters.counter("cypresswall_answer_builds_recorded_total",
                                         "Answers of which other nodes were told")),
      only_build_(originsFound(context.counters, "only-build")),
      only_build_by_peers_(originsFound(context.counters, "only-build-by-peers")),
      only_build_by_store_(originsFound(context.counters, "only-build-by-store")),
      only_build_without_store_(originsFound(context.counters, "only-build-without-store")),
      own_record_(originsFound(context.counters, "own-record")),
      record_of_peer_(originsFound(context.counters, "peer")),
      unknown_(originsFound(context.counters, "unknown")),
      out_of_step_(context.counters.counter(
          "cypresswall_answer_builds_out_of_step_total",
          "Answers not taken up, since nobody confirmed the only build that this node knows")) {
  context_.dispatcher.handle<AnswersBegan>(
      [this](const common::NodeId&, const AnswersBegan& message) { onBegan(message); });
  context_.dispatcher.handle<AnswerBuildQuery>(
      [this](const common::NodeId& sender, const AnswerBuildQuery& query) {
        onQuery(sender, query);
      });
  context_.dispatcher.handle<AnswerBuildReply>(
      [this](const common::NodeId& sender, const AnswerBuildReply& reply) {
        onReply(sender, reply);
      });
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
  watchSilentNodes();
}

void FleetAnswerBuilds::watchSilentNodes() {
  context_.scheduler.schedule(kSilentNodesCheckInterval, [this] { watchSilentNodes(); });
  silent_nodes_.update();
}

const std::set<common::NodeId>& FleetAnswerBuilds::silentNodes() {
  silent_nodes_.update();
  return silent_nodes_.nodes();
}

void FleetAnswerBuilds::askForHistory() {
  if (history_known_) {
    return;
  }
  context_.scheduler.schedule(kHistoryCheckInterval, [this] { askForHistory(); });
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

void FleetAnswerBuilds::onConfirmedBuilds(const std::string& stored) {
  try {
    const auto now = context_.clock.now();
    for (const auto& [model, builds] : decodeStoredBuilds(stored).builds) {
      for (const common::BuildName& build : builds) {
        seen(model, build, now - settings_.retention + kConfirmedFor);
      }
    }
  } catch (const StoredBuildsError&) {  // NOLINT(bugprone-empty-catch): logged by the owners
  }
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
  if (request_id.empty()) {
    return;
  }
  const auto now = context_.clock.now();
  const AnswerKey answer = answerKey(request_id);
  records_.add(answer, model, build, true, now);
  if (!mixed_models_.contains(model)) {
    return;
  }
  recorded_.add();
  context_.sendToAll(nodesFor(answer, settings_.copies), AnswersBegan{model, build, {answer}});
}

bool FleetAnswerBuilds::hasSeveralBuilds(const common::ModelName& model) const {
  const auto builds = history_.possible(model, context_.clock.now());
  return builds.size() > 1 || builds.contains(kForgottenBuild);
}

void FleetAnswerBuilds::find(const common::ModelName& model, const std::string& began_as,
                             OriginCallback found) {
  if (hasSeveralBuilds(model)) {
    findRecord(model, began_as, std::move(found));
  } else if (!history_known_) {
    awaitHistory(model, began_as, std::move(found));
  } else if (!findOwnRecord(began_as, found)) {
    confirmOnlyBuild(model, began_as, std::move(found));
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
    reportUnknown(model, found, {});
  } else if (!findOwnRecord(began_as, found)) {
    const AnswerKey answer = answerKey(began_as);
    const auto silent = silentNodesFor(answer);
    decide(ask({.model = model,
                .answer = answer,
                .found = std::move(found),
                .silent_missing = {silent.begin(), silent.end()}}));
  }
}

std::vector<common::NodeId> FleetAnswerBuilds::silentNodesFor(AnswerKey answer) {
  const auto& silent = silentNodes();
  return membership::rendezvousNodes(taskName(answer), {silent.begin(), silent.end()},
                                     settings_.silent_nodes_asked);
}

void FleetAnswerBuilds::confirmOnlyBuild(const common::ModelName& model,
                                         const std::string& began_as, OriginCallback found) {
  const AnswerKey answer = answerKey(began_as);
  const auto silent = silentNodesFor(answer);
  if (peers().empty() && silent.empty()) {
    reportOnlyBuild(model, found, only_build_);
    return;
  }
  const std::uint64_t number = ask({.model = model,
                                    .answer = answer,
                                    .found = std::move(found),
                                    .silent_missing = {silent.begin(), silent.end()},
                                    .confirms_only_build = true});
  Search& search = searches_.at(number);
  search.majority_timer =
      context_.scheduler.schedule(kMajorityAskedAfter, [this, number] { askMajority(number); });
  search.confirmation_timer = context_.scheduler.schedule(
      settings_.confirmation_limit, [this, number] { onConfirmationLimit(number); });
  if (!silent.empty()) {
    askStore(number);
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

void FleetAnswerBuilds::reportOnlyBuild(const common::ModelName& model, const OriginCallback& found,
                                        common::Counter& source) {
  source.add();
  const auto builds = history_.possible(model, context_.clock.now());
  found({true, builds.empty() ? std::nullopt : std::make_optional(*builds.begin())});
}

void FleetAnswerBuilds::reportUnknown(const common::ModelName& model, const OriginCallback& found,
                                      const Search& search) {
  unknown_.add();
  if (history_known_ && !hasSeveralBuilds(model)) {
    out_of_step_.add();
  }
  common::LogEvent(context_.log, common::LogLevel::kInfo, "answer_build_unknown")
      .field("model", model)
      .field("reason", reasonUnknown(model))
      .field("builds", history_.possible(model, context_.clock.now()).size())
      .field("history_known", history_known_)
      .field("asked", asked(search))
      .field("unanswered", search.alive_missing.size())
      .field("silent", search.silent_missing.size())
      .field("store_confirmed", search.store_confirmed);
  found({});
}

const char* FleetAnswerBuilds::reasonUnknown(const common::ModelName& model) const {
  if (!history_known_) {
    return kHistoryUnknown;
  }
  return hasSeveralBuilds(model) ? kSeveralBuilds : kOutOfStep;
}

std::uint64_t FleetAnswerBuilds::ask(Search search) {
  auto nodes = nodesFor(search.answer, settings_.asked_nodes);
  const std::uint64_t number = next_number_++;
  const AnswerBuildQuery query{number, search.answer,
                               search.confirms_only_build ? search.model : common::ModelName{}};
  search.alive_missing.insert(nodes.begin(), nodes.end());
  search.answer_timer = context_.scheduler.schedule(settings_.answer_limit,
                                                    [this, number] { onAnswerLimit(number); });
  nodes.insert(nodes.end(), search.silent_missing.begin(), search.silent_missing.end());
  searches_.emplace(number, std::move(search));
  context_.sendToAll(nodes, query);
  return number;
}

void FleetAnswerBuilds::onAnswerLimit(std::uint64_t number) {
  Search& search = searches_.at(number);
  search.answer_timer = 0;
  search.answer_limit_passed = true;
  decide(number);
  const auto open = searches_.find(number);
  if (open != searches_.end() && open->second.confirms_only_build && !open->second.store_asked) {
    askStore(number);
  }
}

void FleetAnswerBuilds::askMajority(std::uint64_t number) {
  Search& search = searches_.at(number);
  search.majority_timer = 0;
  const auto& silent = silentNodes();
  std::vector<common::NodeId> nodes = peers();
  nodes.insert(nodes.end(), silent.begin(), silent.end());
  nodes =
      membership::rendezvousNodes(taskName(search.answer), std::move(nodes), kMajorityNodesAsked);
  std::erase_if(nodes, [&](const common::NodeId& node) { return search.replied.contains(node); });
  for (const common::NodeId& node : nodes) {
    (silent.contains(node) ? search.silent_missing : search.alive_missing).insert(node);
  }
  context_.sendToAll(nodes, AnswerBuildQuery{number, search.answer, search.model});
}

void FleetAnswerBuilds::onConfirmationLimit(std::uint64_t number) {
  searches_.at(number).confirmation_timer = 0;
  decide(number);
  const auto search = searches_.find(number);
  if (search == searches_.end()) {
    return;
  }
  if (!hasSeveralBuilds(search->second.model) && mostNodesReplied(search->second)) {
    finishOnlyBuild(number, only_build_without_store_);
  } else {
    finishUnknown(number);
  }
}

void FleetAnswerBuilds::askStore(std::uint64_t number) {
  searches_.at(number).store_asked = true;
  const auto members = static_cast<std::int64_t>(membership_.members().size());
  confirmation_.request(settings_.confirmation_interval_per_node * members,
                        [this, number](bool confirmed) { onConfirmation(number, confirmed); });
}

void FleetAnswerBuilds::onConfirmation(std::uint64_t number, bool confirmed) {
  const auto search = searches_.find(number);
  if (search == searches_.end()) {
    return;
  }
  search->second.store_confirmed = confirmed;
  decide(number);
  if (!confirmed && searches_.contains(number)) {
    context_.scheduler.schedule(settings_.confirmation_retry_delay, [this, number] {
      if (searches_.contains(number)) {
        askStore(number);
      }
    });
  }
}

void FleetAnswerBuilds::decide(std::uint64_t number) {
  Search& search = searches_.at(number);
  const auto recorded = records_.find(search.answer, context_.clock.now());
  if (recorded) {
    finishKnown(number, *recorded, own_record_);
    return;
  }
  updateMissing(search);
  if (!search.confirms_only_build || hasSeveralBuilds(search.model)) {
    decideAmongSeveral(number, search);
    return;
  }
  const bool alive_replied = search.alive_missing.empty();
  if (alive_replied && search.silent_missing.empty()) {
    finishOnlyBuild(number, only_build_by_peers_);
  } else if (search.store_confirmed && (alive_replied || search.answer_limit_passed)) {
    finishOnlyBuild(number, only_build_by_store_);
  }
}

void FleetAnswerBuilds::decideAmongSeveral(std::uint64_t number, const Search& search) {
  if ((search.alive_missing.empty() && search.silent_missing.empty()) ||
      search.answer_limit_passed) {
    finishUnknown(number);
  }
}

void FleetAnswerBuilds::updateMissing(Search& search) {
  if (search.alive_missing.empty()) {
    return;
  }
  for (const common::NodeId& node : silentNodes()) {
    if (search.alive_missing.erase(node) != 0) {
      search.silent_missing.insert(node);
    }
  }
}

std::size_t FleetAnswerBuilds::asked(const Search& search) {
  return search.replied.size() + search.alive_missing.size() + search.silent_missing.size();
}

/// Members that don't reply count, whether their silence has been noticed or not: a minority can't
/// rule out that the others know of another build.
bool FleetAnswerBuilds::mostNodesReplied(const Search& search) {
  return 2 * (search.replied.size() + 1) > asked(search) + 1;
}

void FleetAnswerBuilds::onBegan(const AnswersBegan& message) {
  const auto now = context_.clock.now();
  for (const AnswerKey answer : message.answers) {
    records_.add(answer, message.model, message.build, false, now);
  }
  seen(message.model, message.build, now);
}

void FleetAnswerBuilds::onQuery(const common::NodeId& sender, const AnswerBuildQuery& query) {
  const auto now = context_.clock.now();
  const auto build = records_.find(query.answer, now);
  if (!build && !query.model.empty() && !history_known_) {
    // This node has just started: that it knows of no other build says nothing.
    return;
  }
  AnswerBuildReply reply{query.number, build.has_value(), build.value_or(""), {}};
  if (!query.model.empty()) {
    reply.builds = seenBuilds(query.model);
  }
  context_.sendTo(sender, reply);
}

std::vector<SeenBuild> FleetAnswerBuilds::seenBuilds(const common::ModelName& model) const {
  const auto now = context_.clock.now();
  std::vector<SeenBuild> builds;
  for (const common::BuildName& build : history_.possible(model, now)) {
    const common::ModelName known_as = build == kForgottenBuild ? kAnyModel : model;
    const auto age = now - history_.lastSeen(known_as, build, now);
    builds.push_back({known_as, build, common::millisecondsOf(age)});
  }
  return builds;
}

void FleetAnswerBuilds::onReply(const common::NodeId& sender, const AnswerBuildReply& reply) {
  const auto found = searches_.find(reply.number);
  if (found == searches_.end()) {
    return;
  }
  if (reply.known) {
    finishKnown(reply.number, reply.build, record_of_peer_);
    return;
  }
  const bool missing = found->second.alive_missing.erase(sender) != 0 ||
                       found->second.silent_missing.erase(sender) != 0;
  if (missing) {
    found->second.replied.insert(sender);
  }
  if (found->second.confirms_only_build) {
    addSeen(reply.builds);
  }
  decide(reply.number);
}

FleetAnswerBuilds::Search FleetAnswerBuilds::extract(std::uint64_t number) {
  auto search = searches_.extract(number);
  context_.scheduler.cancel(search.mapped().answer_timer);
  context_.scheduler.cancel(search.mapped().majority_timer);
  context_.scheduler.cancel(search.mapped().confirmation_timer);
  return std::move(search.mapped());
}

void FleetAnswerBuilds::finishKnown(std::uint64_t number, const common::BuildName& build,
                                    common::Counter& source) {
  const Search search = extract(number);
  source.add();
  search.found({true, build});
}

void FleetAnswerBuilds::finishOnlyBuild(std::uint64_t number, common::Counter& source) {
  const Search search = extract(number);
  reportOnlyBuild(search.model, search.found, source);
}

void FleetAnswerBuilds::finishUnknown(std::uint64_t number) {
  const Search search = extract(number);
  reportUnknown(search.model, search.found, search);
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
