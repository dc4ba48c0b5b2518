#include "cypresswall/idempotency/quorum_key_claims.h"

#include <utility>

namespace cypresswall::idempotency {
namespace {

/// Maximum number of abandoned claims that are remembered. If an older one is granted late, its
/// claim is not released, and later claims on the key are answered as in progress until the
/// retention ends.
constexpr std::size_t kRememberedAbandoned = 4096;

ClaimVerdict toVerdict(HolderVerdict verdict) {
  switch (verdict) {
    case HolderVerdict::kGranted:
      return ClaimVerdict::kGranted;
    case HolderVerdict::kCompleted:
      return ClaimVerdict::kCompleted;
    case HolderVerdict::kInProgress:
      return ClaimVerdict::kInProgress;
    case HolderVerdict::kDifferentBody:
      return ClaimVerdict::kDifferentBody;
    case HolderVerdict::kUncertain:
      return ClaimVerdict::kUncertain;
    default:
      return ClaimVerdict::kUnavailable;
  }
}

}  // namespace

QuorumKeyClaims::QuorumKeyClaims(ClaimSettings settings, const api::ProcessContext& context,
                                 const ClaimInterfaces& interfaces)
    : settings_(settings),
      context_(context),
      authority_(interfaces.authority),
      gossip_(interfaces.gossip),
      ownership_(context.zone, interfaces.configuration),
      table_(settings, context, interfaces.authority, interfaces.log, interfaces.membership,
             ownership_),
      unavailable_count_(context.counters.counter("cypresswall_claims_unavailable_total",
                                                  "Claims given up without an answer")),
      resent_count_(context.counters.counter("cypresswall_claims_resent_total",
                                             "Claims and reports sent again")),
      late_count_(context.counters.counter("cypresswall_claims_late_answers_total",
                                           "Answers to claims that were not waited for")),
      forwarded_count_(context.counters.counter("cypresswall_claims_passed_on_total",
                                                "Claims and reports of other zones passed on to "
                                                "the lease holder")),
      report_lost_count_(context.counters.counter("cypresswall_claim_reports_lost_total",
                                                  "Reports of ended claims given up")) {
  auto& dispatcher = context_.dispatcher;
  dispatcher.handle<ClaimRequest>(
      [this](const common::NodeId& sender, const auto& message) { handle(sender, message); });
  dispatcher.handle<ClaimReply>(
      [this](const common::NodeId& sender, const auto& message) { handle(sender, message); });
  dispatcher.handle<ClaimReport>(
      [this](const common::NodeId& sender, const auto& message) { handle(sender, message); });
  dispatcher.handle<ClaimReportReply>(
      [this](const common::NodeId& sender, const auto& message) { handle(sender, message); });
}

template <typename Message>
void QuorumKeyClaims::deliver(const common::NodeId& node, const Message& message) {
  if (node != context_.self) {
    context_.sendTo(node, message);
    return;
  }
  context_.scheduler.schedule(common::Duration(0),
                              [this, message] { handle(context_.self, message); });
}

/// Sends the message to the lease holder if this node's zone is the owner, otherwise to a node of
/// the owning zone, which forwards it to the holder there. Each attempt uses the next known node of
/// the owning zone.
template <typename Message>
void QuorumKeyClaims::sendToOwner(const common::ZoneName& owner, const Message& message,
                                  std::size_t attempt) {
  if (owner == context_.zone) {
    const auto holder = authority_.believedHolder();
    if (!holder.empty()) {
      deliver(holder, message);
    }
    return;
  }
  const auto contacts = gossip_.contactsOf(owner);
  if (!contacts.empty()) {
    context_.sendToAddress(contacts[(message.claim.number + attempt) % contacts.size()], message);
  }
}

/// Forwards a message of another zone to the holder if this node does not hold the lease.
/// \return true if this node must not process the message itself
template <typename Message>
bool QuorumKeyClaims::forwardToHolder(const Message& message) {
  if (message.forwarded || message.zone == context_.zone || authority_.heldEpoch()) {
    return false;
  }
  const auto holder = authority_.believedHolder();
  if (!holder.empty() && holder != context_.self) {
    forwarded_count_.add();
    Message forwarded = message;
    forwarded.forwarded = true;
    context_.sendTo(holder, forwarded);
  }
  return true;
}

void QuorumKeyClaims::claim(const std::string& key, std::uint64_t digest,
                            std::function<void(ClaimAnswer)> callback) {
  const std::uint64_t number = ++next_number_;
  ClaimRequest request{{context_.self, number}, key, digest};
  request.zone = context_.zone;
  request.zones_version = ownership_.version();
  waiting_[number] = Waiting{std::move(request), ownership_.owner(key),
                             context_.clock.now() + settings_.claim_timeout, std::move(callback)};
  sendClaim(number);
}

void QuorumKeyClaims::sendClaim(std::uint64_t number) {
  const auto waiting = waiting_.find(number);
  if (waiting == waiting_.end()) {
    return;
  }
  if (context_.clock.now() >= waiting->second.deadline) {
    unavailable_count_.add();
    rememberAbandoned({waiting->second.request, waiting->second.owner});
    finish(number, ClaimAnswer{ClaimVerdict::kUnavailable, {}, settings_.retry_after});
    return;
  }
  Waiting& claim = waiting->second;
  const auto interval =
      claim.owner == context_.zone ? settings_.resend_interval : settings_.remote_resend_interval;
  context_.scheduler.schedule(interval, [this, number] {
    resent_count_.add(waiting_.contains(number) ? 1 : 0);
    sendClaim(number);
  });
  sendToOwner(claim.owner, claim.request, claim.sent++);
}

void QuorumKeyClaims::rememberAbandoned(Abandoned abandoned) {
  const auto number = abandoned.request.claim.number;
  abandoned_[number] = std::move(abandoned);
  if (abandoned_.size() > kRememberedAbandoned) {
    abandoned_.erase(abandoned_.begin());
  }
}

void QuorumKeyClaims::finish(std::uint64_t number, ClaimAnswer answer) {
  const auto waiting = waiting_.extract(number);
  waiting.mapped().callback(std::move(answer));
}

void QuorumKeyClaims::handle(const common::NodeId&, const ClaimRequest& request) {
  if (forwardToHolder(request)) {
    return;
  }
  table_.claim(request, [this, claimer = request.claim.node](const ClaimReply& reply) {
    deliver(claimer, reply);
  });
}

void QuorumKeyClaims::handle(const common::NodeId&, const ClaimReply& reply) {
  const auto waiting = waiting_.find(reply.claim.number);
  if (reply.claim.node != context_.self || waiting == waiting_.end()) {
    late_count_.add();
    releaseAbandoned(reply);
    return;
  }
  if (reply.verdict == HolderVerdict::kNotHolder) {
    return;  // The claim is sent again, perhaps to another node.
  }
  const ClaimRequest request = waiting->second.request;
  if (reply.verdict == HolderVerdict::kGranted) {
    running_[request.key] = Running{request.claim, request.digest, waiting->second.owner};
  }
  finish(reply.claim.number,
         ClaimAnswer{toVerdict(reply.verdict), reply.recorded_answer,
                     common::Duration(static_cast<std::int64_t>(reply.retry_after_us))});
}

void QuorumKeyClaims::releaseAbandoned(const ClaimReply& reply) {
  const auto abandoned = abandoned_.find(reply.claim.number);
  const bool granted = reply.verdict == HolderVerdict::kGranted;
  if (!granted || reply.claim.node != context_.self || abandoned == abandoned_.end()) {
    return;
  }
  const ClaimRequest& request = abandoned->second.request;
  startReport(ClaimReport{request.claim, request.key, request.digest, false, {}},
              abandoned->second.owner);
}

void QuorumKeyClaims::complete(const std::string& key, std::string answer) {
  end(key, true, std::move(answer));
}

void QuorumKeyClaims::release(const std::string& key) { end(key, false, {}); }

void QuorumKeyClaims::end(const std::string& key, bool completed, std::string answer) {
  const auto running = running_.extract(key);
  if (running.empty()) {
    return;
  }
  const Running& claim = running.mapped();
  if (answer.size() > settings_.maximum_answer_bytes) {
    answer.clear();
  }
  if (!completed) {
    rememberAbandoned({ClaimRequest{claim.claim, key, claim.digest}, claim.owner});
  }
  startReport(ClaimReport{claim.claim, key, claim.digest, completed, std::move(answer)},
              claim.owner);
}

void QuorumKeyClaims::startReport(ClaimReport report, const common::ZoneName& owner) {
  const auto number = report.claim.number;
  report.zone = context_.zone;
  reports_[number] =
      Report{std::move(report), owner, context_.clock.now() + settings_.report_timeout};
  sendReport(number);
}

void QuorumKeyClaims::sendReport(std::uint64_t number) {
  const auto report = reports_.find(number);
  if (report == reports_.end()) {
    return;
  }
  if (context_.clock.now() >= report->second.deadline) {
    report_lost_count_.add();
    reports_.erase(report);
    return;
  }
  context_.scheduler.schedule(settings_.report_interval, [this, number] {
    resent_count_.add(reports_.contains(number) ? 1 : 0);
    sendReport(number);
  });
  sendToOwner(report->second.owner, report->second.report, report->second.sent++);
}

void QuorumKeyClaims::handle(const common::NodeId&, const ClaimReport& report) {
  if (forwardToHolder(report)) {
    return;
  }
  table_.report(report,
                [this, claim = report.claim] { deliver(claim.node, ClaimReportReply{claim}); });
}

void QuorumKeyClaims::handle(const common::NodeId&, const ClaimReportReply& reply) {
  if (reply.claim.node == context_.self) {
    reports_.erase(reply.claim.number);
  }
}

}  // namespace cypresswall::idempotency
