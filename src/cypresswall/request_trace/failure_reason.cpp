#include "cypresswall/request_trace/failure_reason.h"

#include <array>

namespace cypresswall::request_trace {
namespace {

struct Phrase {
  std::string_view text;
  FailureReason reason;
};

/// The first phrase that occurs in the text determines the reason.
constexpr auto kPhrases = std::to_array<Phrase>({
    {"this node was paused", FailureReason::kNodePaused},
    {"can meet the request's limits now", FailureReason::kNoEngineWithinLimits},
    {"is available now", FailureReason::kNoEngineAvailable},
    {"requests of this urgency are shed", FailureReason::kShed},
    {"time limit has passed", FailureReason::kDeadlineExceeded},
    {"first token can't be given in time", FailureReason::kFirstTokenTooLate},
    {"Failed to connect", FailureReason::kUnreachable},
    {"Could not connect", FailureReason::kUnreachable},
    {"Couldn't connect", FailureReason::kUnreachable},
    {"Connection timeout after", FailureReason::kUnreachable},
    {"Connection timed out after", FailureReason::kUnreachable},
    {"silent for too long", FailureReason::kBackendTimeout},
    {"Operation timed out", FailureReason::kBackendTimeout},
    {" came after event ", FailureReason::kEventsOutOfOrder},
    {"Connection reset", FailureReason::kConnectionLost},
    {"Empty reply", FailureReason::kConnectionLost},
    {"closed", FailureReason::kConnectionLost},
    {"caller went away", FailureReason::kClientDisconnected},
    {"connection ended", FailureReason::kClientDisconnected},
});

}  // namespace

FailureReason failureReasonOf(std::string_view reason) {
  for (const Phrase& phrase : kPhrases) {
    if (reason.find(phrase.text) != std::string_view::npos) {
      return phrase.reason;
    }
  }
  return FailureReason::kOther;
}

}  // namespace cypresswall::request_trace
