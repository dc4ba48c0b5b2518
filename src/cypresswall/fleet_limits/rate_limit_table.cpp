#include "cypresswall/fleet_limits/rate_limit_table.h"

#include <algorithm>
#include <limits>

namespace cypresswall::fleet_limits {
namespace {

/// \return the limit as a number for comparison; no limit compares as infinity
double comparableLimit(const RateLimit& limit) {
  return limit.requests_per_second.value_or(std::numeric_limits<double>::infinity());
}

}  // namespace

bool RateLimitTable::answered(const std::string& server, const common::RateLimitNotice& notice,
                              common::MonotonicTime sent_at, common::MonotonicTime now) {
  switch (notice.kind) {
    case common::RateLimitNotice::Kind::kUnreadable:
      return false;
    case common::RateLimitNotice::Kind::kNone:
      return namedNone(server, sent_at, now);
    case common::RateLimitNotice::Kind::kNamed:
      return notice.requests_per_second > settings_.unlimited_above
                 ? namedNone(server, sent_at, now)
                 : named(server, notice.requests_per_second, sent_at, now);
  }
  return false;
}

bool RateLimitTable::named(const std::string& server, double value, common::MonotonicTime sent_at,
                           common::MonotonicTime now) {
  const auto known = limits_.find(server);
  if (known == limits_.end()) {
    if (limits_.size() >= settings_.maximum_servers) {
      return false;
    }
    change(limits_[server], value, now);
    return true;
  }
  RateLimit& limit = known->second;
  if (!limit.active()) {
    // A response to a request that was sent before the limit ended may also have been produced
    // before then, so it must not bring the limit back.
    const bool newer = sent_at > limit.named_at;
    if (newer) {
      change(limit, value, now);
    }
    return newer;
  }
  if (value == *limit.requests_per_second) {
    limit.named_at = now;
    return false;
  }
  const bool raised = value > *limit.requests_per_second;
  if (raised && now - limit.named_at < settings_.raise_delay) {
    return false;
  }
  change(limit, value, now);
  return true;
}

bool RateLimitTable::namedNone(const std::string& server, common::MonotonicTime sent_at,
                               common::MonotonicTime now) {
  const auto known = limits_.find(server);
  if (known == limits_.end() || !known->second.active()) {
    return false;
  }
  RateLimit& limit = known->second;
  // Responses can overtake each other. This one was certainly produced after the one that last
  // confirmed the limit only if its request was sent after that confirmation.
  if (sent_at <= limit.named_at || now - limit.named_at < settings_.raise_delay) {
    return false;
  }
  change(limit, std::nullopt, now);
  return true;
}

void RateLimitTable::change(RateLimit& limit, std::optional<double> value,
                            common::MonotonicTime now) {
  ++limit.version;
  limit.requests_per_second = value;
  limit.named_at = now;
}

bool RateLimitTable::merge(const std::string& server, const RateLimit& other,
                           common::MonotonicTime now) {
  if (now - other.named_at > settings_.retention) {
    return false;
  }
  const auto known = limits_.find(server);
  if (known == limits_.end()) {
    if (limits_.size() >= settings_.maximum_servers) {
      return false;
    }
    limits_[server] = other;
    return true;
  }
  RateLimit& limit = known->second;
  if (other.version < limit.version) {
    return false;
  }
  if (other.version == limit.version && other.requests_per_second == limit.requests_per_second) {
    limit.named_at = std::max(limit.named_at, other.named_at);
    return false;
  }
  if (other.version == limit.version && comparableLimit(other) > comparableLimit(limit)) {
    return false;
  }
  limit = other;
  return true;
}

std::vector<std::string> RateLimitTable::expire(common::MonotonicTime now) {
  std::vector<std::string> forgotten;
  std::erase_if(limits_, [&](const auto& entry) {
    const bool old = now - entry.second.named_at > settings_.retention;
    if (old) {
      forgotten.push_back(entry.first);
    }
    return old;
  });
  return forgotten;
}

const RateLimit* RateLimitTable::activeLimit(const std::string& server) const {
  const auto known = limits_.find(server);
  return known != limits_.end() && known->second.active() ? &known->second : nullptr;
}

std::size_t RateLimitTable::activeCount() const {
  return static_cast<std::size_t>(std::count_if(
      limits_.begin(), limits_.end(), [](const auto& entry) { return entry.second.active(); }));
}

}  // namespace cypresswall::fleet_limits
