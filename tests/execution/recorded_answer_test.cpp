#include "cypresswall/execution/recorded_answer.h"

#include "tests/support/property.h"

namespace cypresswall::execution {
namespace {

constexpr std::size_t kMaximumBytes = 16U << 10;

class RecordedAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordedAnswerTest);
  CPPUNIT_TEST(decodesWhatWasEncoded);
  CPPUNIT_TEST(garbageNeverDecodesAsNotRun);
  CPPUNIT_TEST(oversizedLengthsAreRejected);
  CPPUNIT_TEST(cutRecordsAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void decodesWhatWasEncoded() {
    testing::requireProperty(
        "decoding an encoded answer yields it", 200,
        [](const std::string& body, const std::string& value) {
          ServiceCallAnswer answer;
          answer.outcome = Outcome::kDone;
          answer.status = 201;
          answer.headers = {{"X-Slot", value}};
          answer.body = body;
          const auto read = decodeRecordedAnswer(encodeRecordedAnswer(answer, kMaximumBytes));
          RC_ASSERT(read.has_value());
          RC_ASSERT(read->status == 201);
          RC_ASSERT(read->body == body);
          RC_ASSERT(read->headers.at(0).value == value);
        });
  }

  void garbageNeverDecodesAsNotRun() {
    testing::requireProperty("random bytes never decode as an answer that did not run", 5000,
                             [](const std::string& garbage) {
                               const auto read = decodeRecordedAnswer(garbage);
                               RC_ASSERT(!read || read->outcome != Outcome::kNotRun);
                             });
  }

  void oversizedLengthsAreRejected() {
    // An array with a declared length of 2^32 - 1 elements.
    CPPUNIT_ASSERT(!decodeRecordedAnswer("\xdd\xff\xff\xff\xff"));
    // A string with a declared length of 2^32 - 1 bytes.
    CPPUNIT_ASSERT(!decodeRecordedAnswer("\xdb\xff\xff\xff\xff"));
  }

  /// Guards against a part of an answer that is repeated to each caller with the same key.
  void cutRecordsAreRejected() {
    ServiceCallAnswer answer;
    answer.outcome = Outcome::kDone;
    answer.status = 201;
    answer.headers = {{"X-Slot", "7"}};
    answer.body = "body";
    const std::string record = encodeRecordedAnswer(answer, kMaximumBytes);
    for (std::size_t length = 0; length < record.size(); ++length) {
      CPPUNIT_ASSERT(!decodeRecordedAnswer(record.substr(0, length)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordedAnswerTest);

}  // namespace
}  // namespace cypresswall::execution
