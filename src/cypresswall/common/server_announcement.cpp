#include "cypresswall/common/server_announcement.h"

#include <algorithm>

#include "cypresswall/common/decimal.h"

namespace cypresswall::common {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr const char* kLeaving = "1";

}  // namespace

std::optional<Duration> parseRetryAfter(const std::string& text) {
  const auto seconds = parseDecimal(text);
  if (!seconds || *seconds < 0) {
    return std::nullopt;
  }
  return fromSeconds(std::min(*seconds, toSeconds(kMaximumPause)));
}

ServerAnnouncement announcementOf(int status, const std::string& leaving_field,
                                  const std::string& retry_after_field) {
  ServerAnnouncement announcement;
  announcement.leaving = leaving_field == kLeaving;
  if (status == kServiceUnavailable && !retry_after_field.empty()) {
    announcement.pause = parseRetryAfter(retry_after_field);
    announcement.pause_unreadable = !announcement.pause;
  }
  return announcement;
}

}  // namespace cypresswall::common
