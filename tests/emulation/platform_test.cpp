#include <vector>

#include "cypresswall/emulation/machine_list.h"
#include "cypresswall/emulation/service.h"
#include "cypresswall/simulation/virtual_time.h"
#include "tests/support/property.h"

namespace cypresswall::emulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformTest);
  CPPUNIT_TEST(machineListLags);
  CPPUNIT_TEST(serviceLedgerRecordsExecutions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void machineListLags() {
    EmulatedMachineList list(seconds(2), time_, time_);
    list.setWithoutLag({"m", "z", object_store::MachineState::kLive, {"127.0.0.1"}});
    list.set({"m", "z", object_store::MachineState::kLeaving, {"127.0.0.1"}});
    time_.runFor(seconds(1));
    CPPUNIT_ASSERT(list.visible("z")[0].state == object_store::MachineState::kLive);
    time_.runFor(seconds(1));
    CPPUNIT_ASSERT(list.visible("z")[0].state == object_store::MachineState::kLeaving);
    CPPUNIT_ASSERT(list.visible("elsewhere").empty());
  }

  void serviceLedgerRecordsExecutions() {
    EmulatedService service("portal", milliseconds(1), time_);
    ServiceFaults faults;
    faults.refuse_next = 1;
    faults.break_before_run = 1;
    faults.break_after_run = 1;
    service.setFaults(faults);
    std::vector<EmulatedServiceOutcome> ends;
    const EmulatedServiceCall call{"r", "k", "POST", "/book", "body"};
    const std::vector<std::uint32_t> runs_after = {0, 0, 1, 2};
    for (const std::uint32_t runs : runs_after) {
      service.handle(call, [&](const EmulatedServiceAnswer& answer) {
        ends.push_back(answer.end);
        CPPUNIT_ASSERT(answer.end != EmulatedServiceOutcome::kAnswered ||
                       answer.body == service.expectedBody(call));
      });
      time_.runFor(milliseconds(1));
      CPPUNIT_ASSERT_EQUAL(runs, service.executionsOfKey("k"));
    }
    const std::vector<EmulatedServiceOutcome> expected = {
        EmulatedServiceOutcome::kRefused, EmulatedServiceOutcome::kBroken,
        EmulatedServiceOutcome::kBroken, EmulatedServiceOutcome::kAnswered};
    CPPUNIT_ASSERT(ends == expected);
  }

 private:
  simulation::VirtualTime time_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);

}  // namespace
}  // namespace cypresswall::emulation
