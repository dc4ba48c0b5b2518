#include "cypresswall/common/rate_limit_notice.h"

#include "cypresswall/common/decimal.h"

namespace cypresswall::common {

RateLimitNotice parseRateLimit(const std::string& text) {
  if (text.empty()) {
    return {};
  }
  const auto value = parseDecimal(text);
  if (!value || *value < 0) {
    return {RateLimitNotice::Kind::kUnreadable, 0};
  }
  return {RateLimitNotice::Kind::kNamed, *value};
}

}  // namespace cypresswall::common
