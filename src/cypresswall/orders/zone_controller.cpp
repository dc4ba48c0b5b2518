#include "cypresswall/orders/zone_controller.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cypresswall/common/at_scope_end.h"
#include "cypresswall/orders/desired_state.h"
#include "cypresswall/orders/planning_input.h"
#include "cypresswall/planning/role_planner.h"

namespace cypresswall::orders {
namespace {

/// Maximum number of ended changes that are kept to be shown to operators.
constexpr std::size_t kRememberedChanges = 256;
/// Weight of the newest change in the moving average of the duration of changes of role.
constexpr double kUnavailableTimeWeight = 0.3;

}  // namespace

ZoneController::ZoneController(const ControllerSettings& settings,
                               const api::ProcessContext& context, lease::AuthorityView& authority,
                               routing::EngineDirectory& directory, engines::EngineClient& client,
                               configuration::ConfigurationView& configuration,
                               membership::MembershipView& membership,
                               std::unique_ptr<planning::Planner> planner)
    : settings_(settings),
      context_(context),
      authority_(authority),
      directory_(directory),
      client_(client),
      configuration_(configuration),
      membership_(membership),
      planner_(std::move(planner)),
      follower_(settings.drain, context, directory),
      drains_(settings.drain, context, membership, directory.groups(), follower_),
      epochs_(context.counters.counter("cypresswall_controller_epochs_total",
                                       "Epochs under which this node acted")),
      demand_dropped_(context.counters.counter("cypresswall_demand_reports_dropped_total",
                                               "Demand reports without a known holder")) {
  if (!planner_) {
    planner_ = std::make_unique<planning::RolePlanner>(planning::RolePlannerSettings{});
  }
  context_.dispatcher.handle<DemandReport>(
      [this](const common::NodeId&, const DemandReport& report) {
        if (!demand_) {
          demand_dropped_.add();
          return;
        }
        for (const auto& [model, count] : report.counts) {
          demand_->add(model, count, context_.clock.now());
        }
      });
  authority_.onChange([this](std::optional<common::Epoch>) { updateAuthority(); });
}

void ZoneController::start() {
  tick();
  context_.scheduler.schedule(settings_.demand_period, [this] { reportDemand(); });
}

void ZoneController::tick() {
  const common::AtScopeEnd again(
      [this] { context_.scheduler.schedule(settings_.control_period, [this] { tick(); }); });
  updateAuthority();
  if (active_) {
    controlRound();
  } else if (demand_) {
    planWithoutLease();
  } else {
    authority_.setNeeded(false);
  }
}

void ZoneController::updateAuthority() {
  const auto held = authority_.heldEpoch();
  if (held && held != epoch_) {
    begin(*held);
  }
  active_ = held.has_value();
  if (!isPlanner()) {
    demand_.reset();
    need_ = planning::EngineNeed();
    announceNeed(0);
  } else if (!demand_) {
    demand_.emplace(settings_.demand, context_.clock.now());
  }
}

bool ZoneController::isPlanner() const { return authority_.believedHolder() == context_.self; }

void ZoneController::begin(const common::Epoch& epoch) {
  controls_.clear();
  explanations_.clear();
  epoch_ = epoch;
  planned_at_ = context_.clock.now();
  drains_.begin(epoch);
  epochs_.add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "controller_began")
      .field("zone", context_.zone)
      .field("epoch", epoch.toString());
}

void ZoneController::controlRound() {
  const auto records = directory_.records();
  updateControls(records);
  tickControls();
  drains_.renewIfDue();
  if (!allFencesAttempted()) {
    return;
  }
  if (demand_) {
    startDeclaredChanges(records);
    if (planningDue()) {
      planRoles(records);
    }
  }
  updateLeaseNeed(changesInProgress());
}

bool ZoneController::planningDue() const {
  const common::MonotonicTime now = context_.clock.now();
  return now - planned_at_ >= settings_.planning_period && demand_->warm(now);
}

bool ZoneController::changesInProgress() const {
  return std::any_of(controls_.begin(), controls_.end(),
                     [](const auto& item) { return item.second->changing(); });
}

void ZoneController::updateLeaseNeed(bool needed) {
  const common::MonotonicTime now = context_.clock.now();
  if (needed) {
    needed_at_ = now;
  }
  authority_.setNeeded(needed || now - needed_at_ < settings_.lease_idle_time);
}

void ZoneController::planWithoutLease() {
  if (!planningDue()) {
    return;
  }
  const auto records = directory_.records();
  const planning::Plan plan = makePlan(records, {}, true);
  updateLeaseNeed(!plan.changes.empty());
}

