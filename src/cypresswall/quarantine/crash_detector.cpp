#include "cypresswall/quarantine/crash_detector.h"

#include <utility>

namespace cypresswall::quarantine {
namespace {

constexpr std::uint32_t kProbeAttempts = 2;

common::Counter& probeCounter(const api::ProcessContext& context, const char* engine) {
  return context.counters.counter("cypresswall_quarantine_engines_asked_total",
                                  "Engines asked whether they still run after a stream broke there",
                                  "engine", engine);
}

}  // namespace

CrashDetector::CrashDetector(const QuarantineSettings& settings, const api::ProcessContext& context,
                             engines::EngineClient& client)
    : settings_(settings),
      context_(context),
      client_(client),
      ended_(probeCounter(context, "ended")),
      alive_(probeCounter(context, "alive")) {}

void CrashDetector::probeEngine(const engines::EngineEndpoint& engine, Callback callback) {
  evictExpired();
  const auto [found, is_new] = probes_.try_emplace(engine.name);
  Probe& probe = found->second;
  if (probe.answered) {
    callback(probe.ended);
    return;
  }
  probe.waiting.push_back(std::move(callback));
  if (is_new) {
    probe.started_at = context_.clock.now();
    sendProbe(engine, 1);
  }
}

void CrashDetector::sendProbe(const engines::EngineEndpoint& engine, std::uint32_t attempt) {
  client_.fetchLoad(engine, [this, engine, attempt](const auto& load) {
    if (!load.ok() && attempt < kProbeAttempts) {
      sendProbe(engine, attempt + 1);
    } else {
      onAnswer(engine.name, !load.ok());
    }
  });
}

void CrashDetector::onAnswer(const common::EngineName& engine, bool ended) {
  (ended ? ended_ : alive_).add();
  Probe& probe = probes_[engine];
  probe.answered = true;
  probe.ended = ended;
  for (const Callback& callback : std::exchange(probe.waiting, {})) {
    callback(ended);
  }
}

void CrashDetector::evictExpired() {
  const auto now = context_.clock.now();
  std::erase_if(probes_, [&](const auto& entry) {
    const Probe& probe = entry.second;
    return probe.answered && now - probe.started_at > settings_.probe_validity;
  });
}

}  // namespace cypresswall::quarantine
