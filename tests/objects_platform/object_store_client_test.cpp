#include "platform/object_store_client.h"

#include <optional>
#include <string>

#include "tests/objects_platform/fake_store.h"
#include "tests/objects_platform/odd_objects.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::objects_platform {
namespace {

using object_store::ObjectListing;
using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;
using testing::eventsJson;
using testing::objectJson;
using testing::pageJson;

constexpr const char* kSpec = R"({"value": "v", "change_id": "c"})";
constexpr const char* kName = "authority_2fz_201";

class ObjectStoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectStoreClientTest);
  CPPUNIT_TEST(mapsKeysToNamesOfOneKind);
  CPPUNIT_TEST(createsAndReplaces);
  CPPUNIT_TEST(reportsWriteFailures);
  CPPUNIT_TEST(listsAllPagesUnderAPrefix);
  CPPUNIT_TEST(watchesUnderAPrefix);
  CPPUNIT_TEST(anyKeySurvivesEscaping);
  CPPUNIT_TEST(foreignObjectsDoNotHideOthers);
  CPPUNIT_TEST(overwrittenObjectHasAVersionAndNoValidValue);
  CPPUNIT_TEST(listingGoesOnBeyondUnreadablePages);
  CPPUNIT_TEST(namesThatAreNotEscapedAreNoKeys);
  CPPUNIT_TEST_SUITE_END();

 public:
  void mapsKeysToNamesOfOneKind() {
    std::optional<StoreResult<StoredObject>> read;
    const auto keep = [&](auto result) { read = std::move(result); };
    client_.get("authority/z 1", keep);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/cypresswall/") + kName, store_.targets.at(0));
    store_.answer(200, objectJson(kName, 412, kSpec));
    CPPUNIT_ASSERT_EQUAL(std::string("authority/z 1"), read->value().key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{412}, read->value().version);
    CPPUNIT_ASSERT_EQUAL(std::string("v"), read->value().value);
    client_.get("a", keep);
    store_.answer(404, "{}");
    CPPUNIT_ASSERT(read->failure().kind == StoreFailure::kNotFound);
    client_.get("a", keep);
    store_.answer(429, "{}");
    CPPUNIT_ASSERT(read->failure().kind == StoreFailure::kUnavailable);
  }

  void createsAndReplaces() {
    write(0);
    CPPUNIT_ASSERT_EQUAL(std::string("POST /objects/cypresswall"), store_.targets.at(0));
    const auto created = wire::Json::parse(store_.bodies.at(0));
    CPPUNIT_ASSERT(created == wire::Json::parse(std::string(R"({"metadata": {"name": ")") + kName +
                                                R"("}, "spec": )" + kSpec + "}"));
    store_.answer(201, objectJson(kName, 5, kSpec));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, written_->value().version);
    write(5);
    CPPUNIT_ASSERT_EQUAL(std::string("PUT /objects/cypresswall/") + kName, store_.targets.at(1));
    const auto replaced = wire::Json::parse(store_.bodies.at(1));
    CPPUNIT_ASSERT_EQUAL(5, replaced.at("metadata").at("revision").get<int>());
    store_.answer(200, objectJson(kName, 9, kSpec));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, written_->value().version);
  }

  void reportsWriteFailures() {
    expectFailure(409, objectJson(kName, 9, R"({"value": "w", "change_id": "d"})"),
                  StoreFailure::kConflict);
    expectFailure(409, "{}", StoreFailure::kConflict);
    expectFailure(404, "{}", StoreFailure::kConflict);
    expectFailure(503, "{}", StoreFailure::kUnavailable);
    expectFailure(429, "{}", StoreFailure::kUnavailable);
    expectFailure(500, "{}", StoreFailure::kUnknownOutcome);
    expectFailure(200, "{", StoreFailure::kUnknownOutcome);
    write(5);
    store_.fail(runtime::CurlOutcome::kBroken);
    CPPUNIT_ASSERT(written_->failure().kind == StoreFailure::kUnknownOutcome);
    write(5);
    store_.fail(runtime::CurlOutcome::kNotSent);
    CPPUNIT_ASSERT(written_->failure().kind == StoreFailure::kUnavailable);
    // The conflict is with an earlier copy of the same write, which took effect.
    write(5);
    store_.answer(409, objectJson(kName, 9, kSpec));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, written_->value().version);
  }

  void listsAllPagesUnderAPrefix() {
    std::optional<StoreResult<ObjectListing>> read;
    client_.list("a/", [&](auto result) { read = std::move(result); });
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/cypresswall"), store_.targets.at(0));
    store_.answer(200, pageJson(20, {objectJson("a_2f1", 3, kSpec), objectJson("b", 4)}, true));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/cypresswall?after=b"), store_.targets.at(1));
    store_.answer(200, pageJson(22, {objectJson("a_2f2", 21, kSpec), objectJson("c", 5, kSpec)}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, read->value().revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->value().objects.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a/2"), read->value().objects.at(1).key);
    client_.list("a/", [&](auto result) { read = std::move(result); });
    store_.answer(503, "");
    CPPUNIT_ASSERT(read->failure().kind == StoreFailure::kUnavailable);
  }

  void watchesUnderAPrefix() {
    std::optional<StoreResult<ObjectListing>> read;
    client_.watch("a/", 20, [&](auto result) { read = std::move(result); });
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/cypresswall?watch=20&wait_ms=10000"),
                         store_.targets.at(0));
    store_.answer(200, eventsJson(23, {{objectJson("a_2f1", 21, kSpec), false},
                                       {objectJson("a_2f2", 22, kSpec), true},
                                       {objectJson("b", 23, kSpec), false}}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{23}, read->value().revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->value().objects.size());
    client_.watch("a/", 20, [&](auto result) { read = std::move(result); });
    store_.answer(410, "");
    CPPUNIT_ASSERT(read->failure().kind == StoreFailure::kCompacted);
  }

  void anyKeySurvivesEscaping() {
    cypresswall::testing::requireProperty(
        "a key reads back from its name", 500, [](const std::string& key) {
          const std::string name = wire::escapedName(key);
          RC_ASSERT(name.find_first_of("/?& ") == std::string::npos);
          RC_ASSERT(wire::unescapedName(name) == key);
        });
    for (const char* const bad : {"_", "_2", "a_2g", "_zz"}) {
      CPPUNIT_ASSERT_THROW(wire::unescapedName(bad), wire::PlatformProtocolError);
    }
  }

  /// Guards against a listing or a watch of this system's objects that fails because of one that
  /// another writer left.
  void foreignObjectsDoNotHideOthers() {
    std::optional<StoreResult<ObjectListing>> listed;
    const auto keep = [&](auto result) { listed = std::move(result); };
    for (const std::string& odd : cypresswall::testing::oddStoredValues()) {
      for (const std::string& object : testing::objectsWith(odd, 9)) {
        client_.list("authority/", keep);
        store_.answer(200, pageJson(9, {object, objectJson(kName, 9, kSpec)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed->value().objects.size());
        client_.watch("authority/", 8, keep);
        store_.answer(200, eventsJson(9, {{object, false}, {objectJson(kName, 9, kSpec), false}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed->value().objects.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, listed->value().revision);
      }
    }
    CPPUNIT_ASSERT(counters_.total("cypresswall_store_unreadable_objects_total") > 100);
  }

  /// Guards against an object that stays unusable because no node learns the version that it would
  /// have to replace.
  void overwrittenObjectHasAVersionAndNoValidValue() {
    std::optional<StoreResult<StoredObject>> read;
    for (const std::string& odd : cypresswall::testing::oddStoredValues()) {
      client_.get("authority/z 1", [&](auto result) { read = std::move(result); });
      store_.answer(200, objectJson(kName, 412, odd));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{412}, read->value().version);
      CPPUNIT_ASSERT(!wire::Json::accept(read->value().value));
    }
  }

  void listingGoesOnBeyondUnreadablePages() {
    std::optional<StoreResult<ObjectListing>> listed;
    const auto keep = [&](auto result) { listed = std::move(result); };
    client_.list("authority/", keep);
    store_.answer(200, pageJson(9, {R"({"metadata": {"name": "a", "revision": "x"}})"}, true));
    CPPUNIT_ASSERT(!listed);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/cypresswall?after=a"), store_.targets.back());
    store_.answer(200, pageJson(9, {objectJson(kName, 9, kSpec)}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed->value().objects.size());
    client_.list("authority/", keep);
    store_.answer(200, pageJson(9, {"7"}, true));
    CPPUNIT_ASSERT(listed->failure().kind == StoreFailure::kUnavailable);
  }

  /// Two names must not stand for one key.
  void namesThatAreNotEscapedAreNoKeys() {
    for (const char* name : {"_61", "a_", "a_5", "a_-5", "a_2F", "a/b", "a b"}) {
      CPPUNIT_ASSERT_THROW_MESSAGE(name, wire::unescapedName(name), wire::PlatformProtocolError);
    }
  }

 private:
  void write(std::uint64_t expected_version) {
    written_.reset();
    client_.compareAndSet({"authority/z 1", expected_version, "v", "c"},
                          [&](auto result) { written_ = std::move(result); });
  }
  void expectFailure(int status, const std::string& body, StoreFailure kind) {
    write(5);
    store_.answer(status, body);
    CPPUNIT_ASSERT(written_->failure().kind == kind);
  }

  common::CounterRegistry counters_;
  testing::FakeStore store_;
  cypresswall::testing::VirtualWorld world_{1};
  api::ProcessContext context_ = world_.spawn({"10.0.0.1:7000", 1}, "hall-a").context();
  store_relay::StoreIncarnation incarnation_{context_};
  ObjectStoreClient client_{store_, counters_, {}, incarnation_};
  std::optional<StoreResult<StoredObject>> written_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreClientTest);

}  // namespace
}  // namespace cypresswall::objects_platform
