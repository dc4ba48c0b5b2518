#include "cypresswall/autoscaling/controller.h"

#include <algorithm>
#include <utility>

namespace cypresswall::autoscaling {
namespace {

using configuration::AutoscalingDeclaration;
using configuration::FleetConfiguration;

/// Interval at which the leader sends its next order to the platform and nodes send their demand to
/// the leader.
constexpr common::Duration kTickInterval = std::chrono::milliseconds(250);
/// Minimum number of lasting engines that an order releases while preemptible engines replace them;
/// the last order may release fewer.
constexpr std::uint32_t kMinimumShrinkStep = 4;
/// Discovery of running engines counts as complete once the list of declared engines is not empty
/// and has been unchanged for this long.
constexpr common::Duration kDiscoveryTime = std::chrono::milliseconds(1500);
/// Share of a service's first-token target within which the first token is planned; the rest is a
/// margin.
constexpr double kFirstTokenBudgetShare = 0.85;

ModelLoad loadOf(const planning::ModelDemand& demand) {
  const planning::DemandRate& rate = demand.short_window;
  ModelLoad load;
  load.busy_engines =
      rate.prefill_engine_seconds + rate.decode_engine_seconds + rate.output_seconds;
  if (rate.prefill_engine_requests_per_second > 0) {
    load.long_prompt_seconds =
        rate.prefill_engine_seconds / rate.prefill_engine_requests_per_second;
  }
  return load;
}

bool drained(const FleetConfiguration& fleet, const common::EngineName& engine) {
  const auto found = fleet.engine_overrides.find(engine);
  return found != fleet.engine_overrides.end() && found->second.drained;
}

bool isValid(const AutoscalingDeclaration& declaration) {
  const auto& prices = declaration.location_prices;
  return declaration.maximum_engines > 0 &&
         declaration.minimum_engines <= declaration.maximum_engines && !prices.empty() &&
         declaration.preemptible_price >= 0 &&
         std::all_of(prices.begin(), prices.end(),
                     [](const auto& entry) { return entry.second > 0; });
}

/// \return true if a location has more engines than `maximum_engines`, so that any order within
///   this bound would release engines
bool exceedsMaximum(const PoolCounts& present, const AutoscalingDeclaration& declaration) {
  return std::any_of(present.begin(), present.end(), [&](const auto& entry) {
    return entry.second.total() > declaration.maximum_engines;
  });
}

}  // namespace

Controller::Controller(const AutoscalingSettings& settings, const api::ProcessContext& context,
                       const membership::MembershipView& membership,
                       configuration::ConfigurationView& configuration, duties::FleetDuties& duties,
                       DemandSource demand)
    : settings_(settings),
      context_(context),
      membership_(membership),
      configuration_(configuration),
      duties_(duties),
      demand_(std::move(demand)),
      planner_(settings.available ? makePlanner(settings) : nullptr),
      ordered_(context.counters.counter("cypresswall_autoscaling_orders_total",
                                        "Orders of engines that the platform took")),
      failed_(context.counters.counter("cypresswall_autoscaling_orders_failed_total",
                                       "Orders of engines that failed")) {
  context_.dispatcher.handle<DemandUpdate>(
      [this](const common::NodeId&, const DemandUpdate& update) { onDemand(update); });
  if (planner_) {
    duties_.addWork([this] { return !orders_.empty(); });
  }
}

void Controller::start() {
  if (planner_) {
    tick();
  }
}

void Controller::tick() {
  context_.scheduler.schedule(kTickInterval, [this] { tick(); });
  forwardDemand();
  if (!isLeader()) {
    pools_.clear();
    orders_.clear();
    return;
  }
  const auto now = context_.clock.now();
  if (now >= next_plan_at_ && !call_in_flight_) {
    next_plan_at_ = now + settings_.interval;
    planAll();
  }
  sendNext();
}

bool Controller::isLeader() const {
  return !membership_.joining() && duties_.collectors().first() == context_.self;
}

void Controller::forwardDemand() {
  const auto demand = demand_();
  if (!demand) {
    return;
  }
  DemandUpdate update;
  for (const auto& [model, of_model] : *demand) {
    update.loads[model] = loadOf(of_model);
  }
  const common::NodeId holder = duties_.collectors().first();
  if (holder == context_.self) {
    onDemand(update);
  } else if (!holder.empty()) {
    context_.sendTo(holder, update);
  }
}

void Controller::onDemand(const DemandUpdate& update) {
  if (!planner_ || !isLeader()) {
    return;
  }
  const auto now = context_.clock.now();
  const auto fleet = configuration_.current();
  std::map<std::string, PoolLoad> loads;
  std::map<std::string, common::ModelName> counted;
  for (const auto& [name, service] : fleet->model_services) {
    const auto reported = update.loads.find(service.model);
    if (reported == update.loads.end() || !fleet->autoscaling.contains(service.backend_pool)) {
      continue;
    }
    PoolLoad& load = loads[service.backend_pool];
    if (counted.emplace(service.backend_pool + "\n" + service.model, service.model).second) {
      load.busy_engines += reported->second.busy_engines;
    }
    load.long_prompt_seconds =
        std::max(load.long_prompt_seconds, reported->second.long_prompt_seconds);
    load.slack_seconds = std::max(
        load.slack_seconds, kFirstTokenBudgetShare * common::toSeconds(service.first_token_target) -
                                reported->second.long_prompt_seconds);
  }
  for (const auto& [name, load] : loads) {
    Pool& pool = pools_[name];
    pool.loads.emplace_back(now, load);
    if (load.busy_engines > 0 && !pool.demand_since) {
      pool.demand_since = now;
    }
  }
}

void Controller::planAll() {
  const auto now = context_.clock.now();
  const auto fleet = configuration_.current();
  orders_.clear();
  for (const auto& [name, declaration] : fleet->autoscaling) {
    Pool& pool = pools_[name];
    if (!isValid(declaration)) {
      logUnusable(name, pool, "invalid bounds or prices");
      continue;
    }
    if (!initialEnginesKnown(declaration, pool)) {
      continue;
    }
    if (exceedsMaximum(*pool.initial, declaration)) {
      logUnusable(name, pool, "more engines present than maximum_engines allows");
      continue;
    }
    while (!pool.loads.empty() && now - pool.loads.front().first > settings_.memory) {
      pool.loads.pop_front();
    }
    const PoolInput input = makeInput(declaration, pool);
    PoolPlan plan = planner_->plan(input);
    if (plan.wanted != pool.plan.wanted) {
      common::LogEvent event(context_.log, common::LogLevel::kInfo, "engines_planned");
      event.field("pool", name).field("reason", plan.reason);
      for (const auto& [location, counts] : plan.wanted) {
        event.field(location,
                    std::to_string(counts.lasting) + "+" + std::to_string(counts.preemptible));
      }
    }
    pool.plan = std::move(plan);
    collectOrders(declaration, pool, input.present);
  }
}

void Controller::logUnusable(const std::string& name, Pool& pool, const char* reason) {
  if (!std::exchange(pool.unusable_logged, true)) {
    common::LogEvent(context_.log, common::LogLevel::kWarning, "autoscaling_not_usable")
        .field("pool", name)
        .field("reason", reason);
  }
}

bool Controller::initialEnginesKnown(const AutoscalingDeclaration& declaration, Pool& pool) const {
  const auto now = context_.clock.now();
  if (pool.initial) {
    return true;
  }
  const PoolCounts present = presentEngines(declaration);
  if (!pool.leader_since) {
    pool.leader_since = now;
  }
  if (present != pool.last_present) {
    pool.last_present = present;
    pool.unchanged_since = now;
  }
  const bool all_there = totalOf(present) > 0 && now - pool.unchanged_since >= kDiscoveryTime;
  if (all_there || now - *pool.leader_since >= std::max(declaration.boot_time, kDiscoveryTime)) {
    pool.initial = present;
  }
  return pool.initial.has_value();
}

PoolInput Controller::makeInput(const AutoscalingDeclaration& declaration, Pool& pool) const {
  const auto now = context_.clock.now();
  PoolInput input;
  input.declaration = declaration;
  input.present = presentEngines(declaration);
  input.initial_engines = totalOf(*pool.initial);
  input.retained = std::max(input.initial_engines, totalOf(pool.plan.wanted));
  for (const auto& [time, load] : pool.loads) {
    input.loads.push_back(load);
  }
  input.may_shrink = pool.demand_since && now - *pool.demand_since >= settings_.memory;
  std::erase_if(pool.unavailable_until, [now](const auto& entry) { return entry.second <= now; });
  for (const auto& [location, until] : pool.unavailable_until) {
    input.without_preemptible.push_back(location);
  }
  return input;
}

PoolCounts Controller::presentEngines(const AutoscalingDeclaration& declaration) const {
  const auto fleet = configuration_.current();
  PoolCounts present;
  for (const auto& [name, engine] : fleet->engines) {
    if (engine.pool != declaration.pool || drained(*fleet, name)) {
      continue;
    }
    EngineCounts& counts = present[engine.location];
    ++(engine.preemptible ? counts.preemptible : counts.lasting);
  }
  return present;
}

void Controller::collectOrders(const AutoscalingDeclaration& declaration, Pool& pool,
                               const PoolCounts& present) {
  for (const auto& [location, wanted] : pool.plan.wanted) {
    const auto found = present.find(location);
    const EngineCounts actual = found == present.end() ? EngineCounts{} : found->second;
    orderIfNeeded(pool, {declaration.pool, location, wanted.preemptible, true}, actual.preemptible);
    // Release a lasting engine only once a preemptible one is present in its place. Lasting engines
    // are released in steps while the replacement continues, because both kinds count towards
    // maximum_engines: the last preemptible engines can start only after lasting ones were
    // released.
    const auto initial = pool.initial->find(location);
    const std::uint32_t needed =
        std::min(wanted.total(), initial == pool.initial->end() ? 0 : initial->second.total());
    const std::uint32_t replaced = std::min(actual.preemptible, needed);
    const std::uint32_t retained = std::max(wanted.lasting, needed - replaced);
    const bool grows = wanted.lasting > actual.lasting;
    const bool step = retained == wanted.lasting || retained + kMinimumShrinkStep <= actual.lasting;
    if (grows || (retained < actual.lasting && step)) {
      orderIfNeeded(pool, {declaration.pool, location, grows ? wanted.lasting : retained, false},
                    actual.lasting);
    }
  }
}

void Controller::orderIfNeeded(Pool& pool, duties::CapacityOrder order, std::uint32_t present) {
  const auto last = pool.ordered.find({order.zone, order.preemptible});
  const bool never = last == pool.ordered.end();
  if (never && present == order.engines) {
    return;
  }
  const bool same = !never && last->second.engines == order.engines;
  const bool met = present == order.engines;
  const bool recent = !never && context_.clock.now() - last->second.at < settings_.repeat_delay;
  if (!same || (!met && !recent)) {
    orders_.push_back(std::move(order));
  }
}

void Controller::sendNext() {
  if (call_in_flight_ || orders_.empty()) {
    return;
  }
  const auto epoch = duties_.authority().heldEpoch();
  if (!epoch) {
    return;
  }
  const duties::CapacityOrder order = orders_.front();
  orders_.pop_front();
  call_in_flight_ = true;
  duties_.platform().orderCapacity(
      {duties_.machine(), epoch->term}, order,
      [this, order, epoch = *epoch](std::optional<duties::DutyFailure> failure) {
        onSent(order, epoch, failure);
      });
}

void Controller::onSent(const duties::CapacityOrder& order, const common::Epoch& epoch,
                        std::optional<duties::DutyFailure> failure) {
  call_in_flight_ = false;
  const auto now = context_.clock.now();
  (failure ? failed_ : ordered_).add();
  common::LogEvent(context_.log, failure ? common::LogLevel::kWarning : common::LogLevel::kInfo,
                   "engines_ordered")
      .field("pool", order.service)
      .field("location", order.zone)
      .field("engines", order.engines)
      .field("preemptible", order.preemptible)
      .field("token", epoch.term)
      .field("failure", duties::toString(failure));
  const auto pool = pools_.find(order.service);
  if (pool == pools_.end()) {
    return;
  }
  if (failure == duties::DutyFailure::kSuperseded) {
    duties_.authority().superseded(epoch);
    return;
  }
  if (failure == duties::DutyFailure::kNoneAvailable) {
    pool->second.unavailable_until[order.zone] = now + settings_.none_available_pause;
  }
  // Also recorded if the call failed or its outcome is unknown, so that it is repeated only after
  // `repeat_delay`.
  pool->second.ordered[{order.zone, order.preemptible}] = {order.engines, now};
  sendNext();
}

std::vector<PoolState> Controller::pools() const {
  std::vector<PoolState> states;
  const auto fleet = configuration_.current();
  for (const auto& [name, pool] : pools_) {
    const auto declared = fleet->autoscaling.find(name);
    if (declared != fleet->autoscaling.end()) {
      states.push_back({name, presentEngines(declared->second), pool.plan.wanted, pool.plan.reason,
                        duties_.authority().highestEpoch().term});
    }
  }
  return states;
}

}  // namespace cypresswall::autoscaling
