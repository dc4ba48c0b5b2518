#include "cypresswall/duties/usage_ledger.h"

#include <nlohmann/json.hpp>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::duties {
namespace {

constexpr const char* kTakenThrough = "taken_through";
constexpr const char* kFixed = "fixed";
constexpr const char* kWindow = "window";
constexpr const char* kCounts = "counts";
constexpr const char* kStoreIncarnation = "store_incarnation";
constexpr const char* kUncertainThrough = "uncertain_through";

TenantCounts countsIn(const nlohmann::json& json) {
  if (!json.is_object()) {
    throw UsageLedgerError("usage ledger has a window without counts");
  }
  TenantCounts counts;
  for (const auto& [tenant, value] : json.items()) {
    const auto count = common::integerIn(value);
    if (!count) {
      throw UsageLedgerError("usage ledger has a count that is not an integer");
    }
    counts[tenant] = *count;
  }
  return counts;
}

/// \return zero for a field that earlier builds don't write
std::uint64_t optionalIntegerIn(const nlohmann::json& json, const char* field) {
  return json.contains(field) ? common::integerAt(json, field) : 0;
}

}  // namespace

std::string encodeUsageLedger(const UsageLedger& ledger) {
  auto fixed = nlohmann::json::array();
  for (const UsageReport& report : ledger.fixed) {
    fixed.push_back({{kWindow, report.window}, {kCounts, report.counts}});
  }
  return nlohmann::json{{kTakenThrough, ledger.taken_through},
                        {kFixed, std::move(fixed)},
                        {kStoreIncarnation, ledger.store_incarnation},
                        {kUncertainThrough, ledger.uncertain_through}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

UsageLedger decodeUsageLedger(const std::string& text) {
  try {
    const auto json = common::parseBoundedJson(text).value;
    UsageLedger ledger;
    ledger.taken_through = common::integerAt(json, kTakenThrough);
    ledger.store_incarnation = optionalIntegerIn(json, kStoreIncarnation);
    ledger.uncertain_through = optionalIntegerIn(json, kUncertainThrough);
    for (const auto& entry : json.at(kFixed)) {
      UsageReport report{common::integerAt(entry, kWindow), countsIn(entry.at(kCounts))};
      if (report.window != ledger.fixedThrough() + 1) {
        throw UsageLedgerError("usage ledger has a gap before window " +
                               std::to_string(report.window));
      }
      ledger.fixed.push_back(std::move(report));
    }
    return ledger;
  } catch (const nlohmann::json::exception& error) {
    throw UsageLedgerError("malformed usage ledger: " + common::abbreviated(error.what()));
  } catch (const common::JsonError& error) {
    throw UsageLedgerError(std::string("malformed usage ledger: ") + error.what());
  }
}

}  // namespace cypresswall::duties
