#include "cypresswall/idempotency/key_ownership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "cypresswall/configuration/static_view.h"

namespace cypresswall::idempotency {
namespace {

using Zones = std::vector<common::ZoneName>;

constexpr int kKeys = 3000;

std::string keyOf(int number) { return "key-" + std::to_string(number); }

class KeyOwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyOwnershipTest);
  CPPUNIT_TEST(keysAreSpreadAndMoveOnlyToNewZone);
  CPPUNIT_TEST(ownedSinceRequiresOwnershipInEverySet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keysAreSpreadAndMoveOnlyToNewZone() {
    std::map<common::ZoneName, int> shares;
    for (int number = 0; number < kKeys; ++number) {
      const auto before = owningZone(keyOf(number), {"a", "b", "c"});
      const auto after = owningZone(keyOf(number), {"a", "b", "c", "d"});
      CPPUNIT_ASSERT(after == before || after == "d");
      ++shares[after];
    }
    for (const auto& [zone, share] : shares) {
      CPPUNIT_ASSERT(share > kKeys / 5 && share < kKeys * 3 / 10);
    }
    CPPUNIT_ASSERT(owningZone("key", {}).empty());
  }

  void ownedSinceRequiresOwnershipInEverySet() {
    configuration::StaticConfigurationView view;
    const KeyOwnership ownership("a", view);
    std::string stays = "x";
    std::string moves = "x";
    while (owningZone(stays, {"a", "b"}) != "a") {
      stays += 'x';
    }
    while (owningZone(moves, {"a", "b"}) != "b") {
      moves += 'x';
    }
    CPPUNIT_ASSERT(ownership.owner(moves) == "a" && ownership.ownedSince(moves, 0));
    configuration::FleetConfiguration fleet;
    fleet.zone_sets = {{3, {"a"}}, {5, {"a", "b"}}, {9, {"a"}}};
    view.set(fleet);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, ownership.version());
    CPPUNIT_ASSERT(ownership.ownedSince(stays, 0));
    CPPUNIT_ASSERT(!ownership.ownedSince(moves, 3));
    CPPUNIT_ASSERT(ownership.ownedSince(moves, 9));
    fleet.zone_sets.assign(configuration::kRetainedZoneSets, {20, {"a"}});
    view.set(fleet);
    CPPUNIT_ASSERT(!ownership.ownedSince(stays, 9));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyOwnershipTest);

}  // namespace
}  // namespace cypresswall::idempotency
