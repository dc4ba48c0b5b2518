#include "cypresswall/gateway/completion_request.h"

#include <optional>

#include "cypresswall/gateway/error_answer.h"
#include "tests/support/odd_json.h"
#include "tests/support/property.h"

namespace cypresswall::gateway {
namespace {

/// \return "code/field" of the error; empty if the body is accepted.
std::optional<std::string> errorOf(CompletionKind kind, const std::string& body) {
  try {
    parseCompletionRequest(kind, body);
    return std::nullopt;
  } catch (const RequestError& error) {
    CPPUNIT_ASSERT_EQUAL(400, error.answer().status);
    CPPUNIT_ASSERT(error.answer().outcome == execution::Outcome::kNotRun);
    return error.answer().code + "/" + error.answer().param;
  }
}

class CompletionRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompletionRequestTest);
  CPPUNIT_TEST(errorsNameTheInvalidField);
  CPPUNIT_TEST(skipsUnknownFields);
  CPPUNIT_TEST(joinsMessagesAndParts);
  CPPUNIT_TEST(limitsNestingAndMessageCount);
  CPPUNIT_TEST(arbitraryBytesParseOrGive400);
  CPPUNIT_TEST(mutatedRequestsParseOrGive400);
  CPPUNIT_TEST(messagesRoundTrip);
  CPPUNIT_TEST(oddValuesParseOrGive400);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against: a caller's body with a value that is deep, long or out of range ends the
  // process or gets no answer.
  void oddValuesParseOrGive400() {
    for (const CompletionKind kind : {CompletionKind::kChat, CompletionKind::kText}) {
      testing::forEachOddCopy(
          R"({"model":"m","prompt":["p"],"messages":[{"role":"user","content":
              [{"type":"text","text":"t"}]}],"max_tokens":5,"n":1,"stream":true,
              "stream_options":{"include_usage":true},"other":{"a":[1]}})",
          [kind](const std::string& body) { errorOf(kind, body); });
    }
  }

  void errorsNameTheInvalidField() {
    const std::vector<std::pair<std::string, std::string>> bodies = {
        {"", "invalid_json/"},
        {"[]", "invalid_type/"},
        {"null", "invalid_type/"},
        {"3", "invalid_type/"},
        {R"({})", "missing_field/model"},
        {R"({"model":3})", "invalid_type/model"},
        {R"({"model":null})", "invalid_type/model"},
        {R"({"model":"m"})", "missing_field/messages"},
        {R"({"model":"m","messages":[]})", "missing_field/messages"},
        {R"({"model":"m","messages":"x"})", "invalid_type/messages"},
        {R"({"model":"m","messages":[3]})", "invalid_type/messages"},
        {R"({"model":"m","messages":[{"content":"x"}]})", "missing_field/messages"},
        {R"({"model":"m","messages":[{"role":"user","content":{}}]})", "invalid_type/messages"},
        {R"({"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
         "unsupported_value/messages"},
        {R"({"model":"m","stream":"yes"})", "invalid_type/stream"},
        {R"({"model":"m","max_tokens":0})", "invalid_value/max_tokens"},
        {R"({"model":"m","max_tokens":-1})", "invalid_value/max_tokens"},
        {R"({"model":"m","max_tokens":4294967296})", "invalid_value/max_tokens"},
        {R"({"model":"m","max_tokens":1.5})", "invalid_type/max_tokens"},
        {R"({"model":"m","n":2})", "unsupported_value/n"},
        {R"({"model":"m","messages":[{"role":"user","content":"x"}]} x)", "invalid_json/"},
    };
    for (const auto& [body, error] : bodies) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, error,
                                   errorOf(CompletionKind::kChat, body).value_or("none"));
    }
    CPPUNIT_ASSERT_EQUAL(
        std::string("unsupported_value/prompt"),
        errorOf(CompletionKind::kText, R"({"model":"m","prompt":["a","b"]})").value_or("none"));
  }

  void skipsUnknownFields() {
    const auto request = parseCompletionRequest(
        CompletionKind::kText,
        R"({"temperature":0.5,"x":{"model":[{"role":null}]},"stop":["a"],"model":"m",)"
        R"("seed":-4,"prompt":"p","max_completion_tokens":9,"stream":null,"user":"u"})");
    CPPUNIT_ASSERT_EQUAL(std::string("m"), request.model);
    CPPUNIT_ASSERT_EQUAL(std::string("p"), request.prompt);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{9}, request.maximum_tokens);
    CPPUNIT_ASSERT(!request.stream);
  }

  void joinsMessagesAndParts() {
    const auto request = parseCompletionRequest(
        CompletionKind::kChat,
        R"({"model":"m","messages":[{"role":"system","content":"s"},)"
        R"({"role":"assistant","content":null,"tool_calls":[{"type":"function"}]},)"
        R"({"content":[{"type":"text","text":"a"},{"text":"b","type":"text"}],"role":"user"}]})");
    CPPUNIT_ASSERT_EQUAL(
        std::string("<|system|>\ns\n<|assistant|>\n\n<|user|>\nab\n<|assistant|>\n"),
        request.prompt);
  }

  void limitsNestingAndMessageCount() {
    const std::string deep(1000000, '[');
    CPPUNIT_ASSERT_EQUAL(std::string("invalid_json/"),
                         errorOf(CompletionKind::kChat, R"({"x":)" + deep).value_or("none"));
    std::string many = R"({"model":"m","messages":[)";
    for (std::size_t message = 0; message <= kMaximumMessages; ++message) {
      many += R"({"role":"u"},)";
    }
    CPPUNIT_ASSERT_EQUAL(std::string("invalid_value/messages"),
                         errorOf(CompletionKind::kChat, many).value_or("none"));
  }

  void arbitraryBytesParseOrGive400() {
    testing::requireProperty("any bytes", 2000, [](const std::string& body) {
      errorOf(CompletionKind::kChat, body);
      errorOf(CompletionKind::kText, body);
    });
  }

  void mutatedRequestsParseOrGive400() {
    const std::string whole =
        R"({"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":5,)"
        R"("prompt":["p"],"n":1,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]})";
    testing::requireProperty("mutilated requests", 3000, [&] {
      auto body = whole;
      const auto edits = *rc::gen::inRange(1, 4);
      for (int edit = 0; edit < edits; ++edit) {
        const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 20);
        const auto piece = *rc::gen::elementOf(std::vector<std::string>{
            "", "{", "}", "[", "]", "\"", ":", ",", "null", "1e999", "-1", "\\u0000", "\xc3\x28"});
        body.replace(at, length, piece);
      }
      errorOf(CompletionKind::kChat, body);
      errorOf(CompletionKind::kText, body);
    });
  }

  void messagesRoundTrip() {
    testing::requireProperty("messages read back", 500, [](const std::vector<int>& codes) {
      std::string content;
      for (const int code : codes) {
        content += static_cast<char>('!' + (code & 0x3f));
      }
      std::string body = R"({"model":"m","messages":[{"role":"user","content":")";
      for (const char c : content) {
        body += c == '"' || c == '\\' ? std::string{'\\', c} : std::string{c};
      }
      body += "\"}]}";
      const auto request = parseCompletionRequest(CompletionKind::kChat, body);
      RC_ASSERT(request.prompt == promptOfMessages({{"user", content}}));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionRequestTest);

}  // namespace
}  // namespace cypresswall::gateway
