#include "platform/load_report.h"

#include "tests/support/property.h"

namespace cypresswall::objects_platform {
namespace {

class LoadReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadReportTest);
  CPPUNIT_TEST(readsALoadReport);
  CPPUNIT_TEST(decodeRunnersReadPromptsAtHalfPace);
  CPPUNIT_TEST(refusesWhatIsNoReport);
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

  void decodeRunnersReadPromptsAtHalfPace() {
    const auto prefill = parseLoadReport(R"({"stage":"prefill"})", "i-1", facts(), {});
    const auto decode = parseLoadReport(R"({"stage":"decode"})", "i-1", facts(), {});
    CPPUNIT_ASSERT_EQUAL(prefill->prefill_tokens_per_second, 2 * decode->prefill_tokens_per_second);
  }

  void refusesWhatIsNoReport() {
    for (const char* body :
         {"", "[]", "{}", R"({"stage":7})", R"({"stage":"decode","queued":"x"})"}) {
      CPPUNIT_ASSERT_MESSAGE(body, !parseLoadReport(body, "i-1", facts(), {}).has_value());
    }
  }

 private:
  static RunnerFacts facts() { return {48, "api/m", "1"}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportTest);

}  // namespace
}  // namespace cypresswall::objects_platform
