#include "bench/simulate/scenario_run.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace cypresswall::bench {
namespace {

/// Time that open requests have to end after the last request was sent.
constexpr common::Duration kDrainTime = std::chrono::seconds(30);

double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

/// Poisson arrivals of one kind at a varying rate, by thinning: an arrival at the peak rate is kept
/// with the probability current rate / peak rate.
class ArrivalProcess {
 public:
  ArrivalProcess(const Scenario& scenario, ScenarioFleet& fleet, std::size_t kind,
                 common::MonotonicTime start)
      : scenario_(scenario),
        fleet_(fleet),
        kind_(kind),
        start_(start),
        peak_(scenario.peakRate(scenario.kinds[kind].name)) {}

  void scheduleNext() {
    if (peak_ <= 0) {
      return;
    }
    const double gap = -std::log(1.0 - fleet_.random().unit()) / peak_;
    fleet_.time().schedule(common::fromSeconds(gap), [this] { arrive(); });
  }

 private:
  void arrive() {
    const common::Duration at = fleet_.time().now() - start_;
    if (at >= scenario_.duration) {
      return;
    }
    const double rate = scenario_.rateAt(scenario_.kinds[kind_].name, at);
    if (fleet_.random().unit() * peak_ < rate) {
      fleet_.sendRequest(kind_);
    }
    scheduleNext();
  }

  const Scenario& scenario_;
  ScenarioFleet& fleet_;
  std::size_t kind_;
  common::MonotonicTime start_;
  double peak_;
};

void countDone(const SimulatedRequest& record, const ScenarioKind& kind, KindOutcome& outcome) {
  const common::Duration first_token = record.first_token_at - record.asked_at;
  const std::uint32_t gaps = std::max(record.tokens, std::uint32_t{2}) - 1;
  const common::Duration between = (record.last_token_at - record.first_token_at) / gaps;
  outcome.first_token.add(first_token);
  outcome.between_tokens.add(between);
  const bool late_first_token = first_token > kind.first_token_limit;
  const bool in_time = !late_first_token && between <= kind.between_tokens_limit;
  ++(in_time ? outcome.in_time : outcome.late);
  outcome.late_first_token += late_first_token ? 1 : 0;
}

bool answeredCompletely(const SimulatedRequest& record) {
  return record.end == RequestStatus::kDone && record.tokens == record.expected_tokens;
}

void countKind(const SimulatedRequest& record, const ScenarioKind& kind, KindOutcome& outcome) {
  ++outcome.asked;
  if (answeredCompletely(record)) {
    countDone(record, kind, outcome);
  } else {
    ++(record.end == RequestStatus::kRefused ? outcome.refused : outcome.failed);
  }
}

/// \param at time since the start of the run
void countRecord(const SimulatedRequest& record, common::Duration at, const ScenarioKind& kind,
                 RunOutcome& run) {
  countKind(record, kind, run.kinds[kind.name]);
  const auto period = static_cast<std::size_t>(at / kTimelinePeriod);
  run.timeline.resize(std::max(run.timeline.size(), period + 1));
  countKind(record, kind, run.timeline[period][kind.name]);
  if (answeredCompletely(record)) {
    return;
  }
  if (record.end == RequestStatus::kRefused) {
    run.refusal.add(record.ended_at - record.asked_at);
  }
  ++run.errors[record.end == RequestStatus::kOpen ? "still open" : record.error];
}

}  // namespace

double RunOutcome::goodput() const {
  const KindOutcome sum = total();
  return sum.asked == 0 ? 0 : static_cast<double>(sum.in_time) / static_cast<double>(sum.asked);
}

KindOutcome RunOutcome::total() const {
  KindOutcome sum;
  for (const auto& [name, kind] : kinds) {
    sum.asked += kind.asked;
    sum.in_time += kind.in_time;
    sum.late += kind.late;
    sum.refused += kind.refused;
    sum.failed += kind.failed;
    sum.first_token.merge(kind.first_token);
    sum.between_tokens.merge(kind.between_tokens);
  }
  return sum;
}

double RunOutcome::cacheHitShare() const {
  return engines.prompt_tokens == 0 ? 0
                                    : static_cast<double>(engines.cached_prompt_tokens) /
                                          static_cast<double>(engines.prompt_tokens);
}

RunOutcome runScenario(const Scenario& scenario, const RolePolicy& policy, std::uint64_t seed) {
  ScenarioFleet fleet(scenario, policy, seed);
  fleet.bringUp();
  fleet.beginLoad();
  const common::MonotonicTime start = fleet.time().now();
  const double processor_start = processorSeconds();
  std::deque<ArrivalProcess> arrivals;
  for (std::size_t kind = 0; kind < scenario.kinds.size(); ++kind) {
    arrivals.emplace_back(scenario, fleet, kind, start).scheduleNext();
  }
  for (const ScenarioFault& fault : scenario.faults) {
    fleet.time().schedule(fault.at, [&fleet, &fault] { fleet.beginFault(fault); });
  }
  fleet.time().runFor(scenario.duration + kDrainTime);
  RunOutcome outcome;
  for (const SimulatedRequest& record : fleet.records()) {
    const common::Duration at = record.asked_at - start;
    if (at >= scenario.warm_up) {
      countRecord(record, at, scenario.kinds[record.kind], outcome);
    }
  }
  outcome.engines = fleet.engineTotals();
  outcome.speed = common::toSeconds(scenario.duration + kDrainTime) /
                  std::max(processorSeconds() - processor_start, 1e-6);
  return outcome;
}

Spread spreadOf(const PolicyOutcome& outcome,
                const std::function<double(const RunOutcome&)>& metric) {
  Spread spread;
  for (std::size_t index = 0; index < outcome.runs.size(); ++index) {
    const double value = metric(outcome.runs[index]);
    spread.mean += value / static_cast<double>(outcome.runs.size());
    spread.least = index == 0 ? value : std::min(spread.least, value);
    spread.most = index == 0 ? value : std::max(spread.most, value);
  }
  return spread;
}

}  // namespace cypresswall::bench
