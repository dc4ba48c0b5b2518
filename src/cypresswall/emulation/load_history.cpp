#include "cypresswall/emulation/load_history.h"

#include <utility>

namespace cypresswall::emulation {

bool LoadHistory::startsInterval(common::MonotonicTime now) const {
  return entries_.empty() || entries_.back().made_at.time_since_epoch() / kReportInterval !=
                                 now.time_since_epoch() / kReportInterval;
}

void LoadHistory::record(common::MonotonicTime now, engines::EngineLoad load) {
  if (startsInterval(now)) {
    entries_.push_back({now, std::move(load)});
  } else {
    entries_.back() = {now, std::move(load)};
  }
}

const engines::EngineLoad* LoadHistory::at(common::MonotonicTime time) const {
  const Entry* best = nullptr;
  for (const Entry& entry : entries_) {
    if (best != nullptr && entry.made_at > time) {
      break;
    }
    best = &entry;
  }
  return best == nullptr ? nullptr : &best->load;
}

void LoadHistory::dropBefore(common::MonotonicTime time) {
  while (entries_.size() > 1 && entries_[1].made_at <= time) {
    entries_.pop_front();
  }
}

}  // namespace cypresswall::emulation
