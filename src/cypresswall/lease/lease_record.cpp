#include "cypresswall/lease/lease_record.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::lease {
namespace {

constexpr const char* kHolder = "holder";
constexpr const char* kIncarnation = "incarnation";
constexpr const char* kTerm = "term";
constexpr const char* kStoreIncarnation = "store_incarnation";
constexpr std::uint64_t kMaximumTerm = std::numeric_limits<std::uint32_t>::max();

}  // namespace

std::string leaseKey(const common::ZoneName& zone) { return "zones/" + zone + "/lease"; }

std::string encodeLeaseRecord(const LeaseRecord& record) {
  return nlohmann::json{{kHolder, record.holder.address},
                        {kIncarnation, record.holder.incarnation},
                        {kTerm, record.term},
                        {kStoreIncarnation, record.store_incarnation}}
      .dump();
}

LeaseRecord decodeLeaseRecord(const std::string& text) {
  try {
    const auto json = common::parseBoundedJson(text).value;
    LeaseRecord record;
    record.holder = {json.at(kHolder).get<std::string>(),
                     common::integerAt(json, kIncarnation, common::kLargestInteger)};
    record.term = static_cast<std::uint32_t>(common::integerAt(json, kTerm, kMaximumTerm));
    record.store_incarnation =
        common::integerOr(json, kStoreIncarnation, 0, common::kLargestInteger);
    if (record.holder.empty() || record.term == 0) {
      throw LeaseRecordError("lease record lacks holder or term");
    }
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw LeaseRecordError("lease record cannot be parsed: " + common::abbreviated(error.what()));
  } catch (const common::JsonError& error) {
    throw LeaseRecordError(std::string("lease record cannot be parsed: ") + error.what());
  }
}

}  // namespace cypresswall::lease
