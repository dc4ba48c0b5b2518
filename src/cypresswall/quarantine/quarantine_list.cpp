#include "cypresswall/quarantine/quarantine_list.h"

#include <algorithm>

namespace cypresswall::quarantine {

bool QuarantineList::add(common::RequestFingerprint request, common::Duration time,
                         common::MonotonicTime now) {
  const auto until = now + std::min(time, settings_.memory);
  const auto known = until_.find(request);
  if (known != until_.end()) {
    const bool lapsed = known->second <= now;
    known->second = std::max(known->second, until);
    return lapsed;
  }
  evictOldest();
  until_[request] = until;
  return true;
}

std::optional<common::Duration> QuarantineList::remaining(common::RequestFingerprint request,
                                                          common::MonotonicTime now) const {
  const auto known = until_.find(request);
  if (known == until_.end() || known->second <= now) {
    return std::nullopt;
  }
  return known->second - now;
}

bool QuarantineList::expire(common::MonotonicTime now) {
  return std::erase_if(until_, [now](const auto& entry) { return entry.second <= now; }) != 0;
}

std::vector<QuarantinedRequest> QuarantineList::all(common::MonotonicTime now) const {
  std::vector<QuarantinedRequest> requests;
  for (const auto& [request, until] : until_) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    if (remaining.count() > 0) {
      requests.push_back({request, static_cast<std::uint32_t>(remaining.count())});
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const QuarantinedRequest& a, const QuarantinedRequest& b) {
              return a.request < b.request;
            });
  return requests;
}

void QuarantineList::evictOldest() {
  if (until_.size() < settings_.maximum_quarantined) {
    return;
  }
  until_.erase(std::min_element(until_.begin(), until_.end(),
                                [](const auto& a, const auto& b) { return a.second < b.second; }));
}

}  // namespace cypresswall::quarantine
