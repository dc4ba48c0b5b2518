#include "cypresswall/autoscaling/controller.h"

#include <algorithm>
#include <utility>

namespace cypresswall::autoscaling {
namespace {

using configuration::AutoscalingDeclaration;
using configuration::FleetConfiguration;

/// Between two looks at orders and two tellings of the demand.
constexpr common::Duration kTickInterval = std::chrono::milliseconds(250);
/// Lasting engines are ordered away in steps of at least so many while others take their place.
constexpr std::uint32_t kLeastStep = 4;
/// Engines that run already have appeared in the platform's list once it stood still for so long.
constexpr common::Duration kAppearingTime = std::chrono::milliseconds(1500);
/// Share of a target latency in which a first token is planned.
constexpr double kPlannedShare = 0.85;

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

bool usable(const AutoscalingDeclaration& declaration) {
  const auto& prices = declaration.location_prices;
  return declaration.maximum_engines > 0 &&
         declaration.minimum_engines <= declaration.maximum_engines && !prices.empty() &&
         declaration.preemptible_price >= 0 &&
         std::all_of(prices.begin(), prices.end(),
                     [](const auto& entry) { return entry.second > 0; });
}

/// \return true if an order within the bounds would take away engines that stand there
bool exceeds(const PoolNumbers& present, const AutoscalingDeclaration& declaration) {
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
  context_.dispatcher.handle<DemandNews>(
      [this](const common::NodeId&, const DemandNews& news) { onDemand(news); });
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
  passDemandOn();
  if (!leads()) {
    pools_.clear();
    orders_.clear();
    return;
  }
  const auto now = context_.clock.now();
  if (now >= next_plan_at_ && !call_under_way_) {
    next_plan_at_ = now + settings_.interval;
    planAll();
  }
  sendNext();
}

bool Controller::leads() const {
  return !membership_.joining() && duties_.collectors().first() == context_.self;
}

void Controller::passDemandOn() {
  const auto demand = demand_();
  if (!demand) {
    return;
  }
  DemandNews news;
  for (const auto& [model, of_model] : *demand) {
    news.loads[model] = loadOf(of_model);
  }
  const common::NodeId holder = duties_.collectors().first();
  if (holder == context_.self) {
    onDemand(news);
  } else if (!holder.empty()) {
    context_.sendTo(holder, news);
  }
}

void Controller::onDemand(const DemandNews& news) {
  if (!planner_ || !leads()) {
    return;
  }
  const auto now = context_.clock.now();
  const auto fleet = configuration_.current();
  std::map<std::string, PoolLoad> loads;
  std::map<std::string, common::ModelName> counted;
  for (const auto& [name, service] : fleet->model_services) {
    const auto told = news.loads.find(service.model);
    if (told == news.loads.end() || !fleet->autoscaling.contains(service.backend_pool)) {
      continue;
    }
    PoolLoad& load = loads[service.backend_pool];
    if (counted.emplace(service.backend_pool + "\n" + service.model, service.model).second) {
      load.busy_engines += told->second.busy_engines;
    }
    load.long_prompt_seconds = std::max(load.long_prompt_seconds, told->second.long_prompt_seconds);
    load.slack_seconds =
        std::max(load.slack_seconds, kPlannedShare * common::toSeconds(service.first_token_target) -
                                         told->second.long_prompt_seconds);
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
    if (!usable(declaration)) {
      tellUnusable(name, pool, "bounds or prices contradict each other");
      continue;
    }
    if (!settled(declaration, pool)) {
      continue;
    }
    if (exceeds(*pool.begun_with, declaration)) {
      tellUnusable(name, pool, "more engines stand there than its bounds allow");
      continue;
    }
    while (!pool.loads.empty() && now - pool.loads.front().first > settings_.memory) {
      pool.loads.pop_front();
    }
    const PoolInput input = inputOf(declaration, pool);
    PoolPlan plan = planner_->plan(input);
    if (plan.wanted != pool.plan.wanted) {
      common::LogEvent event(context_.log, common::LogLevel::kInfo, "engines_planned");
      event.field("pool", name).field("reason", plan.reason);
      for (const auto& [location, numbers] : plan.wanted) {
        event.field(location,
                    std::to_string(numbers.lasting) + "+" + std::to_string(numbers.preemptible));
      }
    }
    pool.plan = std::move(plan);
    collectOrders(declaration, pool, input.present);
  }
}

void Controller::tellUnusable(const std::string& name, Pool& pool, const char* reason) {
  if (!std::exchange(pool.unusable_told, true)) {
    common::LogEvent(context_.log, common::LogLevel::kWarning, "autoscaling_not_usable")
        .field("pool", name)
        .field("reason", reason);
  }
}

bool Controller::settled(const AutoscalingDeclaration& declaration, Pool& pool) const {
  const auto now = context_.clock.now();
  if (pool.begun_with) {
    return true;
  }
  const PoolNumbers present = presentOf(declaration);
  if (!pool.led_since) {
    pool.led_since = now;
  }
  if (present != pool.appeared) {
    pool.appeared = present;
    pool.unchanged_since = now;
  }
  const bool all_there = totalOf(present) > 0 && now - pool.unchanged_since >= kAppearingTime;
  if (all_there || now - *pool.led_since >= std::max(declaration.boot_time, kAppearingTime)) {
    pool.begun_with = present;
  }
  return pool.begun_with.has_value();
}

PoolInput Controller::inputOf(const AutoscalingDeclaration& declaration, Pool& pool) const {
  const auto now = context_.clock.now();
  PoolInput input;
  input.declaration = declaration;
  input.present = presentOf(declaration);
  input.at_first = totalOf(*pool.begun_with);
  input.kept = std::max(input.at_first, totalOf(pool.plan.wanted));
  for (const auto& [time, load] : pool.loads) {
    input.loads.push_back(load);
  }
  input.may_shrink = pool.demand_since && now - *pool.demand_since >= settings_.memory;
  std::erase_if(pool.none_until, [now](const auto& entry) { return entry.second <= now; });
  for (const auto& [location, until] : pool.none_until) {
    input.without_preemptible.push_back(location);
  }
  return input;
}

PoolNumbers Controller::presentOf(const AutoscalingDeclaration& declaration) const {
  const auto fleet = configuration_.current();
  PoolNumbers present;
  for (const auto& [name, engine] : fleet->engines) {
    if (engine.pool != declaration.pool || drained(*fleet, name)) {
      continue;
    }
    EngineNumbers& numbers = present[engine.location];
    ++(engine.preemptible ? numbers.preemptible : numbers.lasting);
  }
  return present;
}

void Controller::collectOrders(const AutoscalingDeclaration& declaration, Pool& pool,
                               const PoolNumbers& present) {
  for (const auto& [location, wanted] : pool.plan.wanted) {
    const auto found = present.find(location);
    const EngineNumbers there = found == present.end() ? EngineNumbers{} : found->second;
    want(pool, {declaration.pool, location, wanted.preemptible, true}, there.preemptible);
    // A lasting engine goes only once another one serves in its place. Both kinds share the bound,
    // so that all of the others can come only after it went.
    const auto begun = pool.begun_with->find(location);
    const std::uint32_t needed =
        std::min(wanted.total(), begun == pool.begun_with->end() ? 0 : begun->second.total());
    const std::uint32_t replaced = std::min(there.preemptible, needed);
    const std::uint32_t kept = std::max(wanted.lasting, needed - replaced);
    const bool grows = wanted.lasting > there.lasting;
    const bool step = kept == wanted.lasting || kept + kLeastStep <= there.lasting;
    if (grows || (kept < there.lasting && step)) {
      want(pool, {declaration.pool, location, grows ? wanted.lasting : kept, false}, there.lasting);
    }
  }
}

void Controller::want(Pool& pool, duties::CapacityOrder order, std::uint32_t present) {
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
  if (call_under_way_ || orders_.empty()) {
    return;
  }
  const auto epoch = duties_.authority().heldEpoch();
  if (!epoch) {
    return;
  }
  const duties::CapacityOrder order = orders_.front();
  orders_.pop_front();
  call_under_way_ = true;
  duties_.platform().orderCapacity(
      {duties_.machine(), epoch->term}, order,
      [this, order, epoch = *epoch](std::optional<duties::DutyFailure> failure) {
        onSent(order, epoch, failure);
      });
}

void Controller::onSent(const duties::CapacityOrder& order, const common::Epoch& epoch,
                        std::optional<duties::DutyFailure> failure) {
  call_under_way_ = false;
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
    pool->second.none_until[order.zone] = now + settings_.none_available_pause;
  }
  // A call that was refused or may still be carried out is repeated after a while.
  pool->second.ordered[{order.zone, order.preemptible}] = {order.engines, now};
  sendNext();
}

std::vector<PoolState> Controller::pools() const {
  std::vector<PoolState> states;
  const auto fleet = configuration_.current();
  for (const auto& [name, pool] : pools_) {
    const auto declared = fleet->autoscaling.find(name);
    if (declared != fleet->autoscaling.end()) {
      states.push_back({name, presentOf(declared->second), pool.plan.wanted, pool.plan.reason,
                        duties_.authority().highestEpoch().term});
    }
  }
  return states;
}

}  // namespace cypresswall::autoscaling
