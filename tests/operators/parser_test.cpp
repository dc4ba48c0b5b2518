#include "cypresswall/operators/parser.h"

#include "tests/operators/command_generators.h"

namespace cypresswall::operators {
namespace {

ParseError parseFailure(const std::string& text) {
  try {
    parseCommand(text);
  } catch (const ParseError& error) {
    return error;
  }
  CPPUNIT_FAIL("was understood: " + text);
  throw std::logic_error("not reached");
}

class ParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ParserTest);
  CPPUNIT_TEST(parsesExamplesOfTheManual);
  CPPUNIT_TEST(caretMarksTheOffendingWord);
  CPPUNIT_TEST(suggestsTheNearestWord);
  CPPUNIT_TEST(optionsAreUnorderedAndUnique);
  CPPUNIT_TEST(completesNextWord);
  CPPUNIT_TEST(generatedCommandsRoundTrip);
  CPPUNIT_TEST(arbitraryTextIsParsedOrRejected);
  CPPUNIT_TEST(mutatedCommandsAreParsedOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void parsesExamplesOfTheManual() {
    const auto show = std::get<ShowCommand>(
        parseCommand("show engines where zone = kumamoto and role=decode and running >= 2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, show.conditions.size());
    CPPUNIT_ASSERT_EQUAL(std::string("decode"), show.conditions[1].value);
    const auto bind = std::get<BindServiceCommand>(parseCommand(
        "bind service S to model M urgency high first-token 1.3s between-tokens 79ms"));
    CPPUNIT_ASSERT(bind.first_token == std::chrono::milliseconds(1300));
    CPPUNIT_ASSERT(bind.urgency == configuration::Urgency::kHigh);
    CPPUNIT_ASSERT(!std::get<DrainCommand>(parseCommand("undrain node 127.0.0.1:7000")).drained);
  }

  void caretMarksTheOffendingWord() {
    const std::string text = "show engines where zoen = a";
    const ParseError error = parseFailure(text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{19}, error.position());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, error.length());
    const std::string shown =
        renderError(text, "m", error.position(), error.length(), error.suggestion());
    CPPUNIT_ASSERT_EQUAL(text + "\n                   ^^^^\nm; did you mean \"zone\"?", shown);
  }

  void suggestsTheNearestWord() {
    CPPUNIT_ASSERT_EQUAL(std::string("engines"), parseFailure("show engine").suggestion());
    CPPUNIT_ASSERT_EQUAL(std::string("drain"), parseFailure("drian node x").suggestion());
    CPPUNIT_ASSERT_EQUAL(std::string(""), parseFailure("xyzzyqqq").suggestion());
    CPPUNIT_ASSERT_EQUAL(std::string("decode"),
                         parseFailure("pin engine e role decod").suggestion());
  }

  void optionsAreUnorderedAndUnique() {
    CPPUNIT_ASSERT(parseCommand("declare model m weights u version 2") ==
                   parseCommand("declare model m version 2 weights u"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{26},
                         parseFailure("declare model m version 2 version 3").position());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2},
        std::get<DeclareModelCommand>(parseCommand("declare model m adapter a u adapter b v"))
            .adapters.size());
  }

  void completesNextWord() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{13}, completions("").size());
    CPPUNIT_ASSERT_EQUAL(std::string("engines"), completions("show").front());
    CPPUNIT_ASSERT_EQUAL(std::string("where"), completions("show engines ").front());
    CPPUNIT_ASSERT_EQUAL(std::string("prefill"), completions("pin engine e1 role").at(1));
    CPPUNIT_ASSERT(completions("drain engine").empty());
    CPPUNIT_ASSERT(completions("nonsense here").empty());
  }

  void generatedCommandsRoundTrip() {
    cypresswall::testing::requireProperty("a formatted command reads back", 2000, [] {
      const Command command = testing::anyCommand();
      const std::string text = formatCommand(command);
      RC_LOG() << text;
      RC_ASSERT(parseCommand(text) == command);
    });
  }

  void arbitraryTextIsParsedOrRejected() {
    cypresswall::testing::requireProperty("no text crashes the parser", 2000,
                                          [](const std::string& text) { check(text); });
  }

  void mutatedCommandsAreParsedOrRejected() {
    cypresswall::testing::requireProperty("no mutated command crashes the parser", 2000, [] {
      std::string text = formatCommand(testing::anyCommand());
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
      const auto length = *rc::gen::inRange<std::size_t>(0, 4);
      text.replace(position, length, *rc::gen::arbitrary<std::string>());
      check(text);
    });
  }

 private:
  static void check(const std::string& text) {
    completions(text);
    try {
      const Command command = parseCommand(text);
      RC_ASSERT(parseCommand(formatCommand(command)) == command);
    } catch (const ParseError& error) {
      RC_ASSERT(error.position() <= text.size());
      RC_ASSERT(!renderError(text, error.what(), error.position(), error.length(), "").empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParserTest);

}  // namespace
}  // namespace cypresswall::operators
