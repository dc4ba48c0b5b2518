/// Write-ahead record of usage reports in the object store. The counts of a window are stored here
/// before they are sent, so that two lease holders never report different counts for a window.
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
  /// The platform has accepted the reports of all windows up to this one.
  std::uint64_t taken_through = 0;
  /// Reports of the following windows, which are final; consecutive.
  std::vector<UsageReport> fixed;

  /// \return the last window whose report is final
  std::uint64_t fixedThrough() const { return fixed.empty() ? taken_through : fixed.back().window; }
};

inline constexpr const char* kUsageLedgerKey = "duties/usage";

std::string encodeUsageLedger(const UsageLedger& ledger);
/// \throws UsageLedgerError
UsageLedger decodeUsageLedger(const std::string& text);

}  // namespace cypresswall::duties
