/// Settings of the quarantine of requests that crash engines.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::quarantine {

struct QuarantineSettings {
  /// False disables the quarantine.
  bool quarantines = true;
  /// Engine crashes under a request after which it is quarantined. Of the requests that merely ran
  /// on the same engines as one that crashed 23 engines in ten seconds, a fifth were hit by two
  /// crashes and none by three.
  std::size_t crashes = 3;
  /// How long a crash counts against a request, and how long a request stays quarantined after its
  /// last arrival. Callers that retry automatically do so within minutes.
  common::Duration memory = std::chrono::minutes(5);
  /// How long an answer proves that the request does not crash engines. A harmless request that
  /// many callers send is answered somewhere within this time, even while engines crash for other
  /// reasons.
  common::Duration answer_validity = std::chrono::minutes(1);
  /// Reports about one engine within this time count as one crash: several copies of a request may
  /// run on it, and nodes notice a crash within a connection timeout of each other. An engine takes
  /// longer than this to restart.
  common::Duration crash_merge_window = std::chrono::seconds(1);
  /// How long the result of a probe applies to further streams that break on the same engine.
  common::Duration probe_validity = std::chrono::milliseconds(500);
  /// Interval of the announcements of the list to a few other nodes. A node that starts, or that
  /// missed a notice, learns the list within about two intervals.
  common::Duration announcement_interval = std::chrono::seconds(1);
  /// Delay before the next call to the store after a failed one.
  common::Duration store_retry_delay = std::chrono::seconds(1);
  /// Requests with crashes that are remembered, about 100 bytes each; the oldest are evicted first.
  std::size_t maximum_tracked_requests = 4096;
  /// Answered requests that a node remembers, 16 bytes each: what a busy node answers in a minute.
  std::size_t maximum_answered_requests = 4096;
  /// Maximum number of quarantined requests; those whose quarantine ends first are evicted first.
  std::size_t maximum_quarantined = 256;
};

}  // namespace cypresswall::quarantine
