#include "bench/simulate/scenario_report.h"

#include <iomanip>

namespace cypresswall::bench {

using nlohmann::json;

namespace {

constexpr std::size_t kShownErrors = 3;

double milliseconds(common::Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

/// One metric of a run, with its name in reports.
struct Metric {
  const char* name;
  int decimals;
  std::function<double(const RunOutcome&)> value;
};

const std::vector<Metric>& metrics() {
  static const std::vector<Metric> all = {
      {"goodput", 4, [](const RunOutcome& run) { return run.goodput(); }},
      {"asked", 0, [](const RunOutcome& run) { return static_cast<double>(run.total().asked); }},
      {"late", 0, [](const RunOutcome& run) { return static_cast<double>(run.total().late); }},
      {"refused", 0,
       [](const RunOutcome& run) { return static_cast<double>(run.total().refused); }},
      {"failed", 0, [](const RunOutcome& run) { return static_cast<double>(run.total().failed); }},
      {"role_changes", 1,
       [](const RunOutcome& run) { return static_cast<double>(run.engines.role_changes); }},
      {"cut_by_order", 0,
       [](const RunOutcome& run) { return static_cast<double>(run.engines.streams_cut_by_order); }},
      {"seconds_away", 1,
       [](const RunOutcome& run) { return common::toSeconds(run.engines.unavailable_time); }},
      {"first_token_p50_ms", 1,
       [](const RunOutcome& run) { return milliseconds(run.total().first_token.percentile(0.5)); }},
      {"first_token_p95_ms", 1,
       [](const RunOutcome& run) {
         return milliseconds(run.total().first_token.percentile(0.95));
       }},
      {"first_token_p99_ms", 1,
       [](const RunOutcome& run) {
         return milliseconds(run.total().first_token.percentile(0.99));
       }},
      {"between_tokens_p95_ms", 1,
       [](const RunOutcome& run) {
         return milliseconds(run.total().between_tokens.percentile(0.95));
       }},
      {"refusal_p99_ms", 1,
       [](const RunOutcome& run) { return milliseconds(run.refusal.percentile(0.99)); }},
      {"cache_hit_share", 3, [](const RunOutcome& run) { return run.cacheHitShare(); }},
      {"kv_gigabytes_moved", 1,
       [](const RunOutcome& run) {
         return static_cast<double>(run.engines.kv_bytes_imported) / 1e9;
       }},
      {"times_real_time", 0, [](const RunOutcome& run) { return run.speed; }},
  };
  return all;
}

/// Writes the lost requests of each kind by period and cause; periods without a loss are omitted.
void writeTimeline(std::ostream& out, const RunOutcome& run) {
  for (std::size_t period = 0; period < run.timeline.size(); ++period) {
    const double begin = common::toSeconds(kTimelinePeriod) * static_cast<double>(period);
    for (const auto& [name, kind] : run.timeline[period]) {
      if (kind.in_time == kind.asked) {
        continue;
      }
      out << "  first seed, from " << std::setprecision(0) << begin << " s, " << name << ": asked "
          << kind.asked << ", first token late " << kind.late_first_token
          << ", between tokens late " << kind.late - kind.late_first_token << ", refused "
          << kind.refused << ", failed " << kind.failed << "\n";
    }
  }
}

void writePolicy(std::ostream& out, const PolicyOutcome& policy) {
  out << policy.policy.name << " (" << policy.runs.size() << " seeds)\n";
  for (const Metric& metric : metrics()) {
    const Spread spread = spreadOf(policy, metric.value);
    out << "  " << std::left << std::setw(24) << metric.name << std::right << std::fixed
        << std::setprecision(metric.decimals) << std::setw(12) << spread.mean << "  ("
        << spread.least << " to " << spread.most << ")\n";
  }
  for (const auto& [name, kind] : policy.runs.front().kinds) {
    out << "  first seed, " << name << ": asked " << kind.asked << ", in time " << kind.in_time
        << ", late " << kind.late << " (first token " << kind.late_first_token << "), refused "
        << kind.refused << ", failed " << kind.failed << "\n";
  }
  writeTimeline(out, policy.runs.front());
  std::size_t shown = 0;
  for (const auto& [message, count] : policy.runs.front().errors) {
    if (shown++ < kShownErrors) {
      out << "  first seed, " << count << " x " << message << "\n";
    }
  }
}

}  // namespace

void writeText(std::ostream& out, const ScenarioOutcome& outcome) {
  out << "scenario " << outcome.scenario << "\n";
  for (const PolicyOutcome& policy : outcome.policies) {
    writePolicy(out, policy);
  }
}

json encodeOutcome(const ScenarioOutcome& outcome) {
  json policies = json::array();
  for (const PolicyOutcome& policy : outcome.policies) {
    json spreads = json::object();
    for (const Metric& metric : metrics()) {
      const Spread spread = spreadOf(policy, metric.value);
      spreads[metric.name] = {
          {"mean", spread.mean}, {"least", spread.least}, {"most", spread.most}};
    }
    policies.push_back({{"policy", policy.policy.name},
                        {"seeds", policy.runs.size()},
                        {"figures", std::move(spreads)}});
  }
  return {{"scenario", outcome.scenario}, {"policies", std::move(policies)}};
}

void writeCsv(std::ostream& out, const ScenarioOutcome& outcome, bool header) {
  if (header) {
    out << "scenario,policy,run";
    for (const Metric& metric : metrics()) {
      out << "," << metric.name;
    }
    out << "\n";
  }
  for (const PolicyOutcome& policy : outcome.policies) {
    for (std::size_t run = 0; run < policy.runs.size(); ++run) {
      out << outcome.scenario << "," << policy.policy.name << "," << run + 1;
      for (const Metric& metric : metrics()) {
        out << "," << std::fixed << std::setprecision(metric.decimals)
            << metric.value(policy.runs[run]);
      }
      out << "\n";
    }
  }
}

}  // namespace cypresswall::bench
