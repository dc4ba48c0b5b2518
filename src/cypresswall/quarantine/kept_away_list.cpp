#include "cypresswall/quarantine/kept_away_list.h"

#include <algorithm>

namespace cypresswall::quarantine {

bool KeptAwayList::add(common::RequestFingerprint request, common::Duration time,
                       common::MonotonicTime now) {
  const auto until = now + std::min(time, settings_.memory);
  const auto known = until_.find(request);
  if (known != until_.end()) {
    const bool lapsed = known->second <= now;
    known->second = std::max(known->second, until);
    return lapsed;
  }
  makeRoom();
  until_[request] = until;
  return true;
}

std::optional<common::Duration> KeptAwayList::left(common::RequestFingerprint request,
                                                   common::MonotonicTime now) const {
  const auto known = until_.find(request);
  if (known == until_.end() || known->second <= now) {
    return std::nullopt;
  }
  return known->second - now;
}

bool KeptAwayList::expire(common::MonotonicTime now) {
  return std::erase_if(until_, [now](const auto& entry) { return entry.second <= now; }) != 0;
}

std::vector<QuarantinedRequest> KeptAwayList::all(common::MonotonicTime now) const {
  std::vector<QuarantinedRequest> requests;
  for (const auto& [request, until] : until_) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    if (left.count() > 0) {
      requests.push_back({request, static_cast<std::uint32_t>(left.count())});
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const QuarantinedRequest& a, const QuarantinedRequest& b) {
              return a.request < b.request;
            });
  return requests;
}

void KeptAwayList::makeRoom() {
  if (until_.size() < settings_.kept_away) {
    return;
  }
  until_.erase(std::min_element(until_.begin(), until_.end(),
                                [](const auto& a, const auto& b) { return a.second < b.second; }));
}

}  // namespace cypresswall::quarantine