void ZoneController::updateControls(const std::vector<routing::EngineRecord>& records) {
  std::set<common::EngineName> declared;
  for (const routing::EngineRecord& record : records) {
    declared.insert(record.declaration.name);
    auto& control = controls_[record.declaration.name];
    const bool moved = control && control->endpoint().address != record.declaration.address;
    if (!control || moved) {
      drains_.remove(record.declaration.name);
      control = std::make_unique<EngineControl>(
          settings_, context_, authority_, client_, drains_, record.endpoint(), *epoch_,
          [this](const ChangeRecord& ended) { onChangeEnded(ended); });
    }
    if (record.reported) {
      control->observeIncarnation(record.load.incarnation, record.observed_at);
    }
    cancelObsoleteDrain(record);
  }
  std::erase_if(controls_, [&](const auto& item) {
    const bool gone = declared.count(item.first) == 0;
    if (gone) {
      drains_.remove(item.first);
    }
    return gone;
  });
}

void ZoneController::tickControls() {
  std::uint32_t fences = 0;
  for (auto& [name, control] : controls_) {
    const bool to_fence = control->phase() == ControlPhase::kUnknown;
    if (to_fence && ++fences > settings_.order.fences_per_period) {
      continue;
    }
    control->tick();
  }
}

bool ZoneController::allFencesAttempted() const {
  return std::all_of(controls_.begin(), controls_.end(),
                     [](const auto& item) { return item.second->fenceAttempted(); });
}

bool ZoneController::isChangeable(const routing::EngineRecord& record) const {
  const auto control = controls_.find(record.declaration.name);
  return record.availability == routing::EngineAvailability::kAvailable &&
         control != controls_.end() && control->second->phase() == ControlPhase::kIdle &&
         control->second->pausedUntil() <= context_.clock.now();
}

bool ZoneController::withinUnavailableLimit(
    const common::ModelName& model, const std::vector<routing::EngineRecord>& records) const {
  std::size_t engines = 0;
  std::size_t away = 0;
  for (const routing::EngineRecord& record : records) {
    if (record.declaration.model != model) {
      continue;
    }
    ++engines;
    const auto control = controls_.find(record.declaration.name);
    const bool changing = control != controls_.end() && control->second->changing() &&
                          control->second->change().change.drain;
    away += changing || record.availability == routing::EngineAvailability::kChanging ? 1 : 0;
  }
  const auto allowed =
      static_cast<std::size_t>(settings_.maximum_away_share * static_cast<double>(engines));
  return away < std::max<std::size_t>(1, allowed);
}

void ZoneController::cancelObsoleteDrain(const routing::EngineRecord& record) {
  EngineControl& control = *controls_.at(record.declaration.name);
  if (control.phase() != ControlPhase::kDraining) {
    return;
  }
  // If an operator drains the engine, or the engine or its machine is leaving, the change is
  // withdrawn before an order is sent to the engine.
  const bool withdrawn = record.availability == routing::EngineAvailability::kDrainedByOperator ||
                         record.availability == routing::EngineAvailability::kMachineLeaving ||
                         record.availability == routing::EngineAvailability::kLeaving;
  const auto& content = control.change().change.content;
  const auto fleet = configuration_.current();
  const auto declared = declaredChange(*fleet, record);
  const bool role_fixed = content.kind == engines::OrderKind::kChangeRole &&
                          rolePinned(*fleet, record.declaration.name) &&
                          (!declared || !(declared->content == content));
  if (withdrawn || role_fixed) {
    control.cancel(ChangeOutcome::kWithdrawn);
  }
}

void ZoneController::startDeclaredChanges(const std::vector<routing::EngineRecord>& records) {
  const auto fleet = configuration_.current();
  for (const routing::EngineRecord& record : records) {
    if (!isChangeable(record)) {
      continue;
    }
    const auto change = declaredChange(*fleet, record);
    if (!change) {
      continue;
    }
    if (!change->drain || withinUnavailableLimit(record.declaration.model, records)) {
      controls_.at(record.declaration.name)->start(*change);
    }
  }
}

planning::Plan ZoneController::makePlan(const std::vector<routing::EngineRecord>& records,
                                        const Controls& controls, bool without_lease) {
  planned_at_ = context_.clock.now();
  const auto fleet = configuration_.current();
  const PlanningSources sources{*fleet, records, controls, *demand_, planned_at_, without_lease};
  planning::PlanningInput input = makePlanningInput(sources, capacity_);
  input.expected_change_time = unavailable_time_;
  planning::Plan plan = planner_->plan(input);
  explanations_ = std::move(plan.explanations);
  announceNeed(need_.update(explanations_, records.size(), planned_at_));
  if (!fleet->planning.automatic_roles) {
    plan.changes.clear();
  }
  if (!plan.changes.empty()) {
    logPlan();
  }
  return plan;
}

