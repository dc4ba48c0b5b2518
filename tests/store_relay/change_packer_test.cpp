#include "cypresswall/store_relay/change_packer.h"

#include "cypresswall/common/prompt.h"
#include "tests/support/odd_json.h"
#include "tests/support/property.h"

namespace cypresswall::store_relay {
namespace {

using Json = ChangePacker::Json;

constexpr const char* kName = "main";
/// Bandwidth that a busy 10 Mbit/s link leaves to one more connection.
constexpr double kBusyLinkBitsPerSecond = 500'000;
/// Time within which a configuration must take effect.
constexpr double kSecondsToApply = 2;

Json routes(int count) {
  Json content = {{"version", count}, {"routes", Json::array()}};
  for (int i = 0; i < count; ++i) {
    const std::string word = std::to_string(common::hash64(std::to_string(i)) % 10000000);
    content["routes"].push_back({{"name", "r-" + word},
                                 {"host", "host" + std::to_string(i % 7) + ".example"},
                                 {"path_prefix", "/p" + word + "/"},
                                 {"kind", "streaming"},
                                 {"timeout_ms", 2000},
                                 {"target_latency_ms", 200},
                                 {"priority", i % 3},
                                 {"service", "service-one"},
                                 {"max_attempts", 2},
                                 {"sticky", true},
                                 {"resumable", true},
                                 {"target_gap_ms", 150}});
  }
  return content;
}

double secondsOnABusyLink(const StoreChange& change) {
  constexpr double kBitsPerByte = 8;
  return static_cast<double>(change.content.size()) * kBitsPerByte / kBusyLinkBitsPerSecond;
}

class ChangePackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangePackerTest);
  CPPUNIT_TEST(smallContentsAreSentPlain);
  CPPUNIT_TEST(manyAddedRoutesFitBusyLink);
  CPPUNIT_TEST(changeOfLargeConfigurationIsSmall);
  CPPUNIT_TEST(differenceNeedsItsBase);
  CPPUNIT_TEST(invalidBytesGiveNull);
  CPPUNIT_TEST(peersFollowAllChanges);
  CPPUNIT_TEST(oddContentOfAPeerEndsNoProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against: a content that a peer passes on ends the receiver when it is copied, compared
  // or packed for the next one.
  void oddContentOfAPeerEndsNoProcess() {
    const std::string padding(4096, 'p');
    ChangePacker packer;
    packer.storePlain(kName, 1, {{"padding", padding}});
    std::uint64_t revision = 1;
    for (const std::string& odd : testing::oddJsonValues()) {
      std::string text = R"({"odd":)";
      text += odd;
      text += R"(,"padding":")";
      text += padding;
      text += "\"}";
      StoreChange change{kName, ++revision, false, text};
      const Json content = packer.unpack(change);
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 50), content.is_object());
      CPPUNIT_ASSERT_EQUAL(padding, content["padding"].get<std::string>());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, packer.packAll().size());
      packer.packPut(kName, ++revision, {{"padding", padding}, {"round", revision}});
    }
  }

  void smallContentsAreSentPlain() {
    ChangePacker packer;
    const StoreChange change = packer.packPut(kName, 3, {{"a", 1}});
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":1})"), change.content);
    CPPUNIT_ASSERT(change.encoding == ContentEncoding::kPlain);
  }

  void manyAddedRoutesFitBusyLink() {
    ChangePacker packer;
    packer.storePlain(kName, 3, routes(12));
    const Json content = routes(1400);
    CPPUNIT_ASSERT(content.dump().size() * 8 / kBusyLinkBitsPerSecond > kSecondsToApply);
    CPPUNIT_ASSERT(secondsOnABusyLink(packer.packPut(kName, 4, content)) < kSecondsToApply);
  }

  /// A few of 14000 routes change: only the difference is sent.
  void changeOfLargeConfigurationIsSmall() {
    ChangePacker packer;
    ChangePacker peer;
    Json content = routes(14000);
    packer.storePlain(kName, 3, content);
    peer.storePlain(kName, 3, content);
    content["routes"][7]["timeout_ms"] = 1;
    content["routes"].push_back({{"name", "new"}});
    const StoreChange change = packer.packPut(kName, 4, content);
    CPPUNIT_ASSERT(change.encoding == ContentEncoding::kPackedDifference);
    CPPUNIT_ASSERT(change.content.size() < 1000);
    CPPUNIT_ASSERT(peer.unpack(change) == content);
  }

  void differenceNeedsItsBase() {
    ChangePacker packer;
    ChangePacker peer;
    packer.storePlain(kName, 3, routes(100));
    const StoreChange change = packer.packPut(kName, 4, routes(101));
    CPPUNIT_ASSERT(!peer.canUnpack(change));
    peer.storePlain(kName, 2, routes(99));
    CPPUNIT_ASSERT(!peer.canUnpack(change));
    peer.storePlain(kName, 3, routes(100));
    CPPUNIT_ASSERT(peer.canUnpack(change));
    CPPUNIT_ASSERT(peer.unpack(change) == routes(101));
  }

  void invalidBytesGiveNull() {
    ChangePacker packer;
    StoreChange change{kName, 4, false, "no content"};
    CPPUNIT_ASSERT(!packer.unpack(change).is_object());
    change.encoding = ContentEncoding::kPacked;
    CPPUNIT_ASSERT(!packer.unpack(change).is_object());
    packer.storePlain(kName, 3, routes(100));
    change.encoding = ContentEncoding::kPackedDifference;
    change.base_revision = 3;
    CPPUNIT_ASSERT(!packer.unpack(change).is_object());
  }

  void peersFollowAllChanges() {
    testing::requireProperty("a peer that takes each change holds what was read", 60, [] {
      ChangePacker packer;
      ChangePacker peer;
      Json content = routes(*rc::gen::inRange(0, 60));
      packer.storePlain(kName, 1, content);
      peer.storePlain(kName, 1, content);
      for (std::uint64_t revision = 2; revision < 10; ++revision) {
        content = routes(*rc::gen::inRange(0, 60));
        content["extra"] = *rc::gen::inRange(0, 3);
        const StoreChange change = packer.packPut(kName, revision, content);
        RC_ASSERT(peer.canUnpack(change));
        RC_ASSERT(peer.unpack(change) == content);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangePackerTest);

}  // namespace
}  // namespace cypresswall::store_relay
