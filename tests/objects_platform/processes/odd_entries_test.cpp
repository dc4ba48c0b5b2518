/// Entries of the store that another writer left malformed: no daemon may end, each follows the
/// runners, and the entry is named in the log.
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/objects_platform/processes/objects_fleet.h"
#include "tests/support/property.h"

namespace cypresswall::objects_platform::testing {
namespace {

constexpr std::size_t kNodes = 4;
constexpr std::size_t kCalls = 20;
constexpr std::uint64_t kEvents = 6;
constexpr int kOk = 200;
constexpr auto kStartLimit = std::chrono::seconds(12);
/// Longest time until all nodes have taken over a change of the runners.
constexpr auto kChangeLimit = std::chrono::seconds(4);
constexpr const char* kOddEntry = "odd-entry";
constexpr std::size_t kDeepLevels = 100000;

std::string nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

/// \param members further members of the entry, each with a leading comma
std::string leavingRunner(const std::string& members,
                          const std::string& address = "127.0.0.1:9000") {
  return R"({"service":"booking-api","address":")" + address +
         R"(","version":"v1","slots":6,"state":"draining","cold_left_ms":0,"call_seq":0)" +
         members + "}";
}

class OddEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(deeplyNestedEntryAppearsWhileServing);
  CPPUNIT_TEST(deeplyNestedEntryIsThereAtStart);
  CPPUNIT_TEST(numberOutOfRangeAppearsWhileServing);
  CPPUNIT_TEST(numberOutOfRangeIsThereAtStart);
  CPPUNIT_TEST(loneSurrogateAppearsWhileServing);
  CPPUNIT_TEST(loneSurrogateIsThereAtStart);
  CPPUNIT_TEST(portOutOfRangeAppearsWhileServing);
  CPPUNIT_TEST(portOutOfRangeIsThereAtStart);
  CPPUNIT_TEST(oddConfigurationIsPassedOver);
  CPPUNIT_TEST(nodesThatStartBeforeAnOddRouteTakeTheNextConfiguration);
  CPPUNIT_TEST(manyValuesAppearWhileServing);
  CPPUNIT_TEST(manyValuesAreThereAtStart);
  CPPUNIT_TEST(deeplyNestedOwnObjectIsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { fleet_.emplace(kNodes); }
  void tearDown() override { fleet_.reset(); }

  /// Guards against daemons that overflow their stack on an entry nested 100,000 levels deep.
  void deeplyNestedEntryAppearsWhileServing() { expectServedDuring(deepEntry()); }
  /// Guards against daemons that end again and again at their start on a deeply nested entry.
  void deeplyNestedEntryIsThereAtStart() { expectServedFromStart(deepEntry()); }

  /// Guards against daemons that no longer follow the runners once an entry holds the number 1e400.
  void numberOutOfRangeAppearsWhileServing() { expectServedDuring(hugeNumber()); }
  /// Guards against daemons that never become ready because one entry holds the number 1e400.
  void numberOutOfRangeIsThereAtStart() { expectServedFromStart(hugeNumber()); }

  /// Guards against daemons that no longer follow the runners once an entry holds half a surrogate
  /// pair.
  void loneSurrogateAppearsWhileServing() { expectServedDuring(loneSurrogate()); }
  /// Guards against daemons that never become ready because one entry holds half a surrogate pair.
  void loneSurrogateIsThereAtStart() { expectServedFromStart(loneSurrogate()); }

  /// Guards against daemons that end, or miss later changes, on an address with port 99999.
  void portOutOfRangeAppearsWhileServing() { expectServedDuring(badPort()); }
  /// Guards against daemons that end or never become ready on an address with port 99999.
  void portOutOfRangeIsThereAtStart() { expectServedFromStart(badPort()); }

  /// Guards against daemons that end on a deeply nested configuration, or miss the one after it.
  void oddConfigurationIsPassedOver() {
    startDaemons();
    std::string deep = operatorConfiguration(8);
    deep.insert(deep.size() - 1, R"(,"extra":)" + nested(kDeepLevels));
    putConfiguration(deep);
    expectServed();
    std::string huge = operatorConfiguration(9);
    huge.insert(huge.size() - 1, R"(,"extra":1e400)");
    putConfiguration(huge);
    expectServed();
    putConfiguration(operatorConfiguration(10, "places"));
    const bool followed = holdsWithin(kChangeLimit, [this] { return allServe("places"); });
    expectAllRun();
    CPPUNIT_ASSERT_MESSAGE("the daemons do not follow the configuration", followed);
  }

  /// Guards against daemons that started before a configuration with one odd route, and don't take
  /// the one after it.
  void nodesThatStartBeforeAnOddRouteTakeTheNextConfiguration() {
    putConfiguration(oddRoute(8));
    fleet_->startDaemons();
    CPPUNIT_ASSERT(holdsWithin(kStartLimit, [this] {
      return fleet_->logged("declared_configuration_unreadable", "revision");
    }));
    expectAllRun();
    for (std::size_t node = 0; node < kNodes; ++node) {
      CPPUNIT_ASSERT(!fleet_->ready(node));
    }
    putConfiguration(operatorConfiguration(9));
    expectReadyAndServing();
  }

  /// Guards against daemons that no longer follow the runners once an entry has more than a million
  /// values.
  void manyValuesAppearWhileServing() { expectServedDuring(manyValues()); }
  /// Guards against daemons that never become ready because one entry has more than a million
  /// values.
  void manyValuesAreThereAtStart() { expectServedFromStart(manyValues()); }

  /// Guards against daemons that overflow their stack when they write an object of their own anew
  /// that another writer left deeply nested.
  void deeplyNestedOwnObjectIsReplaced() {
    startDaemons();
    const std::string value = R"({"builds":{},"extra":)" + nested(kDeepLevels) + "}";
    fleet_->atStore([&](StoreStandin& store) {
      store.put("cypresswall", "answer-builds_2fcoast",
                nlohmann::json{{"value", value}, {"change_id", "another"}}.dump());
    });
    fleet_->addRunner({"model-v2", kModelService, fleet_->runnerAddress(), "v2", true});
    expectRunnersFollowed();
  }

 private:
  void putConfiguration(const std::string& spec) {
    fleet_->atStore([&](StoreStandin& store) { store.put("config", "main", spec); });
  }

  bool allServe(const std::string& prefix) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (fleet_->callPlain(node, prefix).status != kOk) {
        return false;
      }
    }
    return true;
  }

  static std::string oddRoute(std::uint64_t version) {
    auto spec = nlohmann::json::parse(operatorConfiguration(version));
    spec["routes"].push_back({{"prefix", 7}, {"kind", "sometimes"}});
    return spec.dump();
  }

  static std::string manyValues() {
    constexpr std::size_t kValues = 1'010'000;
    std::string values = "[0";
    for (std::size_t value = 1; value < kValues; ++value) {
      values += ",0";
    }
    return leavingRunner(",\"extra\":" + values + "]");
  }

  static std::string deepEntry() { return leavingRunner(",\"extra\":" + nested(kDeepLevels)); }
  static std::string hugeNumber() { return leavingRunner(",\"extra\":1e400"); }
  static std::string loneSurrogate() { return leavingRunner(R"(,"zone":"\ud800")"); }
  static std::string badPort() { return leavingRunner("", "127.0.0.1:99999"); }

  void expectServedDuring(const std::string& spec) {
    startDaemons();
    putOddEntry(spec);
    expectRunnersFollowed();
    expectEntryNamed();
  }

  void expectServedFromStart(const std::string& spec) {
    putOddEntry(spec);
    startDaemons();
    expectRunnersFollowed();
    expectEntryNamed();
  }

  void putOddEntry(const std::string& spec) {
    fleet_->atStore([&](StoreStandin& store) { store.put("servers", kOddEntry, spec); });
  }

  void startDaemons() {
    fleet_->startDaemons();
    expectReadyAndServing();
  }

  void expectReadyAndServing() {
    const bool ready = holdsWithin(kStartLimit, [this] { return fleet_->allAreReady(); });
    expectAllRun();
    CPPUNIT_ASSERT_MESSAGE("not all daemons are ready", ready);
    // Model runners are used once their first report has come.
    for (std::size_t node = 0; node < kNodes; ++node) {
      CPPUNIT_ASSERT(holdsWithin(
          kStartLimit, [&] { return fleet_->callModel(node, {.events = kEvents}).status == kOk; }));
    }
    expectServed();
  }

  /// Replaces all runners, so that only daemons that follow the store can serve.
  void expectRunnersFollowed() {
    const std::size_t former = fleet_->runners().size();
    const RunnerStandin& plain =
        fleet_->addRunner({"plain-new", kPlainService, fleet_->runnerAddress()});
    const RunnerStandin& model =
        fleet_->addRunner({"model-new", kModelService, fleet_->runnerAddress(), "v1", true});
    for (std::size_t number = 0; number < former; ++number) {
      fleet_->removeEntry(*fleet_->runners()[number]);
    }
    const bool followed = holdsWithin(kChangeLimit, [&] { return onlyTheseRun(plain, model); });
    expectAllRun();
    CPPUNIT_ASSERT_MESSAGE("the daemons do not follow the runners", followed);
    expectServed();
  }

  bool onlyTheseRun(const RunnerStandin& plain, const RunnerStandin& model) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      const std::size_t plain_runs = plain.runs();
      const std::size_t model_runs = model.runs();
      fleet_->callPlain(node);
      fleet_->callModel(node, {.events = kEvents});
      if (plain.runs() == plain_runs || model.runs() == model_runs) {
        return false;
      }
    }
    return true;
  }

  void expectServed() {
    std::size_t served = 0;
    std::string refusals;
    for (std::size_t call = 0; call < kCalls; ++call) {
      const std::size_t node = call % kNodes;
      const bool model = call / kNodes % 2 == 1;
      const HttpAnswer answer =
          model ? fleet_->callModel(node, {.events = kEvents}) : fleet_->callPlain(node);
      if (answer.complete && answer.status == kOk) {
        ++served;
      } else {
        refusals += "\nnode " + std::to_string(node) + ": status " + std::to_string(answer.status) +
                    " " + answer.error + " " + answer.body;
      }
    }
    expectAllRun();
    CPPUNIT_ASSERT_EQUAL_MESSAGE("requests served" + refusals, kCalls, served);
    CPPUNIT_ASSERT_MESSAGE("not all daemons are ready", fleet_->allAreReady());
  }

  void expectAllRun() const {
    std::string ended;
    for (const std::string& ending : fleet_->endings()) {
      ended += ended.empty() ? ending : ", " + ending;
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("daemons that ended by themselves", std::string(), ended);
  }

  void expectEntryNamed() const {
    CPPUNIT_ASSERT_MESSAGE("no line of a log names the entry",
                           fleet_->logged("unreadable", kOddEntry));
  }

  std::optional<ObjectsFleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);

}  // namespace
}  // namespace cypresswall::objects_platform::testing
