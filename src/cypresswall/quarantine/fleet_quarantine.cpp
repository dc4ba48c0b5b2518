#include "cypresswall/quarantine/fleet_quarantine.h"

#include <algorithm>

#include "cypresswall/common/prompt.h"
#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::quarantine {
namespace {

/// Nodes that count the crashes of one request: one may end or be cut off.
constexpr std::size_t kCountingNodes = 2;
/// Requests in one repetition, some 900 bytes; a longer list goes out in turns.
constexpr std::size_t kRepeatedRequests = 64;

common::Duration timeLeft(const KeptAwayRequest& request) {
  return std::chrono::milliseconds(request.milliseconds_left);
}

}  // namespace

FleetQuarantine::FleetQuarantine(const QuarantineSettings& settings,
                                 const membership::NeighbourSettings& neighbours,
                                 const api::ProcessContext& context,
                                 membership::MembershipView& membership,
                                 engines::EngineClient& client, object_store::ObjectStore& store)
    : settings_(settings),
      context_(context),
      membership_(membership),
      peers_(neighbours, context, membership, api::MessageSet::kQuarantine),
      detector_(settings, context, client),
      seen_(settings),
      counted_(settings),
      list_(settings),
      answered_(settings),
      stored_(settings, context, membership, store,
              {[this] { return deciders(); }, [this] { return fingerprints(); },
               [this](const std::vector<common::RequestFingerprint>& requests) {
                 for (const auto request : requests) {
                   convict(request, "store");
                 }
               }}),
      crashes_(context.counters.counter("cypresswall_quarantine_crashes_seen_total",
                                        "Streams of this node whose engine ended under them")),
      refused_(context.counters.counter("cypresswall_quarantine_refused_total",
                                        "Requests not sent since engines end under them")),
      added_(context.counters.counter("cypresswall_quarantine_added_total",
                                      "Requests that this node began to keep from engines")),
      let_go_(
          context.counters.counter("cypresswall_quarantine_let_go_total",
                                   "Requests kept from engines that turned out to be answered")),
      kept_gauge_(context.counters.gauge("cypresswall_quarantine_requests",
                                         "Requests that are kept from engines")) {
  context_.dispatcher.handle<CrashReport>(
      [this](const common::NodeId&, const CrashReport& report) { onReport(report); });
  context_.dispatcher.handle<KeptAwayNotice>(
      [this](const common::NodeId& sender, const KeptAwayNotice& notice) {
        onNotice(sender, notice);
      });
}

void FleetQuarantine::start() {
  if (!settings_.quarantines) {
    return;
  }
  stored_.start();
  repeat();
}

std::optional<common::Duration> FleetQuarantine::keptAway(common::RequestFingerprint request) {
  const auto now = context_.clock.now();
  if (!list_.left(request, now)) {
    return std::nullopt;
  }
  refused_.add();
  list_.add(request, settings_.memory, now);
  return settings_.memory;
}

void FleetQuarantine::streamBroken(common::RequestFingerprint request,
                                   const engines::EngineEndpoint& engine) {
  if (!settings_.quarantines || request == 0) {
    return;
  }
  detector_.ask(engine, [this, request, name = engine.name](bool ended) {
    if (ended) {
      crashed(request, name);
    }
  });
}

void FleetQuarantine::callBroken(common::RequestFingerprint request,
                                 const common::Address& backend) {
  if (settings_.quarantines && request != 0) {
    crashed(request, backend);
  }
}

void FleetQuarantine::crashed(common::RequestFingerprint request, const std::string& name) {
  const auto now = context_.clock.now();
  crashes_.add();
  seen_.add(request, common::hash64(name), now, now);
  report({request, seen_.all(request, now)});
}

void FleetQuarantine::answered(common::RequestFingerprint request) {
  if (!settings_.quarantines || request == 0) {
    return;
  }
  const auto now = context_.clock.now();
  answered_.add(request, now);
  if (seen_.forget(request)) {
    report({request, {}});
  }
  // Sent before it was kept away.
  if (list_.left(request, now) && letGo(request)) {
    tellOthers({{request, 0}});
  }
}

void FleetQuarantine::report(const CrashReport& report) {
  for (const auto& node :
       membership::rendezvousNodes(common::toString(report.request), deciders(), kCountingNodes)) {
    if (node == context_.self) {
      onReport(report);
    } else {
      context_.sendTo(node, report);
    }
  }
}

