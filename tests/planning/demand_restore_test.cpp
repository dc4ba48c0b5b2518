/// Demand that a zone had before all its nodes restarted.
#include <array>
#include <limits>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <utility>

#include "cypresswall/planning/demand_estimator.h"
#include "tests/support/property.h"

namespace cypresswall::planning {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

common::MonotonicTime at(common::Duration time) { return common::MonotonicTime(time); }

DemandCount requests(std::uint64_t number) {
  DemandCount count;
  count.requests = number;
  return count;
}

/// Adds `per_second` requests a second to the estimator, in steps of 100 ms.
void run(DemandEstimator& estimator, std::uint64_t per_second, common::Duration from,
         common::Duration to) {
  for (auto time = from; time < to; time += milliseconds(100)) {
    estimator.add("m", requests(per_second / 10), at(time));
  }
}

std::string encodedRates(double rate) {
  using Rates = std::array<double, 12>;
  Rates rates{};
  rates[0] = rate;
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, std::map<std::string, std::pair<Rates, Rates>>{{"m", {rates, rates}}});
  return {buffer.data(), buffer.size()};
}

class DemandRestoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandRestoreTest);
  CPPUNIT_TEST(restoredDemandIsKnownAtOnce);
  CPPUNIT_TEST(restoredDemandFadesAsNewDemandComes);
  CPPUNIT_TEST(uselessBytesChangeNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void restoredDemandIsKnownAtOnce() {
    DemandEstimator before({}, at(seconds(0)));
    run(before, 200, seconds(0), seconds(600));
    DemandEstimator after({}, at(seconds(1000)));
    CPPUNIT_ASSERT(!after.warm(at(seconds(1000))));
    CPPUNIT_ASSERT(after.restore(before.encode(at(seconds(600)))));
    CPPUNIT_ASSERT(after.warm(at(seconds(1000))));
    const ModelDemand demand = after.demand("m", at(seconds(1000)));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, demand.long_window.requests_per_second, 4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, demand.short_window.requests_per_second, 4);
  }

  void restoredDemandFadesAsNewDemandComes() {
    DemandEstimator estimator({}, at(seconds(1000)));
    run(estimator, 100, seconds(1000), seconds(1002));
    CPPUNIT_ASSERT(estimator.restore(encodedRates(400)));
    const double early = estimator.demand("m", at(seconds(1002))).long_window.requests_per_second;
    CPPUNIT_ASSERT(early > 380 && early < 400);
    run(estimator, 100, seconds(1002), seconds(1400));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        100, estimator.demand("m", at(seconds(1400))).long_window.requests_per_second, 5);
  }

  void uselessBytesChangeNothing() {
    const std::string good = encodedRates(400);
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    for (const std::string& bytes :
         {std::string(), std::string("x"), good.substr(0, good.size() / 2),
          std::string(100000, '\xff'), encodedRates(nan), encodedRates(infinity), encodedRates(-1),
          encodedRates(1e300)}) {
      DemandEstimator estimator({}, at(seconds(1000)));
      CPPUNIT_ASSERT(!estimator.restore(bytes));
      CPPUNIT_ASSERT(!estimator.warm(at(seconds(1000))));
      CPPUNIT_ASSERT_EQUAL(
          0.0, estimator.demand("m", at(seconds(1060))).long_window.requests_per_second);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandRestoreTest);

}  // namespace
}  // namespace cypresswall::planning
