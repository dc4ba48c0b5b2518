#include "cypresswall/quarantine/quarantine_list.h"

#include <algorithm>

namespace cypresswall::quarantine {

bool QuarantineList::add(common::RequestFingerprint request, common::Duration time,
                         common::MonotonicTime now,
                         std::optional<common::MonotonicTime> evidence_since) {
  const auto until = now + std::min(time, settings_.memory);
  const auto known = entries_.find(request);
  if (known != entries_.end()) {
    const bool lapsed = known->second.until <= now;
    known->second.until = std::max(known->second.until, until);
    return lapsed;
  }
  evictOldest();
  entries_[request] = {until, evidence_since};
  return true;
}

std::optional<common::Duration> QuarantineList::remaining(common::RequestFingerprint request,
                                                          common::MonotonicTime now) const {
  const auto known = entries_.find(request);
  if (known == entries_.end() || known->second.until <= now) {
    return std::nullopt;
  }
  return known->second.until - now;
}

bool QuarantineList::expire(common::MonotonicTime now) {
  return std::erase_if(entries_, [now](const auto& entry) { return entry.second.until <= now; }) !=
         0;
}

std::vector<QuarantinedRequest> QuarantineList::all(common::MonotonicTime now) const {
  std::vector<QuarantinedRequest> requests;
  for (const auto& [request, entry] : entries_) {
    const std::uint32_t remaining = common::millisecondsOf(entry.until - now);
    if (remaining > 0) {
      requests.push_back({request, remaining, evidenceAge(entry, now)});
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const QuarantinedRequest& a, const QuarantinedRequest& b) {
              return a.request < b.request;
            });
  return requests;
}

std::uint32_t QuarantineList::evidenceAge(const Entry& entry, common::MonotonicTime now) {
  return entry.evidence_since ? std::max(common::millisecondsOf(now - *entry.evidence_since), 1U)
                              : 0;
}

void QuarantineList::evictOldest() {
  if (entries_.size() < settings_.maximum_quarantined) {
    return;
  }
  entries_.erase(std::min_element(
      entries_.begin(), entries_.end(),
      [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
}

}  // namespace cypresswall::quarantine