void FleetQuarantine::onReport(const CrashReport& report) {
  if (!settings_.quarantines || report.request == 0) {
    return;
  }
  if (report.crashes.empty()) {
    counted_.forget(report.request);
    return;
  }
  const auto now = context_.clock.now();
  for (const EngineCrash& crash : report.crashes) {
    const common::Duration age = std::chrono::milliseconds(crash.age_milliseconds);
    counted_.add(report.request, crash.engine, now - age, now);
  }
  if (counted_.crashes(report.request, now) < settings_.crashes) {
    return;
  }
  convict(report.request, "crashes");
}

void FleetQuarantine::convict(common::RequestFingerprint request, const char* source) {
  const KeptAwayRequest kept{request, fullTime()};
  if (answered_.contains(request, context_.clock.now())) {
    counted_.forget(request);
  } else if (keepAway(kept, source)) {
    tellOthers({kept});
  }
}

void FleetQuarantine::onNotice(const common::NodeId& sender, const KeptAwayNotice& notice) {
  if (!settings_.quarantines) {
    return;
  }
  std::vector<KeptAwayRequest> news;
  std::vector<KeptAwayRequest> objections;
  for (const KeptAwayRequest& told : notice.requests) {
    if (told.milliseconds_left == 0) {
      if (letGo(told.request)) {
        news.push_back(told);
      }
    } else if (answered_.contains(told.request, context_.clock.now())) {
      objections.push_back({told.request, 0});
    } else if (keepAway(told, "peer")) {
      news.push_back(told);
    }
  }
  if (!objections.empty()) {
    context_.sendTo(sender, KeptAwayNotice{objections});
  }
  if (!news.empty()) {
    tellOthers(news);
  }
}

bool FleetQuarantine::letGo(common::RequestFingerprint request) {
  const auto now = context_.clock.now();
  const bool kept = list_.left(request, now).has_value();
  counted_.forget(request);
  list_.remove(request);
  if (!answered_.contains(request, now)) {
    answered_.add(request, now);
  } else if (!kept) {
    return false;
  }
  let_go_.add(kept ? 1 : 0);
  listChanged();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "request_let_go")
      .field("fingerprint", common::toString(request))
      .field("kept", kept);
  return true;
}

bool FleetQuarantine::keepAway(const KeptAwayRequest& kept, const char* source) {
  const auto now = context_.clock.now();
  if (kept.request == 0 || !list_.add(kept.request, timeLeft(kept), now)) {
    return false;
  }
  added_.add();
  listChanged();
  common::LogEvent(context_.log, common::LogLevel::kWarning, "request_quarantined")
      .field("fingerprint", common::toString(kept.request))
      .field("source", source)
      .field("crashes", counted_.crashes(kept.request, now))
      .field("for_ms", kept.milliseconds_left);
  return true;
}

void FleetQuarantine::listChanged() {
  kept_gauge_.set(static_cast<double>(list_.size()));
  stored_.listChanged();
}

std::uint32_t FleetQuarantine::fullTime() const {
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.memory);
  return static_cast<std::uint32_t>(time.count());
}

void FleetQuarantine::tellOthers(const std::vector<KeptAwayRequest>& requests) {
  context_.sendToAll(peers_.updateReceivers(), KeptAwayNotice{requests});
}

void FleetQuarantine::repeat() {
  context_.scheduler.schedule(settings_.repeat_interval, [this] { repeat(); });
  const auto now = context_.clock.now();
  if (list_.expire(now)) {
    listChanged();
  }
  if (list_.size() == 0) {
    return;
  }
  const auto receivers = peers_.antiEntropyReceivers();
  if (receivers.empty()) {
    return;
  }
  const auto requests = list_.all(now);
  KeptAwayNotice notice;
  const auto count = std::min(requests.size(), kRepeatedRequests);
  for (std::size_t i = 0; i < count; ++i) {
    notice.requests.push_back(requests[repeated_++ % requests.size()]);
  }
  context_.sendToAll(receivers, notice);
}

std::vector<KeptAwayRequest> FleetQuarantine::all() const {
  return list_.all(context_.clock.now());
}

std::vector<common::RequestFingerprint> FleetQuarantine::fingerprints() const {
  std::vector<common::RequestFingerprint> requests;
  for (const KeptAwayRequest& kept : all()) {
    requests.push_back(kept.request);
  }
  return requests;
}

std::vector<common::NodeId> FleetQuarantine::deciders() const {
  std::vector<common::NodeId> nodes;
  for (const membership::Member& member : membership_.members()) {
    if (member.state == membership::MemberState::kAlive && peers_.handles(member.node)) {
      nodes.push_back(member.node);
    }
  }
  return nodes;
}

}  // namespace cypresswall::quarantine
