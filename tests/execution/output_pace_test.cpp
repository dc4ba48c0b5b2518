#include "cypresswall/execution/output_pace.h"

#include "cypresswall/execution/answer_lengths.h"
#include "cypresswall/execution/stream_moves.h"
#include "tests/support/property.h"

namespace cypresswall::execution {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Feeds tokens at given times into an OutputPace.
struct PacedStream {
  void tokens(int count, common::Duration gap) {
    for (int token = 0; token < count; ++token) {
      now += gap;
      pace.tokenReceived(now);
    }
  }
  std::int64_t gapInMilliseconds() const {
    const auto gap = pace.gap(now);
    return gap ? std::chrono::round<milliseconds>(*gap).count() : -1;
  }

  OutputPace pace;
  common::MonotonicTime now{};
};

StreamOutlook outlookOf(common::Duration gap, double tokens_left, common::Duration time_left) {
  StreamOutlook outlook;
  outlook.gap = gap;
  outlook.tokens_left = tokens_left;
  outlook.time_left = time_left;
  return outlook;
}

class OutputPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutputPaceTest);
  CPPUNIT_TEST(paceIsKnownAfterTheWindow);
  CPPUNIT_TEST(pauseOfHalfASecondIsTolerated);
  CPPUNIT_TEST(lastingSlownessIsNoticed);
  CPPUNIT_TEST(silenceCountsWhileItLasts);
  CPPUNIT_TEST(timeWithoutReadingDoesNotCount);
  CPPUNIT_TEST(streamIsTooSlowIfItMissesTheDeadline);
  CPPUNIT_TEST(withoutDeadlineTheLimitBetweenTokensCounts);
  CPPUNIT_TEST(anotherEngineMustBeClearlyFaster);
  CPPUNIT_TEST(lengthsAreLearntPerService);
  CPPUNIT_TEST(longAnswersAreExpectedToGoOn);
  CPPUNIT_TEST(gapsAreCalibratedAgainstTheRoutersEstimates);
  CPPUNIT_TEST(slowShareFollowsTheLastSeconds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void paceIsKnownAfterTheWindow() {
    for (const milliseconds gap : {milliseconds(5), milliseconds(40), milliseconds(210)}) {
      PacedStream stream;
      stream.tokens(1, gap);
      stream.tokens(static_cast<int>(milliseconds(1300) / gap), gap);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{-1}, stream.gapInMilliseconds());
      stream.tokens(static_cast<int>(milliseconds(900) / gap), gap);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{gap.count()}, stream.gapInMilliseconds());
    }
  }

  void pauseOfHalfASecondIsTolerated() {
    for (const milliseconds gap : {milliseconds(5), milliseconds(40), milliseconds(150)}) {
      PacedStream stream;
      stream.tokens(static_cast<int>(seconds(4) / gap), gap);
      stream.now += milliseconds(500);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{gap.count()}, stream.gapInMilliseconds());
      stream.tokens(3, gap);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{gap.count()}, stream.gapInMilliseconds());
      // Half a second at a fifth of the speed.
      stream.tokens(static_cast<int>(seconds(4) / gap), gap);
      stream.tokens(static_cast<int>(milliseconds(500) / (5 * gap)), 5 * gap);
      CPPUNIT_ASSERT(stream.gapInMilliseconds() <= 2 * gap.count());
    }
  }

  void lastingSlownessIsNoticed() {
    for (const milliseconds gap : {milliseconds(5), milliseconds(40), milliseconds(150)}) {
      PacedStream stream;
      stream.tokens(static_cast<int>(seconds(4) / gap), gap);
      stream.tokens(static_cast<int>(seconds(2) / (3 * gap)), 3 * gap);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{3 * gap.count()}, stream.gapInMilliseconds());
    }
  }

  void silenceCountsWhileItLasts() {
    PacedStream stream;
    stream.tokens(100, milliseconds(40));
    stream.now += seconds(2);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, stream.gapInMilliseconds());
  }

  void timeWithoutReadingDoesNotCount() {
    PacedStream stream;
    stream.tokens(100, milliseconds(40));
    stream.pace.interrupt();
    stream.now += seconds(9);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{40}, stream.gapInMilliseconds());
    stream.tokens(5, milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{40}, stream.gapInMilliseconds());
  }

  void streamIsTooSlowIfItMissesTheDeadline() {
    CPPUNIT_ASSERT(isTooSlow(outlookOf(milliseconds(200), 20, seconds(3))));
    CPPUNIT_ASSERT(!isTooSlow(outlookOf(milliseconds(200), 20, seconds(5))));
    // Nearly done.
    CPPUNIT_ASSERT(!isTooSlow(outlookOf(milliseconds(200), 1, milliseconds(300))));
  }

  void withoutDeadlineTheLimitBetweenTokensCounts() {
    StreamOutlook outlook;
    outlook.gap = milliseconds(400);
    outlook.tokens_left = 100;
    CPPUNIT_ASSERT(!isTooSlow(outlook));
    outlook.between_tokens_limit = milliseconds(300);
    CPPUNIT_ASSERT(isTooSlow(outlook));
    CPPUNIT_ASSERT(completesInTime(outlook, {milliseconds(200), milliseconds(100)}));
    CPPUNIT_ASSERT(!completesInTime(outlook, {milliseconds(200), milliseconds(350)}));
    outlook.gap = milliseconds(200);
    CPPUNIT_ASSERT(!isTooSlow(outlook));
  }

  void anotherEngineMustBeClearlyFaster() {
    const auto outlook = outlookOf(milliseconds(200), 20, milliseconds(3500));
    CPPUNIT_ASSERT(completesInTime(outlook, {milliseconds(300), milliseconds(100)}));
    // It would miss the deadline as well.
    CPPUNIT_ASSERT(!completesInTime(outlook, {milliseconds(2000), milliseconds(100)}));
    // It would be hardly faster.
    CPPUNIT_ASSERT(!completesInTime(outlook, {milliseconds(0), milliseconds(160)}));
    const auto nearly_done = outlookOf(milliseconds(200), 1, milliseconds(150));
    CPPUNIT_ASSERT(!completesInTime(nearly_done, {milliseconds(150), milliseconds(50)}));
  }

  void lengthsAreLearntPerService() {
    AnswerLengths lengths;
    for (int answer = 0; answer < 7; ++answer) {
      lengths.completed("summary", 400, 40);
    }
    CPPUNIT_ASSERT(!lengths.expectedLeft("summary", 400, 10));
    lengths.completed("summary", 400, 40);
    CPPUNIT_ASSERT(!lengths.expectedLeft("triage", 400, 10));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30, *lengths.expectedLeft("summary", 400, 10), 8);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(15, *lengths.expectedLeft("summary", 200, 5), 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, *lengths.expectedLeft("summary", 400, 300), 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, lengths.announcedPerGiven("summary"), 0.01);
  }

  /// Announcements are right in the median and often far off.
  void longAnswersAreExpectedToGoOn() {
    AnswerLengths lengths;
    for (int answer = 0; answer < 50; ++answer) {
      for (const std::uint32_t given : {10U, 20U, 40U, 80U, 160U}) {
        lengths.completed("summary", 40, given);
      }
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(62, *lengths.expectedLeft("summary", 40, 0), 8);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(70, *lengths.expectedLeft("summary", 40, 50), 12);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60, *lengths.expectedLeft("summary", 40, 100), 15);
  }

  void gapsAreCalibratedAgainstTheRoutersEstimates() {
    ModelPace pace;
    CPPUNIT_ASSERT(!pace.gapFor(milliseconds(10)));
    pace.record({10, seconds(1), milliseconds(100)}, milliseconds(5), false, {});
    CPPUNIT_ASSERT(*pace.gapFor(milliseconds(10)) == milliseconds(200));
    CPPUNIT_ASSERT(*pace.gapFor(milliseconds(0)) == milliseconds(100));
  }

  void slowShareFollowsTheLastSeconds() {
    ModelPace pace;
    common::MonotonicTime now{};
    const auto record = [&](bool too_slow, int samples) {
      for (int sample = 0; sample < samples; ++sample) {
        now += milliseconds(500);
        pace.record({10, milliseconds(500), milliseconds(50)}, milliseconds(5), too_slow, now);
      }
    };
    record(true, 1);
    CPPUNIT_ASSERT_EQUAL(0.0, pace.slowShare());
    record(false, 20);
    record(true, 4);
    CPPUNIT_ASSERT(pace.slowShare() < 0.5);
    record(true, 20);
    CPPUNIT_ASSERT(pace.slowShare() > 0.5);
    record(false, 20);
    CPPUNIT_ASSERT(pace.slowShare() < 0.5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutputPaceTest);

}  // namespace
}  // namespace cypresswall::execution
