/// When a request is kept from engines, and for how long.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::quarantine {

struct QuarantineSettings {
  /// Off: no request is kept from engines.
  bool quarantines = true;
  /// Engines that end under a request before it is kept from others. Of requests that merely ran
  /// beside one that ended 23 engines in ten seconds, a fifth lost two engines and none lost three.
  std::size_t crashes = 3;
  /// How long the end of an engine is held against a request, and how long the request is kept
  /// away after it last came: callers that repeat a request by themselves do so within minutes.
  common::Duration memory = std::chrono::minutes(5);
  /// For how long an answer proves that engines don't end under the request. A request that many
  /// callers send alike is answered somewhere within it, whatever else makes engines end.
  common::Duration proof_time = std::chrono::minutes(1);
  /// Ends of one engine within this time are one: several copies of a request may run on it, and
  /// nodes notice within a connection's time limit of each other. An engine takes longer to return.
  common::Duration same_crash = std::chrono::seconds(1);
  /// An engine's answer whether it still runs holds for so long, for all streams that broke there.
  common::Duration same_answer = std::chrono::milliseconds(500);
  /// Between two messages by which a node repeats to a few others what is kept away: a node that
  /// starts, or missed the news, learns it within about two of them.
  common::Duration repeat_interval = std::chrono::seconds(1);
  /// Before another call to the store after one that failed.
  common::Duration store_retry_delay = std::chrono::seconds(1);
  /// Requests under which engines ended that are remembered; the oldest are forgotten first. One
  /// takes some 100 bytes.
  std::size_t suspects = 4096;
  /// Answered requests that a node remembers, each 16 bytes: what a busy node answers in a minute.
  std::size_t answered = 4096;
  /// Requests that are kept away at a time; those that didn't come for longest are let go first.
  std::size_t kept_away = 256;
};

}  // namespace cypresswall::quarantine
