/// Process context on virtual time, and fakes required by all executors.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/admission/admission.h"
#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/duties/usage_recorder.h"
#include "cypresswall/fleet_limits/rate_limiter.h"
#include "cypresswall/quarantine/request_quarantine.h"
#include "cypresswall/simulation/virtual_time.h"

namespace cypresswall::testing {

class NullTransport final : public api::PeerTransport {
 public:
  void send(api::Envelope) override {}
};

/// Clock that runs ahead of the timers, as seen by a process that resumes after a pause.
class LateClock final : public common::Clock {
 public:
  explicit LateClock(const common::Clock& timers) : timers_(timers) {}
  common::MonotonicTime now() const override { return timers_.now() + late_by; }

  common::Duration late_by{0};

 private:
  const common::Clock& timers_;
};

/// A process without peers.
struct ProcessFixture {
  explicit ProcessFixture(std::uint64_t seed = 1) : random(seed) {}

  simulation::VirtualTime time;
  LateClock clock{time};
  common::SeededRandom random;
  common::CounterRegistry counters;
  NullTransport transport;
  api::MessageDispatcher dispatcher;
  api::ProcessContext context{common::NodeId{"127.0.0.1:1", 7},
                              "quay",
                              clock,
                              time,
                              random,
                              common::nullLogSink(),
                              counters,
                              transport,
                              dispatcher};
};

class FixedConfiguration final : public configuration::ConfigurationView {
 public:
  std::shared_ptr<const configuration::FleetConfiguration> current() const override {
    return std::make_shared<const configuration::FleetConfiguration>(fleet);
  }
  void onChange(std::function<void(const configuration::FleetConfiguration&)>) override {}

  configuration::FleetConfiguration fleet;
};

/// Quarantines the requests set by the test and records all reports.
class FakeQuarantine final : public quarantine::RequestQuarantine {
 public:
  std::optional<common::Duration> quarantinedFor(const common::RequestContent& content) override {
    return quarantined.contains(content.request)
               ? std::optional<common::Duration>(std::chrono::minutes(1))
               : std::nullopt;
  }
  void streamBroken(const common::RequestContent& content, const engines::EngineEndpoint& engine,
                    quarantine::OutputProgress progress) override {
    progress_of_broken.push_back(progress);
    broken.emplace_back(content.request, engine.name);
  }
  void callBroken(common::RequestFingerprint request, const common::Address& backend) override {
    broken.emplace_back(request, backend);
  }
  void answered(const common::RequestContent& content) override {
    answers.push_back(content.request);
  }

  std::set<common::RequestFingerprint> quarantined;
  std::vector<std::pair<common::RequestFingerprint, std::string>> broken;
  /// Of the broken streams, in order.
  std::vector<quarantine::OutputProgress> progress_of_broken;
  std::vector<common::RequestFingerprint> answers;
};

/// Records reported rate limits and refuses permits for the servers set by the test.
class FakeRateLimiter final : public fleet_limits::RateLimiter {
 public:
  void answered(const std::string& server, const common::RateLimitNotice& notice,
                common::MonotonicTime) override {
    notices.emplace_back(server, notice);
  }
  bool limited(const std::string& server) const override {
    return refusing.contains(server) || known.contains(server);
  }
  void acquire(const std::string& server, fleet_limits::PermitCallback done) override {
    const bool granted = !refusing.contains(server);
    (granted ? granted_to : refused_to).push_back(server);
    if (answers_late) {
      late.push_back([done = std::move(done), granted] { done(granted); });
    } else {
      done(granted);
    }
  }
  /// Delivers all delayed answers.
  void answerAll() {
    for (const auto& answer : std::exchange(late, {})) {
      answer();
    }
  }
  std::vector<std::string> exhausted() override { return {known.begin(), known.end()}; }
  common::Duration retryAfter(const std::string&, const std::vector<std::string>&,
                              std::size_t) override {
    return retry_after;
  }

  /// Servers for which permits are refused.
  std::set<std::string> refusing;
  /// Servers whose rate limit is known to be exhausted.
  std::set<std::string> known;
  std::vector<std::string> granted_to;
  std::vector<std::string> refused_to;
  /// If true, permits are only answered by answerAll(), as if another node had to be asked.
  bool answers_late = false;
  std::vector<std::function<void()>> late;
  common::Duration retry_after = std::chrono::milliseconds(1700);
  std::vector<std::pair<std::string, common::RateLimitNotice>> notices;
};

/// Counts started requests per tenant.
class FakeUsage final : public duties::UsageRecorder {
 public:
  void requestBegan(const common::TenantName& tenant) override { ++began[tenant]; }

  std::map<common::TenantName, int> began;
};

/// Admits everything unless `refusal` is set, and counts requests that were not released.
class FakeAdmission final : public admission::AdmissionController {
 public:
  std::optional<admission::Refusal> admit(const admission::AdmissionRequest&) override {
    if (!refusal) {
      ++held;
    }
    return refusal;
  }
  void released(const admission::AdmissionRequest&) override { --held; }

  std::optional<admission::Refusal> refusal;
  int held = 0;
};

}  // namespace cypresswall::testing
