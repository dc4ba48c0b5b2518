#include "cypresswall/routing/prefix_index.h"

#include <algorithm>
#include <map>
#include <set>

#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

constexpr common::MonotonicTime kNow{std::chrono::seconds(100)};

std::uint32_t depthOf(PrefixIndex& index, EngineSlot engine,
                      const std::vector<common::PieceHash>& pieces) {
  std::vector<PrefixMatch> matches;
  index.match(pieces, matches);
  for (const PrefixMatch& match : matches) {
    if (match.engine == engine) {
      return match.pieces;
    }
  }
  return 0;
}

class PrefixIndexTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixIndexTest);
  CPPUNIT_TEST(agreesWithExactIndex);
  CPPUNIT_TEST(restartedEngineIsForgotten);
  CPPUNIT_TEST(gapsLowerTrustWithinBounds);
  CPPUNIT_TEST(staysWithinItsMemoryLimit);
  CPPUNIT_TEST(fullEngineEvictsTheLeastRecentlyUsed);
  CPPUNIT_TEST(startOfAPromptIsEvictedAfterItsEnd);
  CPPUNIT_TEST(evictionEventOlderThanTheLastUseIsIgnored);
  CPPUNIT_TEST(pieceIsFoundAtEveryEngine);
  CPPUNIT_TEST(withoutPredictionOnlyReportedPiecesCount);
  CPPUNIT_TEST_SUITE_END();

 public:
  void agreesWithExactIndex() {
    testing::requireProperty("agrees with an exact index while within its limits", 200, [] {
      PrefixIndex index({});
      std::map<EngineSlot, std::set<common::PieceHash>> exact;
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 40)));
      for (const auto& [engine, step] : steps) {
        const common::PieceHash piece = common::hash64(std::to_string(step / 2));
        const auto slot = static_cast<EngineSlot>(engine);
        if (step % 2 == 0) {
          index.stored(slot, piece, 0, kNow);
          exact[slot].insert(piece);
        } else {
          index.evictionReported(slot, piece, kNow + std::chrono::seconds(5));
          exact[slot].erase(piece);
        }
      }
      std::vector<common::PieceHash> prompt;
      prompt.reserve(20);
      for (int i = 0; i < 20; ++i) {
        prompt.push_back(common::hash64(std::to_string(i)));
      }
      for (EngineSlot engine = 0; engine < 5; ++engine) {
        std::uint32_t depth = 0;
        while (depth < prompt.size() && exact[engine].count(prompt[depth]) != 0) {
          ++depth;
        }
        RC_ASSERT(depthOf(index, engine, prompt) == depth);
      }
    });
  }

  void restartedEngineIsForgotten() {
    PrefixIndex index({});
    index.stored(1, 77, 0, kNow);
    index.stored(2, 77, 0, kNow);
    index.forgetEngine(1);
    CPPUNIT_ASSERT_EQUAL(0U, depthOf(index, 1, {77}));
    CPPUNIT_ASSERT_EQUAL(1U, depthOf(index, 2, {77}));
    index.stored(1, 77, 0, kNow);
    CPPUNIT_ASSERT_EQUAL(1U, depthOf(index, 1, {77}));
  }

  void gapsLowerTrustWithinBounds() {
    const PrefixIndexSettings settings;
    PrefixIndex index(settings);
    for (int i = 0; i < 50; ++i) {
      index.gapSeen(3);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(settings.minimum_trust, index.trust(3), 1e-9);
    for (int i = 0; i < 200; ++i) {
      index.batchWithoutGap(3);
    }
    CPPUNIT_ASSERT(index.trust(3) > 0.99 && index.trust(3) <= 1.0);
  }

  void staysWithinItsMemoryLimit() {
    PrefixIndexSettings settings;
    settings.maximum_pieces = 1024;
    PrefixIndex index(settings);
    for (std::uint64_t i = 0; i < 100000; ++i) {
      index.stored(static_cast<EngineSlot>(i % 100), common::hash64(std::to_string(i)), 0, kNow);
    }
    CPPUNIT_ASSERT(index.size() <= settings.maximum_pieces);
    CPPUNIT_ASSERT_EQUAL(1U, depthOf(index, 99, {common::hash64("99999")}));
  }

  void fullEngineEvictsTheLeastRecentlyUsed() {
    PrefixIndex index({});
    index.setCapacity(1, 10000);
    index.stored(1, 11, 4000, kNow);
    index.stored(1, 12, 4000, kNow);
    index.stored(1, 11, 4000, kNow);
    index.stored(1, 13, 4000, kNow);
    CPPUNIT_ASSERT_EQUAL(1U, depthOf(index, 1, {11}));
    CPPUNIT_ASSERT_EQUAL(0U, depthOf(index, 1, {12}));
    CPPUNIT_ASSERT_EQUAL(1U, depthOf(index, 1, {13}));
  }

  void startOfAPromptIsEvictedAfterItsEnd() {
    PrefixIndex index({});
    index.setCapacity(1, 10000);
    common::PromptShape shape;
    shape.pieces = {11, 12};
    shape.piece_ends = {4000, 8000};
    shape.tokens = 8000;
    index.usedBy(1, shape, kNow);
    index.stored(1, 13, 4000, kNow);
    CPPUNIT_ASSERT_EQUAL(1U, depthOf(index, 1, shape.pieces));
  }

  void evictionEventOlderThanTheLastUseIsIgnored() {
    const PrefixIndexSettings settings;
    PrefixIndex index(settings);
    index.stored(1, 11, 0, kNow);
    CPPUNIT_ASSERT(!index.evictionReported(1, 11, kNow + settings.event_lag / 2));
    CPPUNIT_ASSERT_EQUAL(1U, depthOf(index, 1, {11}));
    CPPUNIT_ASSERT(index.evictionReported(1, 11, kNow + settings.event_lag * 2));
    CPPUNIT_ASSERT_EQUAL(0U, depthOf(index, 1, {11}));
  }

  void withoutPredictionOnlyReportedPiecesCount() {
    for (const bool predicts_unreported : {true, false}) {
      PrefixIndexSettings settings;
      settings.predicts_unreported = predicts_unreported;
      PrefixIndex index(settings);
      common::PromptShape sent;
      sent.pieces = {11};
      sent.tokens = common::kTokensPerCachePiece;
      index.expectStored(1, sent, kNow);
      CPPUNIT_ASSERT_EQUAL(predicts_unreported ? 1U : 0U, depthOf(index, 1, {11}));
      // An engine at capacity.
      index.setCapacity(2, 10000);
      index.stored(2, 12, 6000, kNow);
      index.stored(2, 13, 6000, kNow);
      CPPUNIT_ASSERT_EQUAL(predicts_unreported ? 0U : 1U, depthOf(index, 2, {12}));
      // An event at the time of the last use.
      CPPUNIT_ASSERT_EQUAL(!predicts_unreported, index.evictionReported(2, 13, kNow));
      CPPUNIT_ASSERT_EQUAL(predicts_unreported ? 1U : 0U, depthOf(index, 2, {13}));
    }
  }

  void pieceIsFoundAtEveryEngine() {
    PrefixIndex index({});
    for (EngineSlot slot = 0; slot < 200; ++slot) {
      index.stored(slot, 11, 0, kNow);
    }
    for (EngineSlot slot = 0; slot < 200; ++slot) {
      CPPUNIT_ASSERT_EQUAL(1U, depthOf(index, slot, {11}));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixIndexTest);

}  // namespace
}  // namespace cypresswall::routing
