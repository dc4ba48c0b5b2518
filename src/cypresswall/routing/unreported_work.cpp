#include "cypresswall/routing/unreported_work.h"

#include <algorithm>

namespace cypresswall::routing {

std::deque<UnreportedWork::Unreported>& UnreportedWork::queueOf(EngineSlot engine) {
  if (engine >= queues_.size()) {
    queues_.resize(static_cast<std::size_t>(engine) + 1);
  }
  estimates_.reserve(engine);
  return queues_[engine];
}

void UnreportedWork::started(const std::string& stream_id, const std::vector<WorkShare>& shares,
                             common::MonotonicTime now) {
  ended(stream_id);
  Attempt attempt;
  attempt.id = next_id_++;
  for (const WorkShare& share : shares) {
    queueOf(share.engine).push_back(Unreported{attempt.id, now, share});
    EngineEstimate& estimate = estimates_.edit(share.engine);
    estimate.unreported_prefill_tokens += share.prefill_tokens;
    estimate.unreported_decode_tokens += share.decode_tokens;
    ++estimate.unreported_streams;
    estimates_.refresh(share.engine);
    attempt.engines.push_back(share.engine);
  }
  attempts_[stream_id] = std::move(attempt);
}

void UnreportedWork::subtract(const WorkShare& share) {
  EngineEstimate& estimate = estimates_.edit(share.engine);
  --estimate.unreported_streams;
  // Reset the sums at zero streams, so that rounding errors don't accumulate over millions of
  // attempts.
  const double kept = estimate.unreported_streams == 0 ? 0.0 : 1.0;
  estimate.unreported_prefill_tokens =
      kept * std::max(0.0, estimate.unreported_prefill_tokens - share.prefill_tokens);
  estimate.unreported_decode_tokens =
      kept * std::max(0.0, estimate.unreported_decode_tokens - share.decode_tokens);
  estimates_.refresh(share.engine);
}

void UnreportedWork::firstToken(const std::string& stream_id) {
  const auto attempt = attempts_.find(stream_id);
  if (attempt == attempts_.end()) {
    return;
  }
  for (const EngineSlot engine : attempt->second.engines) {
    for (Unreported& entry : queueOf(engine)) {
      if (entry.id == attempt->second.id) {
        EngineEstimate& estimate = estimates_.edit(engine);
        estimate.unreported_prefill_tokens =
            std::max(0.0, estimate.unreported_prefill_tokens - entry.share.prefill_tokens);
        entry.share.prefill_tokens = 0;
        estimates_.refresh(engine);
      }
    }
  }
}

void UnreportedWork::removeUnreported(EngineSlot engine, std::uint64_t id) {
  auto& queue = queueOf(engine);
  const auto found = std::find_if(queue.begin(), queue.end(),
                                  [id](const Unreported& entry) { return entry.id == id; });
  if (found != queue.end()) {
    subtract(found->share);
    queue.erase(found);
  }
}

void UnreportedWork::ended(const std::string& stream_id) {
  const auto attempt = attempts_.find(stream_id);
  if (attempt == attempts_.end()) {
    return;
  }
  for (const EngineSlot engine : attempt->second.engines) {
    removeUnreported(engine, attempt->second.id);
  }
  attempts_.erase(attempt);
}

void UnreportedWork::reported(EngineSlot engine, common::MonotonicTime observed_at) {
  auto& queue = queueOf(engine);
  while (!queue.empty() && queue.front().started_at + report_slack_ <= observed_at) {
    subtract(queue.front().share);
    queue.pop_front();
  }
}

void UnreportedWork::forgetEngine(EngineSlot engine) {
  auto& queue = queueOf(engine);
  while (!queue.empty()) {
    subtract(queue.front().share);
    queue.pop_front();
  }
}

}  // namespace cypresswall::routing
