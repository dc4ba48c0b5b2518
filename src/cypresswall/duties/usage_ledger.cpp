#include "cypresswall/duties/usage_ledger.h"

#include <nlohmann/json.hpp>

namespace cypresswall::duties {
namespace {

constexpr const char* kTakenThrough = "taken_through";
constexpr const char* kFixed = "fixed";
constexpr const char* kWindow = "window";
constexpr const char* kCounts = "counts";

}  // namespace

std::string encodeUsageLedger(const UsageLedger& ledger) {
  auto fixed = nlohmann::json::array();
  for (const UsageReport& report : ledger.fixed) {
    fixed.push_back({{kWindow, report.window}, {kCounts, report.counts}});
  }
  return nlohmann::json{{kTakenThrough, ledger.taken_through}, {kFixed, std::move(fixed)}}.dump();
}

UsageLedger decodeUsageLedger(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text);
    UsageLedger ledger;
    ledger.taken_through = json.at(kTakenThrough).get<std::uint64_t>();
    for (const auto& entry : json.at(kFixed)) {
      UsageReport report{entry.at(kWindow).get<std::uint64_t>(),
                         entry.at(kCounts).get<TenantCounts>()};
      if (report.window != ledger.fixedThrough() + 1) {
        throw UsageLedgerError("usage ledger has a gap before window " +
                               std::to_string(report.window));
      }
      ledger.fixed.push_back(std::move(report));
    }
    return ledger;
  } catch (const nlohmann::json::exception& error) {
    throw UsageLedgerError(std::string("malformed usage ledger: ") + error.what());
  }
}

}  // namespace cypresswall::duties
