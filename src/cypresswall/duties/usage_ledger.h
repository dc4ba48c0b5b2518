/// What the store holds of the reports of usage: what is to be said of each window stands here
/// before it is said, so that no two holders of the duty ever say different things.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/duties/duty_platform.h"

namespace cypresswall::duties {

/// The stored ledger can't be read.
class UsageLedgerError : public common::Error {
 public:
  using common::Error::Error;
};

struct UsageLedger {
  /// The platform has taken the reports of all windows up to this one.
  std::uint64_t taken_through = 0;
  /// The windows after it that are fixed, in order and without a gap.
  std::vector<UsageReport> fixed;

  /// \return the last window that is fixed
  std::uint64_t fixedThrough() const { return fixed.empty() ? taken_through : fixed.back().window; }
};

inline constexpr const char* kUsageLedgerKey = "duties/usage";

std::string encodeUsageLedger(const UsageLedger& ledger);
/// \throws UsageLedgerError
UsageLedger decodeUsageLedger(const std::string& text);

}  // namespace cypresswall::duties
