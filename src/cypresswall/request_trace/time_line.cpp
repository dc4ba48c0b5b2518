#include "cypresswall/request_trace/time_line.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cypresswall::request_trace {
namespace {

/// Reconstructs the attempts of a request from its lines.
class AttemptTracker {
 public:
  void add(const LogRecord& record) {
    if (const auto* route = std::get_if<RequestRouted>(&record.event)) {
      attempts_.push_back({*route, record.time, record.node, {}, {}, {}, {}, {}});
      return;
    }
    if (Attempt* attempt = inProgressAt(record.node)) {
      std::visit([attempt](const auto& event) { apply(event, *attempt); }, record.event);
      if (attempt->failure) {
        attempt->failed_at = record.time;
      }
    }
  }
  std::vector<Attempt> takeAttempts() { return std::move(attempts_); }

 private:
  static void apply(const PromptComputed& event, Attempt& attempt) {
    attempt.prompt_computed = event.after_routed;
  }
  static void apply(const FirstToken& event, Attempt& attempt) {
    attempt.first_token = event.after_routed;
  }
  static void apply(const AttemptFailed& event, Attempt& attempt) { attempt.failure = event; }
  static void apply(const RequestEnded& event, Attempt& attempt) { attempt.end = event; }
  template <typename Other>
  static void apply(const Other&, Attempt&) {}

  /// \return the newest attempt that `node` started; nullptr if there is none, or if the attempt
  ///   failed or the request ended during the attempt
  Attempt* inProgressAt(const std::string& node) {
    const auto newest =
        std::find_if(attempts_.rbegin(), attempts_.rend(),
                     [&node](const Attempt& attempt) { return attempt.node == node; });
    const bool in_progress = newest != attempts_.rend() && !newest->failure && !newest->end;
    return in_progress ? &*newest : nullptr;
  }

  std::vector<Attempt> attempts_;
};

}  // namespace

TimeLine makeTimeLine(const std::string& request, std::vector<LogRecord> records,
                      ConcurrentFailureCounts concurrent_failures) {
  std::stable_sort(
      records.begin(), records.end(), [](const LogRecord& left, const LogRecord& right) {
        return std::tie(left.time, left.position) < std::tie(right.time, right.position);
      });
  AttemptTracker tracker;
  for (const LogRecord& record : records) {
    tracker.add(record);
  }
  return {request, std::move(records), tracker.takeAttempts(), std::move(concurrent_failures)};
}

}  // namespace cypresswall::request_trace
