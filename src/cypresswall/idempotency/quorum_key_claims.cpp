#include "cypresswall/idempotency/quorum_key_claims.h"

#include <utility>

namespace cypresswall::idempotency {
namespace {

/// Given-up claims that are remembered; older ones stay in progress until their retention ends.
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
                                 lease::AuthorityView& authority, lease::QuorumLog& log,
                                 membership::MembershipView& membership)
    : settings_(settings),
      context_(context),
      authority_(authority),
      table_(settings, context, authority, log, membership),
      unavailable_count_(context.counters.counter("cypresswall_claims_unavailable_total",
                                                  "Claims given up without an answer")),
      resent_count_(context.counters.counter("cypresswall_claims_resent_total",
                                             "Claims and reports sent again")),
      late_count_(context.counters.counter("cypresswall_claims_late_answers_total",
                                           "Answers to claims that were not waited for")),
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

void QuorumKeyClaims::claim(const std::string& key, std::uint64_t digest,
                            std::function<void(ClaimAnswer)> callback) {
  const std::uint64_t number = ++next_number_;
  Waiting waiting{ClaimRequest{{context_.self, number}, key, digest},
                  context_.clock.now() + settings_.claim_timeout, std::move(callback)};
  waiting_[number] = std::move(waiting);
  sendClaim(number);
}

void QuorumKeyClaims::sendClaim(std::uint64_t number) {
  const auto waiting = waiting_.find(number);
  if (waiting == waiting_.end()) {
    return;
  }
  if (context_.clock.now() >= waiting->second.deadline) {
    unavailable_count_.add();
    abandoned_[number] = waiting->second.request;
    if (abandoned_.size() > kRememberedAbandoned) {
      abandoned_.erase(abandoned_.begin());
    }
    finish(number, ClaimAnswer{ClaimVerdict::kUnavailable, {}, settings_.retry_after});
    return;
  }
  const auto holder = authority_.believedHolder();
  if (!holder.empty()) {
    deliver(holder, waiting->second.request);
  }
  context_.scheduler.schedule(settings_.resend_interval, [this, number] {
    resent_count_.add(waiting_.contains(number) ? 1 : 0);
    sendClaim(number);
  });
}

void QuorumKeyClaims::finish(std::uint64_t number, ClaimAnswer answer) {
  const auto waiting = waiting_.extract(number);
  waiting.mapped().callback(std::move(answer));
}

void QuorumKeyClaims::handle(const common::NodeId& sender, const ClaimRequest& request) {
  table_.claim(request, [this, sender](const ClaimReply& reply) { deliver(sender, reply); });
}

void QuorumKeyClaims::handle(const common::NodeId&, const ClaimReply& reply) {
  const auto waiting = waiting_.find(reply.claim.number);
  if (reply.claim.node != context_.self || waiting == waiting_.end()) {
    late_count_.add();
    giveBackAbandoned(reply);
    return;
  }
  if (reply.verdict == HolderVerdict::kNotHolder) {
    return;  // sent again, perhaps to another node
  }
  const ClaimRequest request = waiting->second.request;
  if (reply.verdict == HolderVerdict::kGranted) {
    running_[request.key] = Running{request.claim, request.digest};
  }
  finish(reply.claim.number,
         ClaimAnswer{toVerdict(reply.verdict), reply.recorded_answer,
                     common::Duration(static_cast<std::int64_t>(reply.retry_after_us))});
}

void QuorumKeyClaims::giveBackAbandoned(const ClaimReply& reply) {
  const auto abandoned = abandoned_.find(reply.claim.number);
  const bool granted = reply.verdict == HolderVerdict::kGranted;
  if (!granted || reply.claim.node != context_.self || abandoned == abandoned_.end()) {
    return;
  }
  const ClaimRequest request = abandoned->second;
  reports_[request.claim.number] =
      Report{ClaimReport{request.claim, request.key, request.digest, false, {}},
             context_.clock.now() + settings_.report_timeout};
  sendReport(request.claim.number);
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
  const ClaimId claim = running.mapped().claim;
  if (answer.size() > settings_.maximum_answer_bytes) {
    answer.clear();
  }
  if (!completed) {
    abandoned_[claim.number] = ClaimRequest{claim, key, running.mapped().digest};
  }
  reports_[claim.number] =
      Report{ClaimReport{claim, key, running.mapped().digest, completed, std::move(answer)},
             context_.clock.now() + settings_.report_timeout};
  sendReport(claim.number);
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
  const auto holder = authority_.believedHolder();
  if (!holder.empty()) {
    deliver(holder, report->second.report);
  }
  context_.scheduler.schedule(settings_.report_interval, [this, number] {
    resent_count_.add(reports_.contains(number) ? 1 : 0);
    sendReport(number);
  });
}

void QuorumKeyClaims::handle(const common::NodeId& sender, const ClaimReport& report) {
  table_.report(report,
                [this, sender, claim = report.claim] { deliver(sender, ClaimReportReply{claim}); });
}

void QuorumKeyClaims::handle(const common::NodeId&, const ClaimReportReply& reply) {
  if (reply.claim.node == context_.self) {
    reports_.erase(reply.claim.number);
  }
}

}  // namespace cypresswall::idempotency
