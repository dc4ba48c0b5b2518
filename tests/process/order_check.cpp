#include "tests/process/order_check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <utility>

namespace cypresswall::testing {

void checkOrders(const nlohmann::json& ledger) {
  CPPUNIT_ASSERT_EQUAL(0, ledger["counts"]["streams_cut_by_order"].get<int>());
  std::map<std::string, std::string> content_by_number;
  std::map<std::uint64_t, std::pair<int, int>> highest_by_incarnation;
  for (const nlohmann::json& order : ledger["orders"]) {
    const auto target = order["engine_incarnation"].get<std::uint64_t>();
    const std::string number =
        std::to_string(target) + order["epoch"].dump() + order["sequence"].dump();
    const auto [known, added] = content_by_number.emplace(number, order["content"].dump());
    CPPUNIT_ASSERT_EQUAL(known->second, order["content"].dump());
    if (order["verdict"] != "accepted") {
      continue;
    }
    const std::pair<int, int> epoch{order["epoch"]["generation"].get<int>(),
                                    order["epoch"]["term"].get<int>()};
    auto& highest = highest_by_incarnation[target];
    CPPUNIT_ASSERT(epoch >= highest);
    highest = epoch;
  }
}

}  // namespace cypresswall::testing
