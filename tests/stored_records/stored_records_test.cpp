/// Objects of this system's own kinds, which any other writer of the store may overwrite.
#include <functional>
#include <string>
#include <vector>

#include "cypresswall/answer_builds/stored_builds.h"
#include "cypresswall/checkpoint/checkpoint.h"
#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/change_encoding.h"
#include "cypresswall/duties/usage_ledger.h"
#include "cypresswall/lease/authority_record.h"
#include "cypresswall/lease/lease_record.h"
#include "cypresswall/object_store/platform_json.h"
#include "cypresswall/quarantine/stored_quarantine.h"
#include "tests/support/odd_stored_json.h"
#include "tests/support/property.h"

namespace cypresswall {
namespace {

using nlohmann::json;

/// A kind of object: a valid example, and a call that decodes a text, and encodes what it has
/// decoded again.
struct Kind {
  const char* name;
  std::string example;
  std::function<void(const std::string&)> decode;
};

/// \return a call that decodes by `decode`; only errors of the type `Error` are allowed
template <typename Error, typename Decode>
std::function<void(const std::string&)> decoderThatThrows(Decode decode) {
  return [decode](const std::string& text) {
    try {
      decode(text);
    } catch (const Error& error) {
      CPPUNIT_ASSERT(std::string(error.what()).size() < 1000);
    }
  };
}

std::string configurationChange() {
  configuration::LoggedChange entry;
  entry.change.version = 4;
  entry.change.change_id = "c";
  entry.change.author = "a";
  entry.change.objects.push_back(
      {configuration::ObjectKind::kZone, "z", false, R"({"name":"z","region":"r"})"});
  return configuration::encodeChange(entry);
}

std::vector<Kind> kinds() {
  using answer_builds::StoredBuilds;
  using lease::LeaseRecord;
  std::vector<Kind> kinds;
  kinds.push_back({"builds",
                   answer_builds::encodeStoredBuilds({{{"llm/m", {"v1", "v2"}}}, 3},
                                                     R"({"of_a_later_release":[{"a":1}]})"),
                   decoderThatThrows<answer_builds::StoredBuildsError>([](const auto& text) {
                     answer_builds::encodeStoredBuilds({}, text);
                     answer_builds::decodeStoredBuilds(text);
                   })});
  kinds.push_back({"quarantine", R"({"requests":["1f"],"of_a_later_release":[{"a":1}]})",
                   decoderThatThrows<quarantine::StoredQuarantineError>([](const auto& text) {
                     quarantine::encodeStoredQuarantine(quarantine::decodeStoredQuarantine(text));
                   })});
  kinds.push_back({"lease", lease::encodeLeaseRecord({{"10.0.0.1:1", 7}, 3, 1}),
                   decoderThatThrows<lease::LeaseRecordError>([](const auto& text) {
                     lease::encodeLeaseRecord(lease::decodeLeaseRecord(text));
                   })});
  lease::AuthorityRecord authority;
  authority.generation = 2;
  authority.voters = {{"10.0.0.1:1", 7}};
  kinds.push_back({"authority", lease::encodeAuthorityRecord(authority),
                   decoderThatThrows<lease::AuthorityRecordError>([](const auto& text) {
                     lease::encodeAuthorityRecord(lease::decodeAuthorityRecord(text));
                   })});
  duties::UsageLedger ledger;
  ledger.taken_through = 4;
  ledger.fixed.push_back({5, {{"t", 80}}});
  kinds.push_back({"usage", duties::encodeUsageLedger(ledger),
                   decoderThatThrows<duties::UsageLedgerError>([](const auto& text) {
                     duties::encodeUsageLedger(duties::decodeUsageLedger(text));
                   })});
  checkpoint::Checkpoint checkpoint;
  checkpoint.schema = checkpoint::kSchemaVersion;
  checkpoint.zone = "z";
  checkpoint.parts["demand"] = {"bytes", std::chrono::seconds(5)};
  kinds.push_back({"checkpoint", checkpoint::encodeCheckpoint(checkpoint),
                   decoderThatThrows<checkpoint::CheckpointError>([](const auto& text) {
                     checkpoint::encodeCheckpoint(checkpoint::decodeCheckpoint(text));
                   })});
  kinds.push_back({"change", configurationChange(),
                   decoderThatThrows<configuration::EncodingError>([](const auto& text) {
                     configuration::encodeChange(configuration::decodeChange(text));
                   })});
  kinds.push_back({"snapshot", configuration::encodeSnapshot({}),
                   decoderThatThrows<configuration::EncodingError>([](const auto& text) {
                     configuration::encodeSnapshot(configuration::decodeSnapshot(text));
                   })});
  kinds.push_back({"machines", R"({"machines":[{"name":"m","zone":"z","state":"live",
                                   "addresses":["127.0.0.1"]}]})",
                   decoderThatThrows<object_store::PlatformProtocolError>(
                       [](const auto& text) { object_store::parseMachines(text); })});
  return kinds;
}

class StoredRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoredRecordsTest);
  CPPUNIT_TEST(examplesAreValid);
  CPPUNIT_TEST(oddValuesAreReadOrRefused);
  CPPUNIT_TEST(oddObjectsDoNotHideOthersOfAListing);
  CPPUNIT_TEST(configurationValuesOfAnyDepthAreRefused);
  CPPUNIT_TEST(numbersDoNotWrapAround);
  CPPUNIT_TEST_SUITE_END();

 public:
  void examplesAreValid() {
    for (const Kind& kind : kinds()) {
      CPPUNIT_ASSERT_MESSAGE(kind.name, json::parse(kind.example).is_object());
    }
    CPPUNIT_ASSERT_EQUAL(3U, lease::decodeLeaseRecord(kinds().at(2).example).term);
  }

  /// Guards against a daemon that ends, now and at each start, because of an object that another
  /// writer has overwritten.
  void oddValuesAreReadOrRefused() {
    for (const Kind& kind : kinds()) {
      const json example = json::parse(kind.example);
      for (const auto& place : testing::placesIn(example)) {
        for (const std::string& odd : testing::oddStoredValues()) {
          kind.decode(testing::mutatedText(example, place, odd));
        }
      }
    }
  }

  void oddObjectsDoNotHideOthersOfAListing() {
    const json good = {{"key", "a"}, {"version", 3}, {"value", "v"}, {"change_id", "c"}};
    for (const auto& place : testing::placesIn(good)) {
      for (const std::string& odd : testing::oddStoredValues()) {
        const std::string object = testing::mutatedText(good, place, odd);
        const auto listing = object_store::parseObjectListing(R"({"revision":9,"objects":[)" +
                                                              object + "," + good.dump() + "]}");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), listing.objects.back().key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listing.objects.size() + listing.unreadable);
      }
    }
  }

  void configurationValuesOfAnyDepthAreRefused() {
    constexpr std::size_t kHostileDepth = 100'000;
    const std::string deep =
        R"({"name":"z","region":)" + testing::nestedValue(kHostileDepth, "[", "]") + "}";
    configuration::ConfigurationChange change;
    change.version = 1;
    change.objects.push_back({configuration::ObjectKind::kZone, "z", false, deep});
    CPPUNIT_ASSERT_THROW(configuration::checkChange({}, change), configuration::ConfigurationError);
  }

  void numbersDoNotWrapAround() {
    for (const char* term : {"4294967297", "-1", "3.5", "1e300", "18446744073709551619"}) {
      const std::string text =
          R"({"holder":"10.0.0.1:1","incarnation":7,"term":)" + std::string(term) + "}";
      CPPUNIT_ASSERT_THROW_MESSAGE(term, lease::decodeLeaseRecord(text), lease::LeaseRecordError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoredRecordsTest);

}  // namespace
}  // namespace cypresswall
