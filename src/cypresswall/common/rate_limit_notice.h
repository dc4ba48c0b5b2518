/// The request rate limit that a server announces in its answers.
#pragma once

#include <optional>
#include <string>

namespace cypresswall::common {

/// What one answer says about the request rate that its server accepts from the whole fleet.
struct RateLimitNotice {
  enum class Kind {
    kNone,        ///< the answer announces no limit
    kNamed,       ///< the answer announces a limit of `requests_per_second`
    kUnreadable,  ///< the announced value is not a valid limit and is ignored
  };
  Kind kind = Kind::kNone;
  /// Finite and not negative.
  double requests_per_second = 0;

  bool operator==(const RateLimitNotice&) const = default;
};

/// \return a notice with kind kNamed if `requests_per_second` is set, otherwise kNone
inline RateLimitNotice namedRateLimit(const std::optional<double>& requests_per_second) {
  return requests_per_second ? RateLimitNotice{RateLimitNotice::Kind::kNamed, *requests_per_second}
                             : RateLimitNotice{};
}

/// Parses the value of the rate limit header: a decimal number of requests per second.
/// \param text empty if the answer has no such header
RateLimitNotice parseRateLimit(const std::string& text);

}  // namespace cypresswall::common
