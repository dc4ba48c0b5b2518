/// Runner entries in the store that need care: a restart of a runner under the same id, and
/// malformed entries, which any writer may leave there.
#include <string>
#include <vector>

#include "platform/fleet_declaration.h"
#include "platform/load_report.h"
#include "platform/runner_machine_list.h"
#include "tests/objects_platform/fake_store.h"
#include "tests/objects_platform/odd_objects.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::objects_platform {
namespace {

constexpr const char* kDeclared = R"({"version": 7, "routes": [
    {"name": "r", "host": "a.example", "path_prefix": "/", "kind": "streaming", "service": "llm"}],
  "services": [{"name": "llm", "engine": {"kv_tokens": 1000, "models": [{"name": "m"}]}}]})";

wire::Json entry(std::uint64_t start_time_ms, const std::string& state = "ready") {
  return {{"service", "llm"}, {"address", "10.0.0.1:80"}, {"zone", "hall-a"},
          {"slots", 48},      {"state", state},           {"stage", "prefill"},
          {"call_seq", 4},    {"born", start_time_ms}};
}

class RunnerEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunnerEntriesTest);
  CPPUNIT_TEST(restartedRunnerIsAnotherEngine);
  CPPUNIT_TEST(earlierStartTimeIsAnotherEngineToo);
  CPPUNIT_TEST(enginesHaveTheBuildOfTheirEntry);
  CPPUNIT_TEST(drainEndsWithIncarnation);
  CPPUNIT_TEST(runnerIdExcludesStartTime);
  CPPUNIT_TEST(dropsReportsOfOtherIncarnations);
  CPPUNIT_TEST(malformedEntriesYieldNoRunner);
  CPPUNIT_TEST(overwrittenEntryKeepsRunnerUntilItIsWrittenAgain);
  CPPUNIT_TEST(entryThatStaysOverwrittenRemovesRunner);
  CPPUNIT_TEST(unreadableEntryDrainsOrReplacesRunner);
  CPPUNIT_TEST(invalidAddressIsNotAnotherRunner);
  CPPUNIT_TEST(replacedValuesLeaveTheRunnerAsItWas);
  CPPUNIT_TEST(entriesDoNotTakeTheNameOfAnotherEngine);
  CPPUNIT_TEST(oddFieldsLeaveOtherRunners);
  CPPUNIT_TEST(malformedEntriesDoNotHideOthers);
  CPPUNIT_TEST(countsEachMalformedEntryOnce);
  CPPUNIT_TEST(anyEntryIsParsedOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { declared_.onPut({"main", 1, wire::Json::parse(kDeclared)}); }

  void restartedRunnerIsAnotherEngine() {
    put("i-1", entry(1000));
    const auto first = onlyEngine();
    put("i-1", entry(2000));
    const auto second = onlyEngine();
    CPPUNIT_ASSERT(first != second);
    CPPUNIT_ASSERT(runners_.findByEngineName(first) == nullptr);
    CPPUNIT_ASSERT(runners_.findByEngineName(second) != nullptr);
    CPPUNIT_ASSERT(incarnationOf(first) != incarnationOf(second));
  }

  void earlierStartTimeIsAnotherEngineToo() {
    put("i-1", entry(2000));
    const auto first = onlyEngine();
    put("i-1", entry(1000));
    CPPUNIT_ASSERT(first != onlyEngine());
  }

  void enginesHaveTheBuildOfTheirEntry() {
    put("i-1", entry(1000));
    CPPUNIT_ASSERT(declared_.current()->engines.begin()->second.build.empty());
    auto spec = entry(1000);
    spec["version"] = "v1.1";
    put("i-1", spec);
    CPPUNIT_ASSERT_EQUAL(std::string("v1.1"), declared_.current()->engines.begin()->second.build);
  }

  void drainEndsWithIncarnation() {
    put("i-1", entry(1000, "draining"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, declared_.current()->engine_overrides.size());
    put("i-1", entry(2000));
    CPPUNIT_ASSERT(declared_.current()->engine_overrides.empty());
    const auto engine = onlyEngine();
    CPPUNIT_ASSERT_EQUAL(engine, declared_.current()->engines.at(engine).machine);
  }

  void runnerIdExcludesStartTime() {
    put("i-1", entry(1000));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), runnerIdOf(onlyEngine()));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), runnerIdOf("i-1"));
  }

  void dropsReportsOfOtherIncarnations() {
    put("i-1", entry(1000));
    const auto engine = onlyEngine();
    const RunnerFacts facts{48, "llm/m", "1", 0};
    const auto report = [&](const std::string& more) {
      return parseLoadReport(R"({"stage":"prefill")" + more + "}", engine, facts, {});
    };
    CPPUNIT_ASSERT(report(R"(,"born":1000)").has_value());
    CPPUNIT_ASSERT(report("").has_value());
    CPPUNIT_ASSERT(!report(R"(,"born":2000)").has_value());
    CPPUNIT_ASSERT(
        !parseCacheEvents(R"({"epoch":3,"next_token":4,"events":[],"born":2000})", engine, facts));
    CPPUNIT_ASSERT(
        !parseCacheList(R"({"epoch":3,"next_token":4,"held":[],"born":2000})", engine, facts));
  }

  void malformedEntriesYieldNoRunner() {
    put("i-1", entry(1000));
    std::uint64_t number = 0;
    for (const wire::Json& spec : malformedSpecs()) {
      put("x-" + std::to_string(++number), spec);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(spec.dump(), std::size_t{1}, runners_.runners().size());
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<double>(number),
                         process_.counters().total("cypresswall_runners_unreadable_total"));
  }

  /// Guards against engines that leave and come back, although they serve well, because another
  /// writer overwrites their entries: runners write them again with their next heartbeat.
  void overwrittenEntryKeepsRunnerUntilItIsWrittenAgain() {
    put("i-1", entry(1000));
    const auto engine = onlyEngine();
    const auto changes = runners_.changes();
    for (int overwritten = 0; overwritten < 20; ++overwritten) {
      put("i-1", wire::Json("of another"));
      world_.runFor(std::chrono::milliseconds(900));
      CPPUNIT_ASSERT_EQUAL(engine, onlyEngine());
      put("i-1", entry(1000));
    }
    world_.runFor(std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(engine, onlyEngine());
    CPPUNIT_ASSERT_EQUAL(changes, runners_.changes());
    CPPUNIT_ASSERT_EQUAL(20.0, process_.counters().total("cypresswall_runners_unreadable_total"));
  }

  void entryThatStaysOverwrittenRemovesRunner() {
    put("i-1", entry(1000));
    for (int second = 0; second < 5; ++second) {
      // Further unreadable versions do not prolong the time.
      put("i-1", wire::Json(second));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runners_.runners().size());
      world_.runFor(std::chrono::seconds(1));
    }
    world_.runFor(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(runners_.runners().empty());
    CPPUNIT_ASSERT(declared_.current()->engines.empty());
    put("i-1", entry(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, declared_.current()->engines.size());
    put("i-1", wire::Json());
    runners_.onDeleted("i-1");
    runners_.onCaughtUp();
    CPPUNIT_ASSERT(runners_.runners().empty());
    put("i-1", entry(1000));
    world_.runFor(std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, declared_.current()->engines.size());
  }

  void unreadableEntryDrainsOrReplacesRunner() {
    const auto malformed = [](std::uint64_t start_time_ms, const std::string& state) {
      auto spec = entry(start_time_ms, state);
      spec["slots"] = -1;
      return spec;
    };
    put("i-1", entry(1000));
    put("i-1", malformed(1000, "draining"));
    CPPUNIT_ASSERT(runners_.findById("i-1")->state == RunnerState::kDraining);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, declared_.current()->engine_overrides.size());
    put("i-1", entry(1000));
    CPPUNIT_ASSERT(runners_.findById("i-1")->state == RunnerState::kDraining);
    put("i-1", malformed(2000, "ready"));
    CPPUNIT_ASSERT(runners_.runners().empty());
    put("i-1", entry(2000));
    auto moved = malformed(2000, "ready");
    moved["address"] = "10.0.0.1:81";
    put("i-1", moved);
    CPPUNIT_ASSERT(runners_.runners().empty());
  }

  /// Guards against runners removed at once because another writer left an invalid address in their
  /// entries.
  void invalidAddressIsNotAnotherRunner() {
    put("i-1", entry(1000));
    const auto engine = onlyEngine();
    for (const char* address :
         {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-80", "10.0.0.1", "somewhere", ""}) {
      auto spec = entry(1000);
      spec["address"] = address;
      put("i-1", spec);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(address, std::size_t{1}, runners_.runners().size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(address, engine, onlyEngine());
    }
    put("i-1", entry(1000));
    world_.runFor(std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(engine, onlyEngine());
  }

  /// Guards against a runner that becomes another engine, loses its build or its slots because
  /// another writer left a number out of range in its entry.
  void replacedValuesLeaveTheRunnerAsItWas() {
    auto spec = entry(1000);
    spec["version"] = "v1";
    put("i-1", spec);
    const Runner before = *runners_.findById("i-1");
    for (const char* name : {"born", "version", "slots", "stage", "call_seq", "zone"}) {
      std::string odd = spec.dump();
      const std::string field = std::string("\"") + name + "\":";
      odd.replace(odd.find(field) + field.size(), spec[name].dump().size(), "1e400");
      const auto page =
          wire::parsePage(testing::pageJson(9, {testing::objectJson("i-1", ++revision_, odd)}));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1}, page.items.size());
      runners_.onPut(page.items.front());
      runners_.onCaughtUp();
      const Runner* const after = runners_.findById("i-1");
      CPPUNIT_ASSERT_MESSAGE(name, after != nullptr && *after == before);
    }
    // A value that is odd in a field of no interest changes nothing for the others.
    std::string further = spec.dump();
    further.insert(1, R"("further":1e400,)");
    runners_.onPut(
        wire::parsePage(testing::pageJson(9, {testing::objectJson("i-1", ++revision_, further)}))
            .items.front());
    runners_.onCaughtUp();
    world_.runFor(std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runners_.runners().size());
  }

  /// An entry without a start time has its identifier as the name of its engine.
  void entriesDoNotTakeTheNameOfAnotherEngine() {
    put("i-1", entry(1000));
    auto other = entry(0);
    other["address"] = "10.0.0.9:80";
    put("i-1+1000", other);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runners_.runners().size());
    CPPUNIT_ASSERT_EQUAL(common::Address("10.0.0.1:80"),
                         declared_.current()->engines.at(onlyEngine()).address);
    put("i+2", entry(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, declared_.current()->engines.size());
  }

  /// Guards against a daemon that ends, or no longer follows the runners, because of one odd field.
  void oddFieldsLeaveOtherRunners() {
    std::uint64_t number = 0;
    const wire::Json sound = entry(1000);
    for (const std::string& odd : cypresswall::testing::oddStoredValues()) {
      for (const auto& [name, value] : sound.items()) {
        std::string spec = sound.dump();
        spec.insert(1, "\"further\":" + odd + ",");
        const std::string field = "\"" + name + "\":";
        const auto at = spec.find(field, odd.size()) + field.size();
        spec.replace(at, value.dump().size(), odd);
        const std::string odd_name = "x-" + std::to_string(++number);
        const std::string good_name = "i-" + std::to_string(number);
        const auto page = wire::parsePage(
            testing::pageJson(9, {testing::objectJson(odd_name, 3, spec),
                                  testing::objectJson(good_name, 3, entry(1000).dump())}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{2}, page.items.size());
        for (const wire::StoreObject& object : page.items) {
          runners_.onPut(object);
        }
        runners_.onCaughtUp();
        CPPUNIT_ASSERT_MESSAGE(name, runners_.findById(good_name) != nullptr);
        if (const Runner* const runner = runners_.findById(odd_name)) {
          CPPUNIT_ASSERT(runner->address.size() <= 64 && !runner->address.ends_with(":0"));
          CPPUNIT_ASSERT(runner->service.size() <= wire::kMaximumNameBytes);
          CPPUNIT_ASSERT(runner->zone.size() <= wire::kMaximumNameBytes);
          CPPUNIT_ASSERT(runner->build.size() <= wire::kMaximumNameBytes);
        }
        runners_.onDeleted(odd_name);
        runners_.onDeleted(good_name);
        runners_.onCaughtUp();
      }
    }
  }

  void malformedEntriesDoNotHideOthers() {
    const std::string good = R"({"metadata":{"name":"i-1","revision":3},"spec":{"a":1}})";
    for (const std::string bad :
         {R"(7)", R"({"spec":{}})", R"({"metadata":{"name":7}})", R"({"metadata":"none"})",
          R"({"metadata":{"name":"x","revision":"3"},"spec":{}})",
          R"({"metadata":{"name":"x","revision":-3},"spec":{}})",
          "{\"metadata\":{\"name\":\"x\",\"revision\":3},\"spec\":\"\xff\xfe\"}"}) {
      std::string items = R"({"at":9,"items":[)";
      items.append(bad).append(",").append(good).append("]}");
      const auto page = wire::parsePage(items);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bad, std::string("i-1"), page.items.back().name);
      std::string changes = R"({"at":9,"events":[{"object":)";
      changes.append(bad).append(R"(},{"object":)").append(good).append("}]}");
      const auto events = wire::parseEvents(changes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bad, std::string("i-1"), events.events.back().object.name);
    }
  }

  void countsEachMalformedEntryOnce() {
    constexpr int kEntries = 5000;
    for (int number = 0; number < kEntries; ++number) {
      runners_.onPut({"x-" + std::to_string(number), 1, wire::Json(number)});
    }
    runners_.onCaughtUp();
    CPPUNIT_ASSERT(runners_.runners().empty());
    CPPUNIT_ASSERT_EQUAL(double{kEntries},
                         process_.counters().total("cypresswall_runners_unreadable_total"));
  }

  void anyEntryIsParsedOrRejected() {
    cypresswall::testing::requireProperty("any entry is read or refused", 2000, [this] {
      wire::Json spec = entry(1000);
      const auto fields = *rc::gen::inRange(1, 4);
      for (int field = 0; field < fields; ++field) {
        auto place = spec.begin();
        std::advance(place, *rc::gen::inRange<int>(0, static_cast<int>(spec.size())));
        *place =
            *rc::gen::element(wire::Json(), wire::Json(-1), wire::Json(1e30), wire::Json("\xff"),
                              wire::Json::array({1, "a"}), wire::Json::object({{"a", 1}}),
                              wire::Json(true), wire::Json(std::string(1000, 'a')));
      }
      runners_.onPut({"i-2", 1, spec});
      runners_.onCaughtUp();
      for (const auto& [id, runner] : runners_.runners()) {
        RC_ASSERT(runner.slots <= kMaximumSlots);
        RC_ASSERT(runner.state == RunnerState::kReady || runner.state == RunnerState::kDraining);
      }
    });
  }

 private:
  /// Each is a valid entry except for one field, or not an object at all.
  static std::vector<wire::Json> malformedSpecs() {
    std::vector<wire::Json> specs = {wire::Json(), wire::Json(7), wire::Json("text"),
                                     wire::Json::array()};
    const auto with = [&](const char* name, wire::Json value) {
      specs.push_back(entry(1000));
      specs.back()[name] = std::move(value);
    };
    for (const char* name : {"address", "service", "state"}) {
      specs.push_back(entry(1000));
      specs.back().erase(name);
      with(name, 7);
      with(name, nullptr);
    }
    with("state", "resting");
    with("address", "somewhere");
    with("address", "10.0.0.1:99999");
    with("address", "10.0.0.1:65536");
    with("address", "10.0.0.1:0");
    with("address", "10.0.0.1:-80");
    with("address", "10.0.0.1:4294967376");
    with("address", std::string("10.0.0.1\0x:80", 13));
    with("address", "10.0.0.1:" + std::string(100, '0') + "80");
    with("service", "");
    with("service", std::string(2000, 's'));
    with("service", "a\r\nb: c");
    with("zone", std::string(1U << 20U, 'z'));
    with("zone", 7);
    with("address", "10.0.0.1");
    with("slots", -1);
    with("slots", 1e300);
    with("slots", 65537);
    with("call_seq", 1e300);
    with("call_seq", 18446744073709551615U);
    with("slots", 1e12);
    with("slots", "48");
    with("slots", 0.5);
    with("call_seq", -4);
    with("born", "now");
    with("born", -1);
    with("born", 1.5);
    with("stage", "resting");
    with("version", 7);
    with("models", 7);
    with("models", wire::Json::array({wire::Json::object({{"version", 1}})}));
    return specs;
  }
  void put(const std::string& name, wire::Json spec) {
    runners_.onPut({name, ++revision_, std::move(spec)});
    runners_.onCaughtUp();
    declared_.onCaughtUp();
  }
  common::EngineName onlyEngine() const {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, declared_.current()->engines.size());
    return declared_.current()->engines.begin()->first;
  }

  cypresswall::testing::VirtualWorld world_{1};
  cypresswall::testing::VirtualProcess& process_ = world_.spawn({"10.0.0.1:1", 1}, "z");
  std::uint64_t revision_ = 1;
  RunnerRegistry runners_{process_.context()};
  FleetDeclaration declared_{process_.context(), runners_, ZoneRegions("region"), {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerEntriesTest);

}  // namespace
}  // namespace cypresswall::objects_platform
