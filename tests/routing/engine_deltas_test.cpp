#include "cypresswall/routing/engine_deltas.h"

#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

/// Any speed that an engine may report or an operator may declare, from zero to implausible ones.
double anySpeed(double unit) {
  const auto digits = *rc::gen::inRange<std::uint64_t>(0, 1000000000);
  const auto scale = *rc::gen::element(1e-3, 1.0, 1.0 / 3.0, 1.7e3, 1e12);
  return static_cast<double>(digits) * unit * scale;
}

engines::EngineLoad anyLoad() {
  engines::EngineLoad load;
  load.incarnation = *rc::gen::arbitrary<std::uint64_t>();
  load.maximum_streams = *rc::gen::arbitrary<std::uint32_t>();
  load.cache_pieces_total = *rc::gen::arbitrary<std::uint32_t>();
  load.prefill_tokens_per_second = anySpeed(1e-3);
  load.decode_step_base = common::Duration(*rc::gen::inRange(0, 1000000));
  load.decode_step_per_stream = common::Duration(*rc::gen::inRange(0, 1000000));
  load.prefill_base = common::Duration(*rc::gen::inRange(0, 1000000));
  load.prefill_seconds_per_pair = anySpeed(1e-15);
  load.kv_seconds_per_token = anySpeed(1e-12);
  return load;
}

class EngineDeltasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineDeltasTest);
  CPPUNIT_TEST(appliedIdentityKeepsItsTag);
  CPPUNIT_TEST_SUITE_END();

 public:
  void appliedIdentityKeepsItsTag() {
    testing::requireProperty("identity tag", 2000, [] {
      const engines::EngineLoad published = anyLoad();
      engines::EngineLoad applied;
      applyIdentity(makeIdentity(3, published), applied);
      RC_ASSERT(identityTag(applied) == identityTag(published));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineDeltasTest);

}  // namespace
}  // namespace cypresswall::routing
