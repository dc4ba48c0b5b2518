#include "platform/load_report.h"

#include <algorithm>

#include "platform/prompt_parts.h"
#include "tests/support/odd_json.h"
#include "tests/support/property.h"

namespace cypresswall::objects_platform {
namespace {

class LoadReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadReportTest);
  CPPUNIT_TEST(readsALoadReport);
  CPPUNIT_TEST(decodeRunnersPrefillAtHalfSpeed);
  CPPUNIT_TEST(rejectsMalformedReports);
  CPPUNIT_TEST(readsCacheSnapshots);
  CPPUNIT_TEST(readsCacheChanges);
  CPPUNIT_TEST(rejectsMalformedCacheAnswers);
  CPPUNIT_TEST(oddValuesOutsideKnownFieldsDoNotHideAReport);
  CPPUNIT_TEST(oddNumbersAreNeverConverted);
  CPPUNIT_TEST(oddCacheEntryIsLeftOutAlone);
  CPPUNIT_TEST(noOddValueEndsTheProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readsALoadReport() {
    const auto load = parseLoadReport(
        R"({"stage":"prefill","busy":true,"call_seq":2,"queued":1,"running":12,"kv_used":41000})",
        "i-1", facts(), {});
    CPPUNIT_ASSERT(load.has_value());
    CPPUNIT_ASSERT(load->role == engines::EngineRole::kPrefill);
    CPPUNIT_ASSERT(load->state == engines::EngineState::kChanging);
    CPPUNIT_ASSERT_EQUAL(12U, load->running_streams);
    CPPUNIT_ASSERT_EQUAL(1U, load->waiting_streams);
    CPPUNIT_ASSERT_EQUAL(48U, load->maximum_streams);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, load->last_sequence);
    CPPUNIT_ASSERT_EQUAL(std::string("api/m"), load->model);
    CPPUNIT_ASSERT(load->incarnation == incarnationOf("i-1"));
    CPPUNIT_ASSERT(load->incarnation != incarnationOf("i-2"));
  }

  void decodeRunnersPrefillAtHalfSpeed() {
    const auto prefill = parseLoadReport(R"({"stage":"prefill"})", "i-1", facts(), {});
    const auto decode = parseLoadReport(R"({"stage":"decode"})", "i-1", facts(), {});
    CPPUNIT_ASSERT_EQUAL(prefill->prefill_tokens_per_second, 2 * decode->prefill_tokens_per_second);
  }

