#include "cypresswall/node/node_state.h"

#include <iomanip>
#include <map>
#include <sstream>
#include <utility>

namespace cypresswall::node {
namespace {

const char* toString(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return "alive";
    case membership::MemberState::kSuspect:
      return "suspect";
    case membership::MemberState::kLeaving:
      return "leaving";
    case membership::MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

std::string number(double value) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << value;
  return text.str();
}

std::string describeDemand(const planning::DemandRate& rate) {
  return number(rate.requests_per_second) + " requests/s, " +
         number(rate.prefill_tokens_per_second) + " prompt tokens/s, " +
         number(rate.decode_tokens_per_second) + " output tokens/s";
}

std::string describeAlternative(const planning::PlanAlternative& alternative) {
  return alternative.engine + " from " + engines::toString(alternative.from) + " to " +
         engines::toString(alternative.to) + ": " + number(alternative.benefit) +
         " answers in time gained";
}

std::string describeChange(const orders::ChangeRecord& record) {
  return "to " + std::string(engines::toString(record.change.content.role)) + ", " +
         orders::toString(record.outcome) + ", epoch " + record.epoch.toString() + ", because " +
         record.change.reason;
}

std::string milliseconds(common::Duration duration) {
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return number(static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond) + " ms";
}

std::string describeAttempt(const execution::AttemptRecord& attempt) {
  std::string text = "on " + attempt.target;
  if (!attempt.prefill_target.empty()) {
    text += ", prompt on " + attempt.prefill_target;
  }
  if (attempt.expected_first_token.count() > 0) {
    text += ", first token expected in " + milliseconds(attempt.expected_first_token) + ", then " +
            milliseconds(attempt.expected_between_tokens) + " each, " +
            std::to_string(attempt.expected_cached_tokens) + " cached tokens";
  }
  if (attempt.resume_from > 0) {
    text += ", from token " + std::to_string(attempt.resume_from);
  }
  return text + ": " + (attempt.result.empty() ? "running" : attempt.result);
}

std::vector<operators::Explanation> describeRequest(const execution::RequestRecord& record) {
  std::vector<operators::Explanation> lines;
  lines.push_back({"service", record.service});
  lines.push_back({"tenant", record.tenant});
  lines.push_back({"state", record.state});
  if (record.prompt_tokens > 0) {
    lines.push_back({"tokens", std::to_string(record.prompt_tokens) + " in the prompt, " +
                                   std::to_string(record.tokens_given) + " given, at most " +
                                   std::to_string(record.maximum_tokens)});
  }
  for (const execution::AttemptRecord& attempt : record.attempts) {
    lines.push_back({"attempt", describeAttempt(attempt)});
  }
  return lines;
}

}  // namespace

std::vector<operators::EngineRow> NodeState::engines() const {
  std::vector<operators::EngineRow> rows;
  const auto now = sources_.clock.now();
  std::map<common::EngineName, engine_speed::EngineSpeedView> speeds;
  for (auto& view : sources_.router.engineSpeedView()) {
    speeds[view.engine] = std::move(view);
  }
  for (const routing::EngineRecord& record : sources_.engines.records()) {
    operators::EngineRow row;
    row.name = record.declaration.name;
    row.state = record.load.state;
    row.seen = record.reported;
    row.role = record.reported ? record.load.role : record.declaration.initial_role;
    row.model = record.reported ? record.load.model : record.declaration.model;
    row.version = record.load.version;
    row.running_streams = record.load.running_streams;
    row.waiting_streams = record.load.waiting_streams;
    row.maximum_streams = record.load.maximum_streams;
    if (const auto speed = speeds.find(row.name); speed != speeds.end()) {
      row.token_gap = common::fromSeconds(speed->second.expected_step);
      row.slowness = speed->second.factor * speed->second.spell;
    }
    row.cache_pieces_used = record.load.cache_pieces_used;
    row.cache_pieces_total = record.load.cache_pieces_total;
    row.age = record.reported ? now - record.observed_at : common::Duration(0);
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<operators::RequestRow> NodeState::requests() const {
  std::vector<operators::RequestRow> rows;
  addRequests(sources_.model_requests, rows);
  addRequests(sources_.service_requests, rows);
  return rows;
}

void NodeState::addRequests(const execution::RequestJournal& journal,
                            std::vector<operators::RequestRow>& rows) const {
  const auto now = sources_.clock.now();
  for (const auto& record : journal.running()) {
    operators::RequestRow row;
    row.id = record->request_id;
    row.tenant = record->tenant;
    row.service = record->service;
    row.engine = record->attempts.empty() ? "" : record->attempts.back().target;
    row.state = record->state;
    row.tokens = record->tokens_given;
    row.age = now - record->started;
    rows.push_back(std::move(row));
  }
}

std::vector<operators::Explanation> NodeState::explainRequest(const std::string& id) const {
  for (const auto* journal : {&sources_.model_requests, &sources_.service_requests}) {
    const auto record = journal->find(id);
    if (record) {
      return describeRequest(*record);
    }
  }
  return {};
}

std::vector<operators::LeaseRow> NodeState::leases() const {
  operators::LeaseRow row;
  row.zone = sources_.membership.zone();
  const auto epoch = sources_.authority.heldEpoch();
  row.held_here = epoch.has_value();
  const common::NodeId holder = sources_.authority.believedHolder();
  row.holder = holder.address;
  row.epoch = epoch.value_or(sources_.authority.highestEpoch()).toString();
  return {row};
}

std::vector<operators::NodeRow> NodeState::nodes() const {
  std::vector<operators::NodeRow> rows;
  for (const membership::Member& member : sources_.membership.members()) {
    operators::NodeRow row;
    row.address = member.node.address;
    row.machine = member.machine;
    row.state = toString(member.state);
    row.gateway_address = member.gateway_address;
    row.configuration_version =
        member.node == sources_.membership.self()
            ? sources_.configuration.current()->version
            : sources_.membership
                  .digest(member.node, membership::DigestTopic::kConfigurationVersion)
                  .value_or(0);
    constexpr auto kUnreported = static_cast<std::uint64_t>(api::MessageSet::kFirst);
    row.message_set = sources_.membership.digest(member.node, membership::DigestTopic::kMessageSet)
                          .value_or(kUnreported);
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<operators::RetryRow> NodeState::retries() const {
  std::vector<operators::RetryRow> rows;
  for (const auto& [service, budget] : sources_.retries.all()) {
    operators::RetryRow row;
    row.service = service;
    row.used = budget->used();
    row.left = budget->left();
    row.refused = budget->totalRefused();
    row.share = sources_.local_share.fraction();
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<operators::QuarantineRow> NodeState::quarantine() const {
  std::vector<operators::QuarantineRow> rows;
  for (const quarantine::QuarantinedRequest& kept : sources_.quarantine.all()) {
    rows.push_back({kept.request, std::chrono::milliseconds(kept.milliseconds_left)});
  }
  return rows;
}

std::vector<operators::RateLimitRow> NodeState::limits() const {
  std::vector<operators::RateLimitRow> rows;
  for (const fleet_limits::RateLimitRow& limit : sources_.rate_limits.rows()) {
    rows.push_back({limit.server, limit.requests_per_second, limit.age, limit.keeper.address,
                    limit.counts.granted, limit.counts.refused});
  }
  return rows;
}

std::vector<operators::TenantShareRow> NodeState::tenantShares() const {
  std::vector<operators::TenantShareRow> rows;
  for (const admission::TenantShareRow& row : sources_.fair_shares.rows()) {
    rows.push_back({row.tenant, row.asked, row.admitted, row.refused, row.share});
  }
  return rows;
}

std::vector<operators::UsageRow> NodeState::usage() const {
  std::vector<operators::UsageRow> rows;
  for (const duties::ReportedWindow& window : sources_.duties.reporter().windows()) {
    operators::UsageRow row;
    row.window = window.window;
    row.requests = window.requests;
    row.tenants = window.tenants;
    row.state = window.token == 0 ? "fixed" : "reported";
    row.token = window.token;
    row.nodes_missing = window.nodes_missing;
    row.age = sources_.clock.now() - window.at;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<operators::CapacityRow> NodeState::capacity() const {
  std::vector<operators::CapacityRow> rows;
  for (const autoscaling::PoolState& pool : sources_.autoscaling.pools()) {
    for (const auto& [location, wanted] : pool.wanted) {
      const auto present = pool.present.find(location);
      operators::CapacityRow row;
      row.pool = pool.pool;
      row.location = location;
      row.lasting = present == pool.present.end() ? 0 : present->second.lasting;
      row.preemptible = present == pool.present.end() ? 0 : present->second.preemptible;
      row.wanted_lasting = wanted.lasting;
      row.wanted_preemptible = wanted.preemptible;
      row.token = pool.token;
      row.reason = pool.reason;
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

std::vector<operators::Explanation> NodeState::explainEngine(const common::EngineName& name) const {
  std::vector<operators::Explanation> lines;
  explainView(name, lines);
  explainLimit(name, lines);
  if (sources_.controller.activeEpoch()) {
    explainChanges(name, lines);
    explainPlan(name, lines);
  } else {
    lines.push_back({"decided by", "the zone's lease holder, node " +
                                       sources_.authority.believedHolder().address +
                                       "; ask there for the planner's inputs"});
  }
  return lines;
}

void NodeState::explainView(const common::EngineName& name,
                            std::vector<operators::Explanation>& lines) const {
  const routing::EngineRecord* record = sources_.engines.find(name);
  if (record == nullptr) {
    lines.push_back({"engine", "not of this node's zone"});
    return;
  }
  lines.push_back({"availability", routing::toString(record->availability)});
  lines.push_back({"role", engines::toString(record->load.role)});
  if (!record->watched_here) {
    lines.push_back({"fence", "known to the node that watches the engine"});
    return;
  }
  lines.push_back({"fence", record->load.highest_epoch.toString() + ", last order " +
                                std::to_string(record->load.last_sequence)});
}

void NodeState::explainLimit(const common::EngineName& name,
                             std::vector<operators::Explanation>& lines) const {
  for (const fleet_limits::RateLimitRow& limit : sources_.rate_limits.rows()) {
    if (limit.server == name) {
      lines.push_back({"limit", number(limit.requests_per_second) + " requests/s, named " +
                                    milliseconds(limit.age) + " ago, permits of node " +
                                    limit.keeper.address});
    }
  }
}

void NodeState::explainChanges(const common::EngineName& name,
                               std::vector<operators::Explanation>& lines) const {
  for (const orders::ChangeRecord& record : sources_.controller.changes()) {
    if (record.engine == name) {
      lines.push_back({"change", describeChange(record)});
    }
  }
}

void NodeState::explainPlan(const common::EngineName& name,
                            std::vector<operators::Explanation>& lines) const {
  const auto configuration = sources_.configuration.current();
  const auto engine = configuration->engines.find(name);
  if (engine == configuration->engines.end()) {
    return;
  }
  for (const planning::ModelExplanation& plan : sources_.controller.explanations()) {
    if (plan.model != engine->second.model) {
      continue;
    }
    lines.push_back({"demand, short window", describeDemand(plan.demand.short_window)});
    lines.push_back({"demand, long window", describeDemand(plan.demand.long_window)});
    lines.push_back({"utilisation", number(plan.utilisation_short) + " short, " +
                                        number(plan.utilisation_long) + " long"});
    lines.push_back({"lost without a change", number(plan.lost_without_change) + " answers"});
    lines.push_back({"a change must gain", number(plan.required_benefit) + " answers"});
    for (const planning::PlanAlternative& alternative : plan.alternatives) {
      lines.push_back({"alternative", describeAlternative(alternative)});
    }
    lines.push_back({"conclusion", plan.conclusion});
  }
}

}  // namespace cypresswall::node
