#include "cypresswall/answer_builds/build_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cypresswall/answer_builds/answer_records.h"

namespace cypresswall::answer_builds {
namespace {

using std::chrono::seconds;
using Builds = std::set<common::BuildName>;

constexpr common::Duration kRetention = seconds(120);

common::MonotonicTime at(int second) { return common::MonotonicTime(seconds(second)); }

class BuildHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BuildHistoryTest);
  CPPUNIT_TEST(buildsCountWhilePresentAndForAWhileAfterwards);
  CPPUNIT_TEST(modelsAreSeparate);
  CPPUNIT_TEST(buildsSeenByOthersCount);
  CPPUNIT_TEST(forgottenBuildCountsForEachModel);
  CPPUNIT_TEST(recordsKeepTheFirstBuild);
  CPPUNIT_TEST(recordsAreBounded);
  CPPUNIT_TEST(onlyOwnRecentRecordsAreSentAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void buildsCountWhilePresentAndForAWhileAfterwards() {
    BuildHistory history(kRetention);
    CPPUNIT_ASSERT(history.possible("m", at(0)).empty());
    history.setPresent({{"m", {"v1"}}}, at(0));
    CPPUNIT_ASSERT(history.possible("m", at(1000)) == Builds{"v1"});
    CPPUNIT_ASSERT(history.mixedModels(at(1000)).empty());
    history.setPresent({{"m", {"v1", "v2"}}}, at(1000));
    CPPUNIT_ASSERT(history.mixedModels(at(1000)) == std::set<common::ModelName>{"m"});
    CPPUNIT_ASSERT(history.past(at(1000)).empty());
    history.setPresent({{"m", {"v2"}}}, at(1500));
    CPPUNIT_ASSERT((history.possible("m", at(1619)) == Builds{"v1", "v2"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.past(at(1619)).size());
    CPPUNIT_ASSERT(history.past(at(1619))[0].last_seen_at == at(1500));
    CPPUNIT_ASSERT(history.possible("m", at(1620)) == Builds{"v2"});
    CPPUNIT_ASSERT(history.mixedModels(at(1620)).empty());
    CPPUNIT_ASSERT(history.past(at(1620)).empty());
  }

  void modelsAreSeparate() {
    BuildHistory history(kRetention);
    history.setPresent({{"m", {"v1"}}, {"n", {"v2"}}}, at(0));
    CPPUNIT_ASSERT(history.possible("m", at(1)) == Builds{"v1"});
    CPPUNIT_ASSERT(history.mixedModels(at(1)).empty());
  }

  void buildsSeenByOthersCount() {
    BuildHistory history(kRetention);
    history.setPresent({{"m", {"v1"}}}, at(0));
    history.addSeen("m", "v2", at(10));
    history.addSeen("m", "v2", at(5));
    CPPUNIT_ASSERT((history.possible("m", at(129)) == Builds{"v1", "v2"}));
    CPPUNIT_ASSERT(history.possible("m", at(130)) == Builds{"v1"});
  }

  void forgottenBuildCountsForEachModel() {
    BuildHistory history(kRetention);
    history.addSeen(kAnyModel, kForgottenBuild, at(0));
    CPPUNIT_ASSERT(history.mixedModels(at(1)).empty());
    history.setPresent({{"m", {"v1"}}}, at(1));
    CPPUNIT_ASSERT((history.possible("m", at(119)) == Builds{"v1", kForgottenBuild}));
    CPPUNIT_ASSERT(history.possible("n", at(119)) == Builds{kForgottenBuild});
    CPPUNIT_ASSERT(history.mixedModels(at(119)) == std::set<common::ModelName>{"m"});
    const BuildsByModel all = {{kAnyModel, {kForgottenBuild}}, {"m", {"v1"}}};
    CPPUNIT_ASSERT(history.possible(at(119)) == all);
    CPPUNIT_ASSERT(history.possible("m", at(120)) == Builds{"v1"});
    CPPUNIT_ASSERT(history.mixedModels(at(120)).empty());
  }

  void recordsKeepTheFirstBuild() {
    AnswerRecords records({});
    records.add(7, "m", "v1", true, at(0));
    records.add(7, "m", "v2", false, at(1));
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), *records.find(7, at(2)));
    CPPUNIT_ASSERT(!records.find(8, at(2)));
    CPPUNIT_ASSERT(!records.find(7, at(121)));
  }

  void recordsAreBounded() {
    AnswerBuildSettings settings;
    settings.maximum_records = 100;
    AnswerRecords records(settings);
    for (AnswerKey answer = 0; answer < 1000; ++answer) {
      records.add(answer, "m", "v1", false, at(1));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, records.size());
    CPPUNIT_ASSERT(records.find(999, at(1)));
    records.add(5000, "m", "v1", false, at(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.size());
  }

  void onlyOwnRecentRecordsAreSentAgain() {
    AnswerRecords records({});
    records.add(1, "m", "v1", true, at(0));
    records.add(2, "m", "v1", true, at(50));
    records.add(3, "m", "v1", false, at(51));
    records.add(4, "n", "v1", true, at(52));
    const auto answers = records.ownSince("m", at(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
    CPPUNIT_ASSERT(answers.at("v1") == std::vector<AnswerKey>{2});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BuildHistoryTest);

}  // namespace
}  // namespace cypresswall::answer_builds