  void readsCacheSnapshots() {
    const auto list = parseCacheList(
        R"({"epoch":3,"next_token":41,"held":[["","5c1e",13300,"m"],["","91bd",90,"m"]]})", "i-1",
        facts());
    CPPUNIT_ASSERT(list.has_value());
    CPPUNIT_ASSERT(list->snapshot);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, list->last_sequence);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list->events.size());
    // The piece equals that of a prompt which contains the part.
    const auto shape = shapeOfParts("5c1e:13300,aa:10", 13310, "api/m");
    CPPUNIT_ASSERT_EQUAL(shape.pieces.at(0), list->events.at(0).piece);
  }

  void readsCacheChanges() {
    const auto changes = parseCacheEvents(
        R"({"epoch":3,"next_token":44,"lost":true,"events":[[41,"+","","5c1e",13300,"m"],)"
        R"([42,"+","","91bd",90,"m"],[43,"-","","77aa",8000,"m"]]})",
        "i-1", facts());
    CPPUNIT_ASSERT(changes.has_value());
    CPPUNIT_ASSERT(!changes->snapshot);
    CPPUNIT_ASSERT(changes->gap.value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{43}, changes->last_sequence);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes->events.size());
    CPPUNIT_ASSERT(changes->events.at(0).kind == engines::CacheEventKind::kStored);
    CPPUNIT_ASSERT(changes->events.at(1).kind == engines::CacheEventKind::kEvicted);
  }

  void rejectsMalformedCacheAnswers() {
    for (const char* body : {"", "[]", "{}", R"({"next_token":1})", R"({"held":[]})",
                             R"({"next_token":1,"held":[[1]],"events":[[1]]})",
                             R"({"next_token":"x","held":[],"events":[]})"}) {
      CPPUNIT_ASSERT_MESSAGE(body, !parseCacheList(body, "i-1", facts()).has_value());
      CPPUNIT_ASSERT_MESSAGE(body, !parseCacheEvents(body, "i-1", facts()).has_value());
    }
  }

  void rejectsMalformedReports() {
    for (const char* body :
         {"", "[]", "{}", R"({"stage":7})", R"({"stage":"decode","queued":"x"})"}) {
      CPPUNIT_ASSERT_MESSAGE(body, !parseLoadReport(body, "i-1", facts(), {}).has_value());
    }
  }

  // Guards against: a number out of range or a broken text in a field that nobody reads makes an
  // engine's report unreadable, so that the engine counts as unreachable.
  void oddValuesOutsideKnownFieldsDoNotHideAReport() {
    for (const std::string& odd : testing::oddJsonValues()) {
      const auto load = parseLoadReport(
          R"({"stage":"decode","note":)" + odd + R"(,"running":3,"queued":1})", "i-1", facts(), {});
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 50), load.has_value());
      CPPUNIT_ASSERT_EQUAL(3U, load->running_streams);
    }
  }

  // Guards against: a negative, fractional or huge number becomes another number, for example -1
  // four billion waiting streams.
  void oddNumbersAreNeverConverted() {
    for (const char* field : {"running", "queued", "kv_used", "kv_total", "call_seq"}) {
      for (const char* odd : {"-1", "0.5", "1e300", "-1e300", "1e19", "18446744073709551616",
                              "true", "[]", "\"3\""}) {
        const std::string body = std::string(R"({"stage":"decode",")")
                                     .append(field)
                                     .append("\":")
                                     .append(odd)
                                     .append("}");
        CPPUNIT_ASSERT_MESSAGE(body, !parseLoadReport(body, "i-1", facts(), {}).has_value());
      }
    }
    // Two counts whose sum exceeds 32 bits, and a memory of more pieces than that.
    const auto load = parseLoadReport(
        R"({"stage":"decode","running":4294967295,"queued":4294967295,"kv_used":9007199254740991})",
        "i-1", facts(), {});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2} * 4294967295 * 10, load->queued_decode_tokens);
    CPPUNIT_ASSERT(load->cache_pieces_used > 1'000'000'000);
  }

  // Guards against: one odd entry makes a whole list of cached parts or of changes unreadable.
  void oddCacheEntryIsLeftOutAlone() {
    for (const std::string& odd : testing::oddJsonValues()) {
      const auto changes =
          parseCacheEvents(R"({"next_token":44,"events":[[41,"+","","5c1e",13300,"m"],)" + odd +
                               R"(,[43,"-","","77aa",8000,"m"]]})",
                           "i-1", facts());
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 50), changes.has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes->events.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes->unreadable);
      CPPUNIT_ASSERT(changes->gap.value());
      const auto list =
          parseCacheList(R"({"next_token":41,"held":[["","5c1e",13300,"m"],["","91bd",)" + odd +
                             R"(,"m"],["","77aa",8000,"m"]]})",
                         "i-1", facts());
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 50), list.has_value());
      CPPUNIT_ASSERT(list->events.size() >= 2);
    }
  }

  // Guards against: a value of an engine's answer that is deep, long or out of range ends the
  // process, or hides more than itself.
  void noOddValueEndsTheProcess() {
    const auto read = [](const std::string& body) {
      parseLoadReport(body, "i-1", facts(), {});
      const auto changes = parseCacheEvents(body, "i-1", facts());
      const auto list = parseCacheList(body, "i-1", facts());
      for (const auto& events : {changes, list}) {
        CPPUNIT_ASSERT(!events || events->last_sequence < std::uint64_t{1} << 53U);
      }
    };
    testing::forEachOddCopy(
        R"({"stage":"decode","busy":false,"call_seq":2,"queued":1,"running":12,"kv_used":41000,
            "kv_total":90000,"run_count":[["r1",1,7],["r2",0,2]],"born":2000,"next_token":44,
            "lost":false,"events":[[41,"+","","5c1e",13300,"m"],[42,"-","","5c1e",0,"m"]],
            "held":[["","5c1e",13300,"m"]]})",
        read);
    for (const std::string& odd : testing::oddJsonValues()) {
      read(odd);
    }
  }

 private:
  static RunnerFacts facts() { return {48, "api/m", "1"}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportTest);

}  // namespace
}  // namespace cypresswall::objects_platform
