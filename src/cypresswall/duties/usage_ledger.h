/// Record of usage reports in the object store. The lease holder stores the counts of a window in
/// this record before it sends them to the platform, so that two lease holders never report
/// different counts for the same window.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/duties/duty_platform.h"

namespace cypresswall::duties {

class UsageLedgerError : public common::Error {
 public:
  using common::Error::Error;
};

struct UsageLedger {
  /// The reports of all windows up to and including this number are completed: the platform has
  /// accepted or rejected them, or they were given up as too old.
  std::uint64_t taken_through = 0;
  /// Stored reports that remain to be sent, without gaps: the first one is for window
  /// `taken_through` + 1. Their counts must not change any more.
  std::vector<UsageReport> fixed;
  /// Incarnation of the store in which the ledger was written; zero if unknown. A ledger of an
  /// earlier incarnation than the store's comes from a copy and may lack reports.
  std::uint64_t store_incarnation = 0;
  /// Windows after fixedThrough() up to and including this number may have been reported in an
  /// earlier incarnation of the store.
  std::uint64_t uncertain_through = 0;

  /// \return the last window whose counts must not change any more
  std::uint64_t fixedThrough() const { return fixed.empty() ? taken_through : fixed.back().window; }
};

inline constexpr const char* kUsageLedgerKey = "duties/usage";

std::string encodeUsageLedger(const UsageLedger& ledger);
/// \throws UsageLedgerError
UsageLedger decodeUsageLedger(const std::string& text);

}  // namespace cypresswall::duties
