/// Settings of the quarantine of requests that crash engines.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::quarantine {

struct QuarantineSettings {
  /// False disables the quarantine.
  bool quarantines = true;
  /// Number of engine crashes while running a request, or requests with one part of their prompts
  /// in common, after which the request or the part is quarantined. A crash counts half if the
  /// engine had given more than the first token of the answer: what crashes engines mostly does so
  /// at once. When one request crashed 23 engines in ten seconds, a fifth of the harmless requests
  /// on these engines were hit by two crashes, and none by three.
  std::size_t crashes = 3;
  /// How long a crash counts against a request. Also how long a request stays quarantined after it
  /// was quarantined or last received, since callers that retry automatically do so within minutes.
  common::Duration memory = std::chrono::minutes(5);
  /// How long a complete answer is taken as proof that the request does not crash engines. A
  /// harmless request that many callers send is answered somewhere within this time, even while
  /// engines crash for other reasons.
  common::Duration answer_validity = std::chrono::minutes(1);
  /// Reports about one engine and one request that are less than this apart count as one crash:
  /// several copies of the request may run on the engine, and different nodes notice the same crash
  /// up to a connection timeout apart. Two crashes are not mistaken for one, since an engine takes
  /// longer than this to restart.
  common::Duration crash_merge_window = std::chrono::seconds(1);
  /// How long after its start a probe's result applies to further streams that break on the same
  /// engine.
  common::Duration probe_validity = std::chrono::milliseconds(500);
  /// Time that other nodes have to tell when parts were last answered, before a part is
  /// quarantined.
  common::Duration examination_time = std::chrono::milliseconds(100);
  /// Interval at which each node announces its list to two other nodes. A node that starts, or that
  /// missed a notice, learns the list within about two intervals.
  common::Duration announcement_interval = std::chrono::seconds(1);
  /// Delay between a crash and the write that stores it. Crashes of that time are written together,
  /// and most innocent requests are answered within it, so that they need not be stored.
  common::Duration crash_write_delay = std::chrono::milliseconds(200);
  /// Delay after a write of crashes until those that were answered meanwhile are removed.
  common::Duration answered_crash_delay = std::chrono::seconds(5);
  /// Maximum number of crashes in the store, about 150 bytes each. Those under the requests with
  /// most crashes are kept.
  std::size_t maximum_stored_crashes = 128;
  /// Delay before the next call to the store after a failed one.
  common::Duration store_retry_delay = std::chrono::seconds(1);
  /// Maximum number of requests whose crashes a node remembers, about 100 bytes each. The request
  /// whose last crash is the oldest is evicted first.
  std::size_t maximum_tracked_requests = 4096;
  /// Maximum number of answered requests that a node remembers, 16 bytes each. A busy node answers
  /// about this many in a minute.
  std::size_t maximum_answered_requests = 4096;
  /// Maximum number of prompt parts of which a node remembers when they were last answered, about
  /// 60 bytes each.
  std::size_t maximum_answered_parts = 4096;
  /// Maximum number of quarantined requests; those whose quarantine ends first are evicted first.
  std::size_t maximum_quarantined = 256;
};

}  // namespace cypresswall::quarantine
