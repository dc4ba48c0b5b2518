#include "cypresswall/quarantine/fleet_quarantine.h"

#include <algorithm>
#include <utility>

#include "cypresswall/common/prompt.h"
#include "cypresswall/membership/alive_nodes.h"
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
                                 engines::EngineClient& client, object_store::ObjectStore& store,
                                 const common::TimeOfDay& time_of_day)
    : settings_(settings),
      context_(context),
      membership_(membership),
      peers_(neighbours, context, membership, api::MessageSet::kQuarantine),
      detector_(settings, context, client),
      observed_(settings),
      counted_(settings),
      list_(settings),
      answered_(settings),
      answered_parts_(settings),
      examinations_(settings, context, membership, peers_, answered_parts_,
                    [this](common::RequestFingerprint part,
                           const std::set<common::NodeId>& reporters) { decide(part, reporters); }),
      stored_(settings, context, membership, store, time_of_day,
              {[this] { return eligibleNodes(); }, [this] { return fingerprints(); },
               [this](const std::vector<common::RequestFingerprint>& requests) {
                 for (const auto request : requests) {
                   quarantineForZone({request, quarantineMilliseconds(), 0}, "store");
                 }
               },
               [this] { return crashesToStore(); },
               [this](const std::vector<RequestCrashes>& crashes) {
                 for (const RequestCrashes& of_request : crashes) {
                   counted_.restore(of_request, context_.clock.now());
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
      [this](const common::NodeId& sender, const CrashReport& report) {
        onReport(sender, report);
      });
  context_.dispatcher.handle<AnsweredPart>(
      [this](const common::NodeId&, const AnsweredPart& answer) { onPartAnswered(answer.part); });
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

/// A part is quarantined for a fixed time, however often it comes: if it was blamed wrongly,
/// nothing else would show it, since no prompt with the part is answered any more.
std::optional<common::Duration> FleetQuarantine::quarantinedFor(
    const common::RequestContent& content) {
  const auto now = context_.clock.now();
  if (list_.remaining(content.request, now)) {
    refused_.add();
    list_.add(content.request, settings_.memory, now);
    return settings_.memory;
  }
  for (const common::RequestFingerprint part : content.shared_parts) {
    if (const auto remaining = list_.remaining(part, now)) {
      refused_.add();
      return remaining;
    }
  }
  return std::nullopt;
}

void FleetQuarantine::streamBroken(const common::RequestContent& content,
                                   const engines::EngineEndpoint& engine, OutputProgress progress) {
  if (!settings_.quarantines || content.request == 0) {
    return;
  }
  detector_.probeEngine(engine, [this, content, name = engine.name, progress](bool ended) {
    if (ended) {
      onEngineSilent(content, name, progress);
    }
  });
}

void FleetQuarantine::onEngineSilent(const common::RequestContent& content, const std::string& name,
                                     OutputProgress progress) {
  if (server_path_ == nullptr) {
    streamCrashed(content, name, progress);
    return;
  }
  server_path_->check([this, content, name, progress](bool works) {
    if (works) {
      streamCrashed(content, name, progress);
    }
  });
}

void FleetQuarantine::streamCrashed(const common::RequestContent& content, const std::string& name,
                                    OutputProgress progress) {
  // Few streams on an engine have given their first token only, so that one of them is hardly there
  // by chance.
  const bool output_began = progress == OutputProgress::kUnderWay;
  common::LogEvent(context_.log, common::LogLevel::kInfo, "engine_crashed_under_request")
      .field("fingerprint", common::toString(content.request))
      .field("parts", common::sharedPartsText(content))
      .field("engine", name)
      .field("output_began", output_began);
  crashes_.add();
  CrashObservation crash;
  crash.output_began = output_began;
  crashed(content.request, false, name, crash);
  if (progress == OutputProgress::kUnderWay) {
    return;
  }
  const auto& parts = content.shared_parts;
  const auto count = std::min(parts.size(), kMaximumOtherParts);
  for (std::size_t index = 0; index < count; ++index) {
    const auto part = parts.begin() + static_cast<std::ptrdiff_t>(index);
    crash.earlier_parts.assign(parts.begin(), part);
    crash.later_parts.assign(part + 1, parts.begin() + static_cast<std::ptrdiff_t>(count));
    crashed(*part, true, name, crash);
  }
}

void FleetQuarantine::callBroken(common::RequestFingerprint request,
                                 const common::Address& backend) {
  const bool path_lost = server_path_ != nullptr && server_path_->lost();
  if (settings_.quarantines && request != 0 && !path_lost) {
    crashes_.add();
    crashed(request, false, backend, {});
  }
}

void FleetQuarantine::crashed(common::RequestFingerprint fingerprint, bool is_part,
                              const std::string& name, CrashObservation crash) {
  const auto now = context_.clock.now();
  crash.engine = common::hash64(name);
  crash.at = now;
  observed_.add(fingerprint, crash, now);
  report({fingerprint, observed_.all(fingerprint, now), is_part, 0});
}

void FleetQuarantine::answered(const common::RequestContent& content) {
  if (!settings_.quarantines || content.request == 0) {
    return;
  }
  const auto now = context_.clock.now();
  answered_.add(content.request, now);
  clear(content.request, false);
  for (const common::RequestFingerprint part : content.shared_parts) {
    answered_parts_.add(part, now);
    clear(part, true);
    blameOtherParts(part);
  }
}

/// A request that was sent before it was quarantined may be answered during its quarantine, which
/// then ends.
void FleetQuarantine::clear(common::RequestFingerprint fingerprint, bool is_part) {
  if (observed_.forget(fingerprint)) {
    report({fingerprint, {}, is_part, 0});
  }
  if (list_.remaining(fingerprint, context_.clock.now()) && release(fingerprint)) {
    notifyPeers({{fingerprint, 0, 0}});
  }
}

void FleetQuarantine::blameOtherParts(common::RequestFingerprint part) {
  const auto now = context_.clock.now();
  for (const common::RequestFingerprint before : observed_.exonerate(part)) {
    // A report without crashes would mean that the part was answered.
    if (auto crashes = observed_.all(before, now); !crashes.empty()) {
      report({before, std::move(crashes), true, part});
    }
  }
}

void FleetQuarantine::report(const CrashReport& report) {
  for (const common::NodeId& node : countingNodes(report.request)) {
    if (node == context_.self) {
      onReport(context_.self, report);
    } else {
      context_.sendTo(node, report);
    }
  }
}

void FleetQuarantine::onReport(const common::NodeId& sender, const CrashReport& report) {
  if (!settings_.quarantines || report.request == 0) {
    return;
  }
  if (report.crashes.empty()) {
    counted_.forget(report.request);
    return;
  }
  const auto now = context_.clock.now();
  if (report.exonerated_part != 0) {
    answered_parts_.add(report.exonerated_part, now);
    counted_.exonerate(report.exonerated_part);
  }
  for (const EngineCrash& crash : report.crashes) {
    counted_.add(report.request, observationOf(crash), now);
  }
  stored_.crashAdded();
  const bool is_void = report.is_part && voidIfAnswered({sender}, report.request);
  if (is_void || !counted_.mightSuffice(report.request, now)) {
    return;
  }
  if (report.is_part) {
    auto parts = counted_.otherParts(report.request);
    parts.push_back(report.request);
    examinations_.begin(report.request, sender, parts);
  } else {
    quarantineForZone({report.request, quarantineMilliseconds(), 0}, "crashes");
  }
}

std::set<common::NodeId> FleetQuarantine::countingNodes(common::RequestFingerprint request) const {
  const auto counting =
      membership::rendezvousNodes(common::toString(request), eligibleNodes(), kCountingNodes);
  std::set<common::NodeId> nodes(counting.begin(), counting.end());
  for (const common::NodeId& owner : stored_.owners()) {
    nodes.insert(owner);
  }
  return nodes;
}

std::vector<RequestCrashes> FleetQuarantine::crashesToStore() const {
  const auto now = context_.clock.now();
  auto all = counted_.all(now);
  std::erase_if(all, [&](const RequestCrashes& of_request) {
    const auto first_crash = counted_.firstCrash(of_request.request, now);
    return list_.remaining(of_request.request, now) ||
           answered_.contains(of_request.request, now) ||
           answered_parts_.answeredSince(of_request.request, first_crash);
  });
  return all;
}

void FleetQuarantine::decide(common::RequestFingerprint part,
                             const std::set<common::NodeId>& reporters) {
  const auto now = context_.clock.now();
  const bool answered = voidIfAnswered(reporters, part);
  const bool blamed = !answered && counted_.suffices(part, answered_parts_, now);
  common::LogEvent(context_.log, common::LogLevel::kInfo, "part_examined")
      .field("fingerprint", common::toString(part))
      .field("crashes", counted_.crashes(part, now))
      .field("answered", answered)
      .field("blamed", blamed);
  if (blamed) {
    const auto since = counted_.firstCrash(part, now);
    quarantineForZone(
        {part, quarantineMilliseconds(), std::max(common::millisecondsOf(now - since), 1U)},
        "crashes");
  }
}

CrashObservation FleetQuarantine::observationOf(const EngineCrash& crash) const {
  const common::Duration age = std::chrono::milliseconds(crash.age_milliseconds);
  CrashObservation observation{crash.engine, crash.output_began, context_.clock.now() - age,
                               crash.earlier_parts, crash.later_parts};
  if (observation.later_parts.empty() && crash.next_part != 0) {
    observation.later_parts.push_back(crash.next_part);
  }
  return observation;
}

bool FleetQuarantine::voidIfAnswered(const std::set<common::NodeId>& senders,
                                     common::RequestFingerprint part) {
  const auto first_crash = counted_.firstCrash(part, context_.clock.now());
  if (!answered_parts_.answeredSince(part, first_crash)) {
    return false;
  }
  counted_.forget(part);
  for (const common::NodeId& sender : senders) {
    if (sender == context_.self) {
      onPartAnswered(part);
    } else if (membership_.handles(sender, api::MessageSet::kAnsweredParts)) {
      context_.sendTo(sender, AnsweredPart{part});
    }
  }
  return true;
}

void FleetQuarantine::onPartAnswered(common::RequestFingerprint part) {
  observed_.forget(part);
  blameOtherParts(part);
}

void FleetQuarantine::quarantineForZone(const QuarantinedRequest& kept, const char* source) {
  if (contradictedByAnswer(kept)) {
    counted_.forget(kept.request);
  } else if (addToList(kept, source)) {
    notifyPeers({kept});
  }
}

bool FleetQuarantine::contradictedByAnswer(const QuarantinedRequest& kept) const {
  const auto now = context_.clock.now();
  if (kept.evidence_milliseconds == 0) {
    return answered_.contains(kept.request, now);
  }
  const common::Duration evidence = std::chrono::milliseconds(kept.evidence_milliseconds);
  return answered_parts_.answeredSince(kept.request, now - evidence);
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
    } else if (contradictedByAnswer(entry)) {
      releases.push_back({entry.request, 0, 0});
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
  observed_.forget(request);
  list_.remove(request);
  // Notices that were sent before the release may still arrive; they must not begin a quarantine.
  answered_parts_.add(request, now);
  blameOtherParts(request);
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
  const bool is_part = kept.evidence_milliseconds != 0;
  const common::Duration evidence = std::chrono::milliseconds(kept.evidence_milliseconds);
  if (kept.request == 0 ||
      !list_.add(kept.request, timeLeft(kept), now,
                 is_part ? std::make_optional(now - evidence) : std::nullopt)) {
    return false;
  }
  added_.add();
  listChanged();
  common::LogEvent(context_.log, common::LogLevel::kWarning, "request_quarantined")
      .field("fingerprint", common::toString(kept.request))
      .field("part", is_part)
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
  return common::millisecondsOf(settings_.memory);
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
  return membership::aliveNodes(membership_, api::MessageSet::kQuarantine);
}

}  // namespace cypresswall::quarantine
