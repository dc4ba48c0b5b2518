#include "bench/load/load_report.h"

#include <array>
#include <iomanip>
#include <string>

namespace cypresswall::bench {

using nlohmann::json;

namespace {

constexpr std::array<double, 3> kPercentiles = {0.5, 0.95, 0.99};
constexpr double kBytesPerMegabyte = 1e6;
constexpr std::size_t kShownErrors = 5;

double toMilliseconds(common::Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

json encodeLatency(const LatencySamples& samples) {
  return {{"count", samples.count()},
          {"p50_ms", toMilliseconds(samples.percentile(0.5))},
          {"p95_ms", toMilliseconds(samples.percentile(0.95))},
          {"p99_ms", toMilliseconds(samples.percentile(0.99))},
          {"max_ms", toMilliseconds(samples.percentile(1))}};
}

json encodeKind(const KindResult& kind) {
  json ends = json::object();
  for (std::size_t index = 0; index < kRequestEnds; ++index) {
    ends[toString(static_cast<RequestEnd>(index))] = kind.ends[index];
  }
  return {{"requests", kind.requests()},
          {"ends", std::move(ends)},
          {"tokens", kind.tokens},
          {"first_token", encodeLatency(kind.first_token)}};
}

double tokensPerSecond(const TargetReport& report) {
  const double seconds = common::toSeconds(report.time);
  return seconds > 0 ? static_cast<double>(report.result.total().tokens) / seconds : 0;
}

/// \return tokens per second of processor time used by the process; zero if it used none.
double tokensPerProcessorSecond(const TargetReport& report, const UsageOfPhase& usage) {
  const double seconds = common::toSeconds(usage.processor_time);
  return seconds > 0 ? static_cast<double>(report.result.total().tokens) / seconds : 0;
}

void writeLatency(std::ostream& out, const std::string& name, const LatencySamples& samples) {
  out << "  " << std::left << std::setw(26) << name << std::right;
  for (const double share : kPercentiles) {
    out << "  p" << std::setprecision(0) << share * 100 << " " << std::setw(9)
        << std::setprecision(3) << toMilliseconds(samples.percentile(share));
  }
  out << "  max " << std::setw(9) << toMilliseconds(samples.percentile(1)) << " ms  ("
      << samples.count() << ")\n";
}

void writeUsage(std::ostream& out, const TargetReport& report, const UsageOfPhase& usage) {
  out << "  " << usage.name << " (" << usage.pid << "): processor " << std::setprecision(2)
      << common::toSeconds(usage.processor_time) << " s, tokens per processor second "
      << std::setprecision(0) << tokensPerProcessorSecond(report, usage) << ", resident "
      << std::setprecision(1) << static_cast<double>(usage.resident_before) / kBytesPerMegabyte
      << " MB before, " << static_cast<double>(usage.resident_peak) / kBytesPerMegabyte
      << " MB at the peak" << (usage.alive ? "" : ", gone at the end") << "\n";
}

void writeEnds(std::ostream& out, const KindResult& kind) {
  out << kind.requests() << " requests:";
  for (std::size_t index = 0; index < kRequestEnds; ++index) {
    if (kind.ends[index] > 0) {
      out << " " << toString(static_cast<RequestEnd>(index)) << " " << kind.ends[index];
    }
  }
  out << "\n";
}

void writeTarget(std::ostream& out, const TargetReport& report) {
  const KindResult total = report.result.total();
  out << report.name << ": ";
  writeEnds(out, total);
  for (const auto& [name, kind] : report.result.kinds) {
    writeLatency(out, "first token, " + name, kind.first_token);
  }
  writeLatency(out, "first token, all", total.first_token);
  writeLatency(out, "between tokens", report.result.between_tokens);
  if (report.result.refusal.count() > 0) {
    writeLatency(out, "refusals answered", report.result.refusal);
    out << "  refusals with Retry-After: " << report.result.refusals_with_retry_after << " of "
        << report.result.refusal.count() << "\n";
  }
  out << "  tokens: " << total.tokens << ", " << std::setprecision(0) << tokensPerSecond(report)
      << " a second; sent late: " << report.result.sent_late << "\n";
  for (const UsageOfPhase& usage : report.usages) {
    writeUsage(out, report, usage);
  }
  std::size_t shown = 0;
  for (const auto& [message, count] : report.result.errors) {
    if (shown++ == kShownErrors) {
      break;
    }
    out << "  " << count << " x " << message << "\n";
  }
}

/// Writes the difference between the last target and the first.
void writeDifference(std::ostream& out, const TargetReport& base, const TargetReport& other) {
  const KindResult base_total = base.result.total();
  const KindResult other_total = other.result.total();
  out << other.name << " against " << base.name << ":\n  first token added:";
  for (const double share : kPercentiles) {
    const common::Duration added =
        other_total.first_token.percentile(share) - base_total.first_token.percentile(share);
    out << "  p" << std::setprecision(0) << share * 100 << " " << std::setprecision(3)
        << toMilliseconds(added) << " ms";
  }
  out << "\n  tokens a second, ratio: " << std::setprecision(3)
      << tokensPerSecond(other) / tokensPerSecond(base) << "\n";
}

}  // namespace

void writeText(std::ostream& out, const std::vector<TargetReport>& reports) {
  out << std::fixed;
  for (const TargetReport& report : reports) {
    writeTarget(out, report);
  }
  if (reports.size() > 1) {
    writeDifference(out, reports.front(), reports.back());
  }
}

json encodeReports(const std::vector<TargetReport>& reports) {
  json targets = json::array();
  for (const TargetReport& report : reports) {
    json kinds = json::object();
    for (const auto& [name, kind] : report.result.kinds) {
      kinds[name] = encodeKind(kind);
    }
    json usages = json::array();
    for (const UsageOfPhase& usage : report.usages) {
      usages.push_back({{"name", usage.name},
                        {"pid", usage.pid},
                        {"processor_seconds", common::toSeconds(usage.processor_time)},
                        {"tokens_per_processor_second", tokensPerProcessorSecond(report, usage)},
                        {"resident_before_bytes", usage.resident_before},
                        {"resident_peak_bytes", usage.resident_peak}});
    }
    targets.push_back({{"name", report.name},
                       {"seconds", common::toSeconds(report.time)},
                       {"tokens_per_second", tokensPerSecond(report)},
                       {"kinds", std::move(kinds)},
                       {"total", encodeKind(report.result.total())},
                       {"between_tokens", encodeLatency(report.result.between_tokens)},
                       {"refusals", encodeLatency(report.result.refusal)},
                       {"refusals_with_retry_after", report.result.refusals_with_retry_after},
                       {"sent_late", report.result.sent_late},
                       {"errors", report.result.errors},
                       {"processes", std::move(usages)}});
  }
  return {{"targets", std::move(targets)}};
}

void writeCsv(std::ostream& out, const std::vector<TargetReport>& reports) {
  out << "target,kind,requests";
  for (std::size_t index = 0; index < kRequestEnds; ++index) {
    out << "," << toString(static_cast<RequestEnd>(index));
  }
  out << ",tokens,first_token_p50_ms,first_token_p95_ms,first_token_p99_ms\n" << std::fixed;
  for (const TargetReport& report : reports) {
    for (const auto& [name, kind] : report.result.kinds) {
      out << report.name << "," << name << "," << kind.requests();
      for (const std::uint64_t count : kind.ends) {
        out << "," << count;
      }
      out << "," << kind.tokens;
      for (const double share : kPercentiles) {
        out << "," << std::setprecision(3) << toMilliseconds(kind.first_token.percentile(share));
      }
      out << "\n";
    }
  }
}

}  // namespace cypresswall::bench
