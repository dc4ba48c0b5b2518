#include "cypresswall/lease/authority_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

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
    const auto json = nlohmann::json::parse(text);
    AuthorityRecord record;
    record.generation = json.at("generation").get<std::uint32_t>();
    for (const auto& voter : json.at("voters")) {
      record.voters.push_back(
          {voter.at("address").get<std::string>(), voter.at("incarnation").get<std::uint64_t>()});
    }
    std::sort(record.voters.begin(), record.voters.end());
    if (record.generation == 0 || record.voters.empty()) {
      throw AuthorityRecordError("authority record lacks generation or voters");
    }
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw AuthorityRecordError(std::string("authority record cannot be parsed: ") + error.what());
  }
}

}  // namespace cypresswall::lease
