#include "cypresswall/lease/authority_record.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::lease {

std::string authorityKey(const common::ZoneName& zone) { return "zones/" + zone + "/authority"; }

std::string encodeAuthorityRecord(const AuthorityRecord& record) {
  nlohmann::json json = {{"generation", record.generation}, {"voters", nlohmann::json::array()}};
  for (const auto& voter : record.voters) {
    json["voters"].push_back({{"address", voter.address}, {"incarnation", voter.incarnation}});
  }
  return json.dump();
}

AuthorityRecord decodeAuthorityRecord(const std::string& text) {
  try {
    constexpr std::uint64_t kMaximumGeneration = std::numeric_limits<std::uint32_t>::max();
    const auto json = common::parseBoundedJson(text).value;
    AuthorityRecord record;
    record.generation =
        static_cast<std::uint32_t>(common::integerAt(json, "generation", kMaximumGeneration));
    for (const auto& voter : json.at("voters")) {
      record.voters.push_back({voter.at("address").get<std::string>(),
                               common::integerAt(voter, "incarnation", common::kLargestInteger)});
    }
    std::sort(record.voters.begin(), record.voters.end());
    if (record.generation == 0 || record.voters.empty()) {
      throw AuthorityRecordError("authority record lacks generation or voters");
    }
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw AuthorityRecordError("authority record cannot be parsed: " +
                               common::abbreviated(error.what()));
  } catch (const common::JsonError& error) {
    throw AuthorityRecordError(std::string("authority record cannot be parsed: ") + error.what());
  }
}

}  // namespace cypresswall::lease
