/// What an engine or back end says about itself in an answer, beside the answer's content.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cypresswall/common/time.h"

namespace cypresswall::common {

struct ServerAnnouncement {
  /// The server is about to end and wants no new requests.
  bool leaving = false;
  /// The server refused the request and wants no requests from this node for this long.
  std::optional<Duration> pause = {};
  /// The server named a pause that can't be read; it is ignored.
  bool pause_unreadable = false;

  bool operator==(const ServerAnnouncement&) const = default;
};

/// Called for each answer of a server. A server is identified by the name of an engine incarnation,
/// or by common::ServerIdentity::toString() of a back end.
using AnnouncementObserver =
    std::function<void(const std::string& server, const ServerAnnouncement& announcement)>;

/// Called with what one server's answer says about the server.
using AnnouncementReporter = std::function<void(const ServerAnnouncement& announcement)>;

/// Longest time that a server can ask for with Retry-After; longer times are cut to it.
inline constexpr Duration kMaximumPause = std::chrono::hours(1);

/// Parses the value of Retry-After: a decimal number of seconds, which may have a fraction.
/// \return nothing if the text is not such a number, is negative or is a date; never more than
///   kMaximumPause
std::optional<Duration> parseRetryAfter(const std::string& text);

/// \param leaving_field value of the header that announces that the server leaves; empty if absent
/// \param retry_after_field value of Retry-After; empty if absent
ServerAnnouncement announcementOf(int status, const std::string& leaving_field,
                                  const std::string& retry_after_field);

}  // namespace cypresswall::common
