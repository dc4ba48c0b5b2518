#include "cypresswall/answer_builds/store_confirmation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

#include "cypresswall/simulation/simulated_platform.h"
#include "cypresswall/simulation/simulation.h"

namespace cypresswall::answer_builds {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kInterval = milliseconds(10);

class StoreConfirmationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreConfirmationTest);
  CPPUNIT_TEST(callbackThatThrows);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against refusals of answers that are taken up: an exception of one request kept the
  /// others that waited for the same calls from being answered.
  void callbackThatThrows() {
    simulation::Simulation simulation(1);
    simulation::SimulatedPlatform platform(simulation);
    auto& process = simulation.start("10.0.0.1:7000", "z");
    auto& store = process.emplace<simulation::SimulatedObjectStore>(simulation, process, platform);
    auto& confirmation = process.emplace<StoreConfirmation>("key", process.context(), store,
                                                            [](const std::string&) {});
    confirmation.setListRefresh([](const auto& done) { done(true); });
    int answered = 0;
    const auto count = [&](bool confirmed) { answered += confirmed ? 1 : 0; };
    // The first request begins a pair of calls; the next three share the one after it.
    confirmation.request(kInterval, count);
    confirmation.request(kInterval, count);
    confirmation.request(kInterval, [](bool) { throw std::runtime_error("of one request"); });
    confirmation.request(kInterval, count);
    CPPUNIT_ASSERT_THROW(simulation.time().runFor(seconds(1)), std::runtime_error);
    simulation.time().runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(3, answered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreConfirmationTest);

}  // namespace
}  // namespace cypresswall::answer_builds
