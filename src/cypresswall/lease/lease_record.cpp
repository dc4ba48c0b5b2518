#include "cypresswall/lease/lease_record.h"

#include <nlohmann/json.hpp>

namespace cypresswall::lease {
namespace {

constexpr const char* kHolder = "holder";
constexpr const char* kIncarnation = "incarnation";
constexpr const char* kTerm = "term";
constexpr const char* kStoreIncarnation = "store_incarnation";

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
    const auto json = nlohmann::json::parse(text);
    LeaseRecord record;
    record.holder = {json.at(kHolder).get<std::string>(),
                     json.at(kIncarnation).get<std::uint64_t>()};
    record.term = json.at(kTerm).get<std::uint32_t>();
    record.store_incarnation = json.value(kStoreIncarnation, std::uint64_t{0});
    if (record.holder.empty() || record.term == 0) {
      throw LeaseRecordError("lease record lacks holder or term");
    }
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw LeaseRecordError(std::string("lease record cannot be parsed: ") + error.what());
  }
}

}  // namespace cypresswall::lease