void ZoneController::announceNeed(std::size_t engines) {
  if (std::exchange(announced_need_, engines) != engines) {
    membership_.setDigest(membership::DigestTopic::kNeededEngines, engines);
    common::LogEvent(context_.log, common::LogLevel::kInfo, "needed_engines_changed")
        .field("zone", context_.zone)
        .field("engines", engines);
  }
}

void ZoneController::logPlan() const {
  for (const planning::ModelExplanation& model : explanations_) {
    common::LogEvent(context_.log, common::LogLevel::kInfo, "roles_planned")
        .field("model", model.model)
        .field("prefill_engines", model.prefill_engines)
        .field("decode_engines", model.decode_engines)
        .field("utilisation", model.utilisation_short)
        .field("utilisation_long", model.utilisation_long)
        .field("decode_utilisation", model.decode_utilisation_short)
        .field("decode_utilisation_long", model.decode_utilisation_long)
        .field("lost_without_change", model.lost_without_change)
        .field("conclusion", model.conclusion);
  }
}

void ZoneController::planRoles(const std::vector<routing::EngineRecord>& records) {
  const auto fleet = configuration_.current();
  const planning::Plan plan = makePlan(records, controls_, false);
  for (const planning::RoleChange& change : plan.changes) {
    const routing::EngineRecord* record = directory_.find(change.engine);
    const bool allowed = record != nullptr && isChangeable(*record) &&
                         !rolePinned(*fleet, change.engine) && record->load.role != change.role;
    if (allowed) {
      controls_.at(change.engine)->start(roleChange(change.role, "planned by " + planner_->name()));
    }
  }
}

void ZoneController::onChangeEnded(const ChangeRecord& record) {
  ended_.push_front(record);
  if (ended_.size() > kRememberedChanges) {
    ended_.pop_back();
  }
  context_.counters
      .counter("cypresswall_engine_changes_total", "Changes of engines by how they ended",
               "outcome", toString(record.outcome))
      .add();
  const bool role = record.change.content.kind == engines::OrderKind::kChangeRole;
  if (role && record.outcome == ChangeOutcome::kDone) {
    context_.counters.counter("cypresswall_role_changes_total", "Roles of engines changed").add();
    const auto took = record.ended_at - record.started_at;
    const double average =
        unavailable_time_.count() == 0
            ? common::toSeconds(took)
            : kUnavailableTimeWeight * common::toSeconds(took) +
                  (1 - kUnavailableTimeWeight) * common::toSeconds(unavailable_time_);
    unavailable_time_ = common::fromSeconds(average);
  }
}

void ZoneController::reportDemand() {
  const common::AtScopeEnd again(
      [this] { context_.scheduler.schedule(settings_.demand_period, [this] { reportDemand(); }); });
  DemandReport report{directory_.demand().take()};
  const common::NodeId holder = authority_.believedHolder();
  if (demand_) {
    for (const auto& [model, count] : report.counts) {
      demand_->add(model, count, context_.clock.now());
    }
  } else if (holder.empty() || holder == context_.self) {
    demand_dropped_.add(report.counts.empty() ? 0 : 1);
  } else if (!report.counts.empty()) {
    context_.sendTo(holder, report);
  }
}

const EngineControl* ZoneController::control(const common::EngineName& engine) const {
  const auto found = controls_.find(engine);
  return active_ && found != controls_.end() ? found->second.get() : nullptr;
}

std::optional<std::map<common::ModelName, planning::ModelDemand>> ZoneController::demand() const {
  const common::MonotonicTime now = context_.clock.now();
  if (!demand_ || !demand_->warm(now)) {
    return std::nullopt;
  }
  std::map<common::ModelName, planning::ModelDemand> demands;
  for (const auto& [name, model] : configuration_.current()->models) {
    demands[name] = demand_->demand(name, now);
  }
  return demands;
}

std::string ZoneController::encodedDemand() const {
  const common::MonotonicTime now = context_.clock.now();
  return demand_ && demand_->warm(now) ? demand_->encode(now) : std::string();
}

bool ZoneController::restoreDemand(const std::string& bytes) {
  updateAuthority();
  return demand_ && demand_->restore(bytes);
}

std::vector<ChangeRecord> ZoneController::changes() const {
  std::vector<ChangeRecord> rows;
  for (const auto& [name, control] : controls_) {
    if (active_ && control->changing()) {
      rows.push_back(control->change());
    }
  }
  rows.insert(rows.end(), ended_.begin(), ended_.end());
  return rows;
}

}  // namespace cypresswall::orders
