#include "cypresswall/operators/command_client.h"

#include "cypresswall/operators/command_api.h"
#include "tests/support/odd_json.h"
#include "tests/support/property.h"

namespace cypresswall::operators {
namespace {

using namespace std::chrono_literals;

PostAnswer answered(CommandStatus status, std::uint64_t version = 1) {
  CommandResponse response;
  response.status = status;
  response.version = version;
  return {PostResult::kAnswered, encodeResponse(response).dump(), ""};
}
const PostAnswer kNotSent{PostResult::kNotSent, "", "refused"};
const PostAnswer kLost{PostResult::kUnknown, "", "broken"};

class CommandClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandClientTest);
  CPPUNIT_TEST(parseErrorNeedsNoServer);
  CPPUNIT_TEST(queryTriesEachServer);
  CPPUNIT_TEST(lostAnswerIsRetriedWithTheSameChangeId);
  CPPUNIT_TEST(refusalAfterLostAnswerIsInconclusive);
  CPPUNIT_TEST(conflictBeyondExpectedVersionIsConclusive);
  CPPUNIT_TEST(refusalOfFirstAttemptIsFinal);
  CPPUNIT_TEST(unreachableServersAreReported);
  CPPUNIT_TEST(oddCommandsAndAnswersAreReadOrRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against: a command or an answer with a value that is deep, long or out of range ends
  // the daemon or the operator's program.
  void oddCommandsAndAnswersAreReadOrRefused() {
    CommandRequest request;
    request.command = "show nodes";
    request.expected_version = 3;
    request.file = {"fleet.yaml", "zones: []"};
    testing::forEachOddCopy(encodeRequest(request).dump(), [](const std::string& body) {
      try {
        decodeRequest(body);
      } catch (const RequestError&) {
        // Refused in order.
      }
    });
    for (const char* answer :
         {R"({"status":"ok","message":"m","version":3,"columns":["a"],"rows":[["x",1,0.5,true]]})",
          R"({"status":"parse_error","message":"m","position":1,"length":2,"suggestion":"s"})",
          R"({"status":"accepted","change_id":"c","zones":[{"zone":"z","in_force":true}]})"}) {
      CPPUNIT_ASSERT_NO_THROW(decodeResponse(answer));
      testing::forEachOddCopy(answer, [](const std::string& body) {
        try {
          decodeResponse(body);
        } catch (const RequestError&) {
          // Refused in order.
        }
      });
    }
  }

  void parseErrorNeedsNoServer() {
    CPPUNIT_ASSERT(run("shwo engines", {}).status == CommandStatus::kParseError);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bodies_.size());
  }

  void queryTriesEachServer() {
    CPPUNIT_ASSERT(run("show engines", {kNotSent, kLost, answered(CommandStatus::kOk)}).status ==
                   CommandStatus::kOk);
  }

  void lostAnswerIsRetriedWithTheSameChangeId() {
    const auto response = run("drain engine e", {kLost, answered(CommandStatus::kAccepted, 7)});
    CPPUNIT_ASSERT(response.status == CommandStatus::kAccepted);
    CPPUNIT_ASSERT_EQUAL(bodies_.at(0), bodies_.at(1));
    CPPUNIT_ASSERT_EQUAL(std::string("id-1"), decodeRequest(bodies_.at(1)).change_id);
  }

  void refusalAfterLostAnswerIsInconclusive() {
    const auto response = run("drain engine e", {kLost, answered(CommandStatus::kZoneRefused)});
    CPPUNIT_ASSERT(response.status == CommandStatus::kOutcomeUnknown);
    CPPUNIT_ASSERT(exitCodeOf(response.status) == ExitCode::kOutcomeUnknown);
  }

  void conflictBeyondExpectedVersionIsConclusive() {
    expected_version_ = 4;
    CPPUNIT_ASSERT(run("drain engine e", {kLost, answered(CommandStatus::kConflict, 5)}).status ==
                   CommandStatus::kConflict);
    CPPUNIT_ASSERT(run("drain engine e", {kLost, answered(CommandStatus::kConflict, 3)}).status ==
                   CommandStatus::kOutcomeUnknown);
  }

  void refusalOfFirstAttemptIsFinal() {
    CPPUNIT_ASSERT(run("drain engine e", {answered(CommandStatus::kConflict)}).status ==
                   CommandStatus::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bodies_.size());
  }

  void unreachableServersAreReported() {
    CPPUNIT_ASSERT_THROW(run("show nodes", {kNotSent}), UnreachableError);
    CPPUNIT_ASSERT_THROW(run("drain engine e", {kNotSent}), UnreachableError);
  }

 private:
  /// Runs a command with three servers, which give `answers` in turn; the last one is repeated.
  CommandResponse run(const std::string& command, std::vector<PostAnswer> answers) {
    bodies_.clear();
    CommandClient client(
        {{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, 2s, 500ms},
        [&](const common::Address&, const std::string& body) {
          bodies_.push_back(body);
          return answers.at(std::min(bodies_.size(), answers.size()) - 1);
        },
        [](common::Duration) {});
    CommandRequest request;
    request.command = command;
    request.change_id = "id-1";
    request.expected_version = expected_version_;
    return client.run(request);
  }

  std::vector<std::string> bodies_;
  std::optional<std::uint64_t> expected_version_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandClientTest);

}  // namespace
}  // namespace cypresswall::operators
