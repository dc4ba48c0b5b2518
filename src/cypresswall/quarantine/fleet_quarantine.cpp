#include "cypresswall/quarantine/fleet_quarantine.h"

#include <algorithm>

#include "cypresswall/common/prompt.h"
#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::quarantine {
namespace {

/// Number of nodes that count the crashes under one request, so that one of them may be lost or
/// isolated.
constexpr std::size_t kCountingNodes = 2;
/// Maximum number of requests in one periodic announcement, which is then about 900 bytes. A longer
/// list is spread over successive announcements.
constexpr std::size_t kRequestsPerAnnouncement = 64;

common::Duration timeLeft(const QuarantinedRequest& request) {
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
      observed_(settings),
      counted_(settings),
      list_(settings),
      answered_(settings),
      stored_(settings, context, membership, store,
              {[this] { return eligibleNodes(); }, [this] { return fingerprints(); },
               [this](const std::vector<common::RequestFingerprint>& requests) {
                 for (const auto request : requests) {
                   quarantineForZone(request, "store");
                 }
               }}),
      crashes_(context.counters.counter("cypresswall_quarantine_crashes_seen_total",
                                        "Streams of this node whose engine ended under them")),
      refused_(context.counters.counter("cypresswall_quarantine_refused_total",
                                        "Requests not sent since engines end under them")),
      added_(context.counters.counter("cypresswall_quarantine_added_total",
                                      "Requests that this node began to keep from engines")),
      released_(
          context.counters.counter("cypresswall_quarantine_let_go_total",
                                   "Requests kept from engines that turned out to be answered")),
      size_gauge_(context.counters.gauge("cypresswall_quarantine_requests",
                                         "Requests that are kept from engines")) {
  context_.dispatcher.handle<CrashReport>(
      [this](const common::NodeId&, const CrashReport& report) { onReport(report); });
  context_.dispatcher.handle<QuarantineNotice>(
      [this](const common::NodeId& sender, const QuarantineNotice& notice) {
        onNotice(sender, notice);
      });
}

void FleetQuarantine::start() {
  if (!settings_.quarantines) {
    return;
  }
  stored_.start();
  announcePeriodically();
}

std::optional<common::Duration> FleetQuarantine::quarantinedFor(
    const common::RequestContent& content) {
  const common::RequestFingerprint request = content.request;
  const auto now = context_.clock.now();
  if (!list_.remaining(request, now)) {
    return std::nullopt;
  }
  refused_.add();
  list_.add(request, settings_.memory, now);
  return settings_.memory;
}

void FleetQuarantine::streamBroken(const common::RequestContent& content,
                                   const engines::EngineEndpoint& engine, bool output_began) {
  if (!settings_.quarantines || content.request == 0) {
    return;
  }
  detector_.probeEngine(engine, [this, content, name = engine.name, output_began](bool ended) {
    if (ended) {
      onEngineSilent(content, name, output_began);
    }
  });
}

void FleetQuarantine::onEngineSilent(const common::RequestContent& content, const std::string& name,
                                     bool output_began) {
  if (server_path_ == nullptr) {
    streamCrashed(content, name, output_began);
    return;
  }
  server_path_->check([this, content, name, output_began](bool works) {
    if (works) {
      streamCrashed(content, name, output_began);
    }
  });
}

void FleetQuarantine::streamCrashed(const common::RequestContent& content, const std::string& name,
                                    bool output_began) {
  common::LogEvent(context_.log, common::LogLevel::kInfo, "engine_crashed_under_request")
      .field("fingerprint", common::toString(content.request))
      .field("parts", common::sharedPartsText(content))
      .field("engine", name)
      .field("output_began", output_began);
  crashed(content.request, name);
}

void FleetQuarantine::callBroken(common::RequestFingerprint request,
                                 const common::Address& backend) {
  const bool path_lost = server_path_ != nullptr && server_path_->lost();
  if (settings_.quarantines && request != 0 && !path_lost) {
    crashed(request, backend);
  }
}

void FleetQuarantine::crashed(common::RequestFingerprint request, const std::string& name) {
  const auto now = context_.clock.now();
  crashes_.add();
  observed_.add(request, common::hash64(name), now, now);
  report({request, observed_.all(request, now)});
}

void FleetQuarantine::answered(const common::RequestContent& content) {
  const common::RequestFingerprint request = content.request;
  if (!settings_.quarantines || request == 0) {
    return;
  }
  const auto now = context_.clock.now();
  answered_.add(request, now);
  if (observed_.forget(request)) {
    report({request, {}});
  }
  // A request that was sent before it was quarantined may be answered during its quarantine, which
  // then ends.
  if (list_.remaining(request, now) && release(request)) {
    notifyPeers({{request, 0}});
  }
}

void FleetQuarantine::report(const CrashReport& report) {
  for (const auto& node : membership::rendezvousNodes(common::toString(report.request),
                                                      eligibleNodes(), kCountingNodes)) {
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
  quarantineForZone(report.request, "crashes");
}

void FleetQuarantine::quarantineForZone(common::RequestFingerprint request, const char* source) {
  const QuarantinedRequest kept{request, quarantineMilliseconds()};
  if (answered_.contains(request, context_.clock.now())) {
    counted_.forget(request);
  } else if (addToList(kept, source)) {
    notifyPeers({kept});
  }
}

void FleetQuarantine::onNotice(const common::NodeId& sender, const QuarantineNotice& notice) {
  if (!settings_.quarantines) {
    return;
  }
  std::vector<QuarantinedRequest> updates;
  std::vector<QuarantinedRequest> releases;
  for (const QuarantinedRequest& entry : notice.requests) {
    if (entry.milliseconds_left == 0) {
      if (release(entry.request)) {
        updates.push_back(entry);
      }
    } else if (answered_.contains(entry.request, context_.clock.now())) {
      releases.push_back({entry.request, 0});
    } else if (addToList(entry, "peer")) {
      updates.push_back(entry);
    }
  }
  if (!releases.empty()) {
    context_.sendTo(sender, QuarantineNotice{releases});
  }
  if (!updates.empty()) {
    notifyPeers(updates);
  }
}

bool FleetQuarantine::release(common::RequestFingerprint request) {
  const auto now = context_.clock.now();
  const bool kept = list_.remaining(request, now).has_value();
  counted_.forget(request);
  list_.remove(request);
  if (!answered_.contains(request, now)) {
    answered_.add(request, now);
  } else if (!kept) {
    return false;
  }
  released_.add(kept ? 1 : 0);
  listChanged();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "request_let_go")
      .field("fingerprint", common::toString(request))
      .field("kept", kept);
  return true;
}

bool FleetQuarantine::addToList(const QuarantinedRequest& kept, const char* source) {
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
  size_gauge_.set(static_cast<double>(list_.size()));
  stored_.listChanged();
}

std::uint32_t FleetQuarantine::quarantineMilliseconds() const {
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.memory);
  return static_cast<std::uint32_t>(time.count());
}

void FleetQuarantine::notifyPeers(const std::vector<QuarantinedRequest>& requests) {
  context_.sendToAll(peers_.updateReceivers(), QuarantineNotice{requests});
}

void FleetQuarantine::announcePeriodically() {
  context_.scheduler.schedule(settings_.announcement_interval, [this] { announcePeriodically(); });
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
  QuarantineNotice notice;
  const auto count = std::min(requests.size(), kRequestsPerAnnouncement);
  for (std::size_t i = 0; i < count; ++i) {
    notice.requests.push_back(requests[next_announced_++ % requests.size()]);
  }
  context_.sendToAll(receivers, notice);
}

std::vector<QuarantinedRequest> FleetQuarantine::all() const {
  return list_.all(context_.clock.now());
}

std::vector<common::RequestFingerprint> FleetQuarantine::fingerprints() const {
  std::vector<common::RequestFingerprint> requests;
  for (const QuarantinedRequest& kept : all()) {
    requests.push_back(kept.request);
  }
  return requests;
}

std::vector<common::NodeId> FleetQuarantine::eligibleNodes() const {
  std::vector<common::NodeId> nodes;
  for (const membership::Member& member : membership_.members()) {
    if (member.state == membership::MemberState::kAlive && peers_.handles(member.node)) {
      nodes.push_back(member.node);
    }
  }
  return nodes;
}

}  // namespace cypresswall::quarantine
