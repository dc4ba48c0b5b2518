#include "bench/simulate/scenario_run.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace cypresswall::bench {
namespace {

/// Open requests get this long to end after the last one was asked.
constexpr common::Duration kDrainTime = std::chrono::seconds(30);

double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

/// Asks requests of one kind at its changing rate: arrivals at the peak rate are kept with the
/// share that the present rate has of it.
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
      fleet_.ask(kind_);
    }
    scheduleNext();
  }

  const Scenario& scenario_;
  ScenarioFleet& fleet_;
  std::size_t kind_;
  common::MonotonicTime start_;
  double peak_;
};

void countDone(const AskRecord& record, const ScenarioKind& kind, KindOutcome& outcome) {
  const common::Duration first_token = record.first_token_at - record.asked_at;
  const std::uint32_t gaps = std::max(record.tokens, std::uint32_t{2}) - 1;
  const common::Duration between = (record.last_token_at - record.first_token_at) / gaps;
  outcome.first_token.add(first_token);
  outcome.between_tokens.add(between);
  const bool in_time =
      first_token <= kind.first_token_limit && between <= kind.between_tokens_limit;
  ++(in_time ? outcome.in_time : outcome.late);
}

void countRecord(const AskRecord& record, const ScenarioKind& kind, RunOutcome& run) {
  KindOutcome& outcome = run.kinds[kind.name];
  ++outcome.asked;
  if (record.end == AskEnd::kDone && record.tokens == record.expected_tokens) {
    countDone(record, kind, outcome);
    return;
  }
  if (record.end == AskEnd::kRefused) {
    ++outcome.refused;
    run.refusal.add(record.ended_at - record.asked_at);
  } else {
    ++outcome.failed;
  }
  ++run.errors[record.end == AskEnd::kOpen ? "still open" : record.error];
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
  for (const AskRecord& record : fleet.records()) {
    if (record.asked_at - start >= scenario.warm_up) {
      countRecord(record, scenario.kinds[record.kind], outcome);
    }
  }
  outcome.engines = fleet.engineTotals();
  outcome.speed = common::toSeconds(scenario.duration + kDrainTime) /
                  std::max(processorSeconds() - processor_start, 1e-6);
  return outcome;
}

Spread spreadOf(const PolicyOutcome& outcome,
                const std::function<double(const RunOutcome&)>& figure) {
  Spread spread;
  for (std::size_t index = 0; index < outcome.runs.size(); ++index) {
    const double value = figure(outcome.runs[index]);
    spread.mean += value / static_cast<double>(outcome.runs.size());
    spread.least = index == 0 ? value : std::min(spread.least, value);
    spread.most = index == 0 ? value : std::max(spread.most, value);
  }
  return spread;
}

}  // namespace cypresswall::bench
