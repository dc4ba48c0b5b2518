#include "cypresswall/orders/drain_follower.h"

#include "tests/orders/zone_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::orders {
namespace {

using testing::ZoneFixture;

class DrainFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainFollowerTest);
  CPPUNIT_TEST(olderTablesAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void olderTablesAreRejected() {
    testing::requireProperty("the greatest epoch and version seen is in force", 100, [] {
      ZoneFixture zone(1, 1, 3);
      zone.loseLease();
      zone.run(std::chrono::milliseconds(500));
      auto& process = *zone.nodes[0].process;
      DrainFollower follower({}, process.context(), *zone.nodes[0].directory);
      const auto tables = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(1, 4), rc::gen::inRange(1, 4)));
      std::pair<int, int> greatest{0, 0};
      for (const auto& table : tables) {
        DrainAnnouncement announcement;
        announcement.epoch.term = static_cast<std::uint32_t>(table.first);
        announcement.version = static_cast<std::uint64_t>(table.second);
        announcement.engines = {ZoneFixture::nameOf(table.second - 1)};
        RC_ASSERT(follower.apply(announcement) == (table >= greatest));
        greatest = std::max(greatest, table);
        RC_ASSERT(follower.engines().count(ZoneFixture::nameOf(greatest.second - 1)) == 1U);
      }
      zone.simulation.kill(process);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainFollowerTest);

}  // namespace
}  // namespace cypresswall::orders
