#include "platform/prompt_parts.h"

#include <sstream>

#include "tests/support/property.h"

namespace cypresswall::objects_platform {
namespace {

class PromptPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptPartsTest);
  CPPUNIT_TEST(readsTokenCounts);
  CPPUNIT_TEST(equalPartsGiveEqualPieces);
  CPPUNIT_TEST(malformedPartsEndTheList);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readsTokenCounts() {
    const auto counts = parseTokenCounts("1460,80");
    CPPUNIT_ASSERT(counts.has_value());
    CPPUNIT_ASSERT_EQUAL(1460U, counts->prompt);
    CPPUNIT_ASSERT_EQUAL(80U, counts->answer);
    for (const char* bad : {"", "1460", "a,b", "-1,2", "1,99999999999"}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !parseTokenCounts(bad).has_value());
    }
  }

  /// Two prompts share exactly the pieces of their common parts, whatever the sizes.
  void equalPartsGiveEqualPieces() {
    testing::requireProperty("pieces", 200, [] {
      const auto shared = *rc::gen::inRange<std::uint32_t>(1, 30000);
      const auto own = *rc::gen::inRange<std::uint32_t>(1, 30000);
      const auto parts = [&](const std::string& last) {
        std::ostringstream text;
        text << "5c1e:" << shared << ',' << last << ':' << own;
        return text.str();
      };
      const auto one = shapeOfParts(parts("aa"), shared + own, "model");
      const auto other = shapeOfParts(parts("bb"), shared + own, "model");
      RC_ASSERT(one.pieces.size() == 2U);
      RC_ASSERT(other.pieces.size() == 2U);
      RC_ASSERT(one.pieces[0] == other.pieces[0]);
      RC_ASSERT(one.pieces[1] != other.pieces[1]);
      RC_ASSERT(one.tokensOfPieces(0) == 0U);
      RC_ASSERT(one.tokensOfPieces(1) == shared);
      RC_ASSERT(one.tokensOfPieces(2) == shared + own);
      RC_ASSERT(one.sharedPieces() == 1U);
      const auto other_model = shapeOfParts(parts("aa"), shared + own, "other");
      for (std::size_t piece = 0; piece < one.pieces.size(); ++piece) {
        RC_ASSERT(one.pieces[piece] != other_model.pieces[piece]);
      }
    });
  }

  void malformedPartsEndTheList() {
    const auto shape = shapeOfParts("aa:2000,bb,cc:2000", 4000, "model");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shape.pieces.size());
    CPPUNIT_ASSERT_EQUAL(4000U, shape.tokens);
    const auto too_long = shapeOfParts("aa:2000,bb:2001", 4000, "model");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, too_long.pieces.size());
    const auto empty_part = shapeOfParts("aa:2000,bb:0,cc:2000", 4000, "model");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, empty_part.pieces.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptPartsTest);

}  // namespace
}  // namespace cypresswall::objects_platform
