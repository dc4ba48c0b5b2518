#include "cypresswall/request_trace/diagnosis.h"

#include <fmt/format.h>

#include <algorithm>

#include "cypresswall/request_trace/event_text.h"
#include "cypresswall/request_trace/failure_reason.h"

namespace cypresswall::request_trace {
namespace {

/// A duration counts as abnormally long if it is more than this many times the expected one and
/// also exceeds the expected one by more than kLongMargin.
constexpr int kLongFactor = 2;
constexpr Milliseconds kLongMargin{100};

bool muchLonger(Milliseconds taken, Milliseconds expected) {
  return taken > expected * kLongFactor && taken - expected > kLongMargin;
}

const Attempt* lastFailedAttempt(const TimeLine& time_line) {
  const Attempt* last = nullptr;
  for (const Attempt& attempt : time_line.attempts) {
    last = attempt.failure ? &attempt : last;
  }
  return last;
}

/// \return a text that says whether only `engine` failed or other engines at the same time.
std::string describeEngines(const ConcurrentFailureCounts& counts, const std::string& engine) {
  const std::size_t others = counts.failing_engines.size() - counts.failing_engines.count(engine);
  if (others > 0) {
    return fmt::format(
        "attempts failed at {} other engines within a second ({} gave first tokens): the network "
        "or the engines' platform rather than this engine",
        others, counts.answering_engines.size());
  }
  return counts.answering_engines.empty()
             ? "no other attempt of that second tells whether it is this engine alone"
             : fmt::format(
                   "no attempt failed elsewhere within a second and {} engines gave first "
                   "tokens: this engine alone",
                   counts.answering_engines.size());
}

/// \return a text that says how many other requests failed for the same reason, and on how many
///   nodes.
std::string describeNodes(const ConcurrentFailureCounts& counts) {
  return fmt::format(
      "within a second {} more requests failed so here, and {} at {} of {} other nodes",
      counts.same_failures_here, counts.same_failures_elsewhere, counts.failing_nodes.size(),
      counts.other_nodes.size());
}

std::string attemptCause(const AttemptFailed& failure) {
  switch (failureReasonOf(failure.reason)) {
    case FailureReason::kUnreachable:
      return failure.engine + " was not reached";
    case FailureReason::kBackendTimeout:
      return failure.engine + " had the request and was silent";
    case FailureReason::kConnectionLost:
      return failure.engine + " lost the connection after the request was sent";
    case FailureReason::kEventsOutOfOrder:
      return fmt::format("the events of {} came out of order or twice ({})", failure.engine,
                         failure.reason);
    default:
      return fmt::format("{} failed ({})", failure.engine, failure.reason);
  }
}

std::string failedAttemptCause(const TimeLine& time_line) {
  const AttemptFailed& failure = *lastFailedAttempt(time_line)->failure;
  return attemptCause(failure) + "; " +
         describeEngines(time_line.concurrent_failures, failure.engine);
}

std::string loadCause(const LatencyRefusal& refusal) {
  const Milliseconds without_wait = refusal.expected_first_token - refusal.expected_wait;
  if (without_wait > refusal.limit) {
    return fmt::format(
        "even without its wait of {} the best engine {} is expected to need {} for the first "
        "token, "
        "beyond the limit of {}: slow engines or a short limit rather than load",
        toText(refusal.expected_wait), refusal.engine, toText(without_wait), toText(refusal.limit));
  }
  return fmt::format(
      "load: a wait of {} at the best engine {}, by a report {} old, takes the first "
      "token beyond the limit of {}",
      toText(refusal.expected_wait), refusal.engine, toText(refusal.report_age),
      toText(refusal.limit));
}

std::string noEngineCause(const TimeLine& time_line) {
  const ConcurrentFailureCounts& counts = time_line.concurrent_failures;
  const std::string seen = describeNodes(counts);
  if (counts.other_nodes.empty()) {
    return "the node knew no engine to be usable; the logs of no other node of that second are "
           "here";
  }
  return counts.failing_nodes.empty()
             ? "this node alone knew no usable engine, as after a pause or when it is cut off; " +
                   seen
             : "several nodes knew no usable engine, so that the engines, their platform or the "
               "network failed; " +
                   seen;
}

std::string lateCause(const Attempt& attempt) {
  const RequestRouted& route = attempt.route;
  if (attempt.prompt_computed &&
      muchLonger(*attempt.prompt_computed, route.expected_wait + route.expected_prompt)) {
    return fmt::format(
        "the prompt took {} on {} where {} were expected: a part believed cached was "
        "read again, or that engine is slow",
        toText(*attempt.prompt_computed), route.prefill_engine,
        toText(route.expected_wait + route.expected_prompt));
  }
  if (!attempt.first_token || !muchLonger(*attempt.first_token, route.expected_first_token)) {
    return {};
  }
  if (attempt.prompt_computed) {
    return fmt::format(
        "the prompt was computed in time, and {} passed from there to the first token from {}, "
        "which "
        "was expected {} after the route: that engine or the way between the two is slow",
        toText(*attempt.first_token - *attempt.prompt_computed), route.engine,
        toText(route.expected_first_token));
  }
  return fmt::format(
      "the first token took {} on {} where {} were expected: a part believed cached was read "
      "again, "
      "or that engine is slow",
      toText(*attempt.first_token), route.engine, toText(route.expected_first_token));
}

/// \return a text that says how much time failed attempts took; empty if no attempt failed.
std::string timeLostToFailedAttempts(const TimeLine& time_line) {
  const Attempt* last = lastFailedAttempt(time_line);
  if (last == nullptr) {
    return {};
  }
  const auto failed = std::count_if(time_line.attempts.begin(), time_line.attempts.end(),
                                    [](const Attempt& one) { return one.failure.has_value(); });
  const Milliseconds lost =
      last->failed_at.value_or(last->routed_at) - time_line.attempts.front().routed_at;
  return fmt::format("{} was lost before by {} failed attempt{}, the last since {}", toText(lost),
                     failed, failed == 1 ? "" : "s", attemptCause(*last->failure));
}

std::string whyNotMoved(const std::string& stayed) {
  if (stayed == "not-resumable") {
    return "; the answer may not be resumed elsewhere";
  }
  if (stayed == "no-budget") {
    return "; the retry budget did not cover a move";
  }
  if (stayed == "all-slow") {
    return "; most streams of the model were too slow";
  }
  return stayed == "no-better-engine" ? "; no other engine could complete it in time" : "";
}

std::string tooSlowCause(const OutputTooSlow& output) {
  return fmt::format(
      "output too slow on {}: {} tokens given, one each {} where {} were needed, some {} left{}",
      output.engine, output.tokens_given, toText(output.gap), toText(output.needed_gap),
      output.tokens_left, whyNotMoved(output.stayed));
}

std::string movedCause(const StreamMoved& move) {
  return fmt::format("it was moved from {} to {} after {} tokens, since one came each {}",
                     move.from, move.to, move.tokens_given, toText(move.gap));
}

/// \param ended how the request ended, for example "its time was over"
std::string inProgressCause(const TimeLine& time_line, const std::string& ended) {
  if (time_line.attempts.empty()) {
    return ended + " before a line tells of an engine or back end that had it; " +
           describeNodes(time_line.concurrent_failures);
  }
  const Attempt& attempt = time_line.attempts.back();
  std::string late = lateCause(attempt);
  if (const auto* output = lastOf<OutputTooSlow>(time_line)) {
    const auto* move = lastOf<StreamMoved>(time_line);
    return tooSlowCause(*output) + (move == nullptr ? "" : "; before, " + movedCause(*move)) +
           (late.empty() ? "" : "; " + late);
  }
  if (!late.empty()) {
    return late;
  }
  const RequestRouted& route = attempt.route;
  const std::string lost = timeLostToFailedAttempts(time_line);
  const std::string before = lost.empty() ? "" : "; " + lost;
  if (route.expected_first_token > route.time_left && !attempt.first_token) {
    return fmt::format(
        "it was routed to {} with {} left where {} were expected for the first token{}",
        route.engine, toText(route.time_left), toText(route.expected_first_token), before);
  }
  return ended + " while " + route.engine + " had it" + before;
}

std::string backendTimeoutCause(const RequestFailed& failed, const TimeLine& time_line) {
  const auto* configuration = lastOf<ConfigurationApplied>(time_line);
  const std::string version =
      configuration == nullptr
          ? ""
          : fmt::format(" (configuration version {} was in force)", configuration->version);
  return fmt::format("the back end had it and said nothing until the route's time limit ({}){}; {}",
                     failed.reason, version, describeNodes(time_line.concurrent_failures));
}

std::string refusalCause(const TimeLine& time_line) {
  const std::string lost = timeLostToFailedAttempts(time_line);
  const auto* refusal = lastOf<LatencyRefusal>(time_line);
  return (lost.empty() ? "" : lost + "; then ") +
         (refusal == nullptr
              ? "no engine could serve it in time; " + describeNodes(time_line.concurrent_failures)
              : loadCause(*refusal));
}

std::string failedCause(const RequestFailed& failed, const TimeLine& time_line) {
  const bool attempt_failed = lastFailedAttempt(time_line) != nullptr;
  switch (failureReasonOf(failed.reason)) {
    case FailureReason::kNodePaused:
      return "the node was paused and routes nothing until it has heard of the engines again";
    case FailureReason::kNoEngineWithinLimits:
      return refusalCause(time_line);
    case FailureReason::kNoEngineAvailable:
      return (attempt_failed ? failedAttemptCause(time_line) + "; then " : "") +
             noEngineCause(time_line);
    case FailureReason::kShed:
      return "overload: its urgency is shed; " + describeNodes(time_line.concurrent_failures);
    case FailureReason::kDeadlineExceeded:
    case FailureReason::kFirstTokenTooLate:
      return inProgressCause(time_line, "its time was over");
    case FailureReason::kClientDisconnected:
      return "the caller went away before it was sent";
    case FailureReason::kBackendTimeout:
      return attempt_failed ? failedAttemptCause(time_line)
                            : backendTimeoutCause(failed, time_line);
    default:
      return attempt_failed ? failedAttemptCause(time_line) : failed.reason;
  }
}

std::string doneCause(const TimeLine& time_line) {
  if (const Attempt* failed = lastFailedAttempt(time_line)) {
    const Attempt& last = time_line.attempts.back();
    return fmt::format("it went on {} after {} tokens since {}",
                       last.failure ? "where no line tells" : "at " + last.route.engine,
                       failed->failure->tokens_given, failedAttemptCause(time_line));
  }
  if (const auto* move = lastOf<StreamMoved>(time_line)) {
    return movedCause(*move);
  }
  const std::string late =
      time_line.attempts.empty() ? std::string() : lateCause(time_line.attempts.back());
  return late.empty() ? "nothing unusual stands in these lines" : late;
}

std::string outcomeOf(const RequestEnded* ended, const RequestFailed* failed) {
  if (ended == nullptr && failed == nullptr) {
    return "not known, no line tells the end";
  }
  const std::string& result = ended != nullptr ? ended->result : failed->outcome;
  if (result == "not-run") {
    return "not-run, it surely did not run";
  }
  if (result == "unknown") {
    return "unknown, it may have run";
  }
  return result == "caller-gone" ? "caller-gone, the caller left before the answer was whole"
                                 : result;
}

/// \return the cause of an end that only the front end logged. If the front end passed through a
///   response of a back end, the logged reason is the response's status code.
std::string frontEndCause(const RequestEnded& ended) {
  const bool status =
      !ended.reason.empty() && ended.reason.find_first_not_of("0123456789") == std::string::npos;
  return status ? "the back end answered with status " + ended.reason
                : "the front tells only: " + ended.reason;
}

std::string causeOf(const TimeLine& time_line, const RequestEnded* ended,
                    const RequestFailed* failed) {
  if (const auto* refusal = lastOf<FrontEndRefusal>(time_line)) {
    return fmt::format("the front refused it, {} {}: {}", refusal->status, refusal->code,
                       refusal->reason);
  }
  if (ended != nullptr && ended->result == "done") {
    return doneCause(time_line);
  }
  if (failed != nullptr) {
    return failedCause(*failed, time_line);
  }
  if (ended != nullptr && ended->result == "caller-gone") {
    return inProgressCause(time_line, "the caller left");
  }
  return ended != nullptr ? frontEndCause(*ended) : inProgressCause(time_line, "the lines end");
}

}  // namespace

Diagnosis diagnose(const TimeLine& time_line) {
  const auto* ended = lastOf<RequestEnded>(time_line);
  const auto* failed = lastOf<RequestFailed>(time_line);
  return {outcomeOf(ended, failed), causeOf(time_line, ended, failed)};
}

}  // namespace cypresswall::request_trace
