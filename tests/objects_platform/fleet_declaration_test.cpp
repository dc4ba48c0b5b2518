#include "platform/fleet_declaration.h"

#include <functional>
#include <string>
#include <vector>

#include "platform/fleet_translation.h"
#include "platform/runner_machine_list.h"
#include "tests/objects_platform/fake_store.h"
#include "tests/support/odd_stored_json.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::objects_platform {
namespace {

using configuration::FleetConfiguration;
using configuration::Urgency;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string configurationJson(std::uint64_t version) {
  return R"({"version": )" + std::to_string(version) + R"(, "routes": [
      {"name": "r-a", "host": "Digest.example", "path_prefix": "/a/", "kind": "streaming",
       "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "max_attempts": 1,
       "backends": [{"service": "llm", "weight": 90}, {"service": "llm-2", "weight": 10}],
       "sticky": true, "resumable": false, "target_gap_ms": 150},
      {"name": "r-b", "host": "digest.example", "path_prefix": "/a/b/", "kind": "streaming",
       "timeout_ms": 3000, "priority": 0, "service": "llm", "max_attempts": 2, "sticky": true,
       "resumable": true, "target_gap_ms": 150},
      {"name": "r-c", "host": "track.example", "path_prefix": "/", "kind": "idempotent",
       "timeout_ms": 1000, "priority": 2, "service": "api", "max_attempts": 2},
      {"name": "r-d", "host": "track.example", "path_prefix": "/post/", "kind": "non_idempotent",
       "timeout_ms": 1000, "priority": 9, "service": "api", "max_attempts": 1}],
    "services": [
      {"name": "llm", "engine": {"kv_tokens": 495255, "models": [{"name": "m"}]}},
      {"name": "llm-2", "engine": {"models": [{"name": "n"}]}},
      {"name": "api", "health_path": "/healthz", "max_conns": 100}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}})";
}

wire::StoreObject object(const std::string& name, std::uint64_t revision, const std::string& spec) {
  return {name, revision, wire::Json::parse(spec)};
}

wire::StoreObject runnerObject(const std::string& id, const std::string& service,
                               const std::string& address, const std::string& state = "ready",
                               const std::string& more = "") {
  return object(id, 1,
                R"({"service": ")" + service + R"(", "address": ")" + address +
                    R"(", "zone": "hall-a", "slots": 48, "state": ")" + state +
                    R"(", "cold_left_ms": 0, "call_seq": 4)" + more + "}");
}

constexpr const char* kPrefill =
    R"(, "stage": "prefill", "models": [{"name": "m", "version": 1, "adapters": []}])";

class FleetDeclarationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetDeclarationTest);
  CPPUNIT_TEST(publishesNothingUntilConfigurationAndRunnersAreKnown);
  CPPUNIT_TEST(translatesRoutes);
  CPPUNIT_TEST(firstTokenLimitIsBelowCallerTimeout);
  CPPUNIT_TEST(translatesRunners);
  CPPUNIT_TEST(runnerChangesKeepVersion);
  CPPUNIT_TEST(ignoresOlderVersions);
  CPPUNIT_TEST(ignoresMalformedObjects);
  CPPUNIT_TEST(translatesTenants);
  CPPUNIT_TEST(rejectsConflictingKeys);
  CPPUNIT_TEST(routesMatchTheLongestPrefix);
  CPPUNIT_TEST(runnersMayShareAnAddress);
  CPPUNIT_TEST(drainingRunnersAreLeavingMachines);
  CPPUNIT_TEST(oddConfigurationsAreTakenWholeOrNotAtAll);
  CPPUNIT_TEST(refreshEndsAlthoughAListenerFailed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void publishesNothingUntilConfigurationAndRunnersAreKnown() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet_.current()->version);
    putConfiguration(7);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet_.current()->version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet_.routes().version());
    runners_.onCaughtUp();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet_.current()->version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet_.routes().version());
    CPPUNIT_ASSERT_EQUAL(1, changes_);
  }

  void firstTokenLimitIsBelowCallerTimeout() {
    Route route;
    CPPUNIT_ASSERT(firstTokenLimit(route) == milliseconds(1700));
    route.target_latency = milliseconds(1000);
    CPPUNIT_ASSERT(firstTokenLimit(route) == milliseconds(3400));
    route.target_gap = milliseconds(1000);
    CPPUNIT_ASSERT(firstTokenLimit(route) == milliseconds(6800));
  }

  void translatesRoutes() {
    declare();
    const FleetConfiguration& fleet = *fleet_.current();
    CPPUNIT_ASSERT_EQUAL(std::string("dobrogea"), fleet.zones.at("dobrogea").region);
    CPPUNIT_ASSERT(!fleet.planning.automatic_roles);
    CPPUNIT_ASSERT(fleet.planning.horizon == seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.model_services.size());
    const auto& digest = fleet.model_services.at("r-a@llm");
    CPPUNIT_ASSERT_EQUAL(std::string("llm/m"), digest.model);
    CPPUNIT_ASSERT(digest.urgency == Urgency::kHigh);
    CPPUNIT_ASSERT(!digest.repeatable);
    CPPUNIT_ASSERT(digest.time_limit == milliseconds(5000));
    // The caller's timeout is 2 s: the maximum of 2 s, 4 * 500 ms and 8 * 150 ms.
    CPPUNIT_ASSERT(digest.first_token_limit == milliseconds(1700));
    CPPUNIT_ASSERT(digest.between_tokens_limit == milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(1U, digest.maximum_runs);
    CPPUNIT_ASSERT_EQUAL(std::string("llm-2/n"), fleet.model_services.at("r-a@llm-2").model);
    CPPUNIT_ASSERT(fleet.model_services.at("r-b@llm").repeatable);
    CPPUNIT_ASSERT(fleet.model_services.at("r-b@llm").urgency == Urgency::kCritical);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), fleet.models.at("llm/m").version);
    const auto& operation = fleet.http_services.at("r-c@api").operations.at(0);
    CPPUNIT_ASSERT(operation.repeatable);
    CPPUNIT_ASSERT(operation.method.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("/"), operation.path_prefix);
    CPPUNIT_ASSERT(operation.time_limit == milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(2U, operation.maximum_runs);
    CPPUNIT_ASSERT(!fleet.http_services.at("r-d@api").operations.at(0).repeatable);
    CPPUNIT_ASSERT(fleet.http_services.at("r-d@api").urgency == Urgency::kLow);
  }

  void translatesRunners() {
    runners_.onPut(runnerObject("i-1", "llm", "10.0.0.1:80", "ready", kPrefill));
    runners_.onPut(runnerObject("i-2", "llm", "10.0.0.2:80", "draining"));
    runners_.onPut(runnerObject("i-3", "api", "10.0.0.3:80"));
    runners_.onPut(runnerObject("i-4", "api", "10.0.0.4:80", "draining"));
    runners_.onPut(runnerObject("i-5", "of-another", "10.0.0.5:80"));
    declare();
    const FleetConfiguration& fleet = *fleet_.current();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.engines.size());
    const auto& engine = fleet.engines.at("i-1");
    CPPUNIT_ASSERT_EQUAL(std::string("dobrogea"), engine.zone);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), engine.machine);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), engine.address);
    CPPUNIT_ASSERT_EQUAL(std::string("llm/m"), engine.model);
    CPPUNIT_ASSERT(engine.initial_role == engines::EngineRole::kPrefill);
    CPPUNIT_ASSERT(fleet.engines.at("i-2").initial_role == engines::EngineRole::kMixed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.engine_overrides.size());
    CPPUNIT_ASSERT(fleet.engine_overrides.at("i-2").drained);
    const auto& backends = fleet.http_services.at("r-c@api").backends;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backends.size());
    CPPUNIT_ASSERT_EQUAL(std::string("i-3"), backends.at(0).machine);
    CPPUNIT_ASSERT_EQUAL(std::string("dobrogea"), backends.at(0).zone);
  }

  void runnerChangesKeepVersion() {
    runners_.onPut(runnerObject("i-3", "api", "10.0.0.3:80"));
    declare();
    runners_.onPut(runnerObject("i-3", "api", "10.0.0.3:80"));
    runners_.onCaughtUp();
    CPPUNIT_ASSERT_EQUAL(1, changes_);
    runners_.onDeleted("i-3");
    runners_.onCaughtUp();
    CPPUNIT_ASSERT_EQUAL(2, changes_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet_.current()->version);
    CPPUNIT_ASSERT(fleet_.current()->http_services.at("r-c@api").backends.empty());
  }

  void ignoresOlderVersions() {
    declare();
    putConfiguration(6);
    putConfiguration(7);
    fleet_.onDeleted("main");
    fleet_.onCaughtUp();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet_.current()->version);
    CPPUNIT_ASSERT_EQUAL(1, changes_);
    CPPUNIT_ASSERT_EQUAL(2.0,
                         process_.counters().total("cypresswall_declared_older_versions_total"));
    putConfiguration(12);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, fleet_.current()->version);
  }

  void ignoresMalformedObjects() {
    declare();
    std::string unknown = configurationJson(8);
    unknown.replace(unknown.find("\"service\": \"api\""), 16, "\"service\": \"b\"");
    fleet_.onPut(object("main", 8, unknown));
    fleet_.onPut(object("main", 9, R"({"version": "9"})"));
    fleet_.onPut(object("other", 9, "{}"));
    fleet_.onCaughtUp();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet_.current()->version);
    CPPUNIT_ASSERT_EQUAL(2.0, process_.counters().total("cypresswall_declared_unreadable_total"));
    runners_.onPut(object("i-9", 9, R"({"service": "api", "state": "ready"})"));
    CPPUNIT_ASSERT(runners_.runners().empty());
    CPPUNIT_ASSERT_EQUAL(1.0, process_.counters().total("cypresswall_runners_unreadable_total"));
  }

  void translatesTenants() {
    declare();
    CPPUNIT_ASSERT(!fleet_.routes().requiresKeys());
    putTenants(8, R"([{"name": "t-1", "api_keys": ["k-1", "k-2"], "priority": 1},
                      {"name": "t-2", "api_keys": ["k-3"]}, {"name": "t-3", "api_keys": []}])");
    const auto& tenants = fleet_.current()->tenants;
    CPPUNIT_ASSERT(fleet_.routes().requiresKeys());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, tenants.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tenants.at("t-1").further_api_keys.size());
    CPPUNIT_ASSERT(tenants.at("t-1").urgency == Urgency::kHigh);
    CPPUNIT_ASSERT(!tenants.at("t-2").urgency);
    putTenants(9, "[]");
    CPPUNIT_ASSERT(fleet_.routes().requiresKeys());
    CPPUNIT_ASSERT(fleet_.current()->tenants.empty());
  }

  void rejectsConflictingKeys() {
    declare();
    putTenants(8,
               R"([{"name": "t-1", "api_keys": ["k-1"]}, {"name": "t-2", "api_keys": ["k-1"]}])");
    putTenants(9, R"([{"name": "t-1", "api_keys": [""]}])");
    putTenants(10, R"([{"api_keys": ["k-1"]}])");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet_.current()->version);
    CPPUNIT_ASSERT_EQUAL(3.0, process_.counters().total("cypresswall_declared_unreadable_total"));
  }

  void routesMatchTheLongestPrefix() {
    declare();
    const RouteTable& routes = fleet_.routes();
    CPPUNIT_ASSERT_EQUAL(std::string("r-a"), routes.match("DIGEST.example:80", "/a/x")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("r-b"), routes.match("digest.example", "/a/b/c/d")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("r-a"), routes.match("digest.example", "/a/bc")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("r-a"), routes.match("digest.example", "/a/")->name);
    CPPUNIT_ASSERT(routes.match("digest.example", "/a") == nullptr);
    CPPUNIT_ASSERT(routes.match("digest.example", "") == nullptr);
    CPPUNIT_ASSERT(routes.match("other.example", "/a/x") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("r-c"), routes.match("track.example", "/anything")->name);
    const Route& route = *routes.match("digest.example", "/a/x");
    CPPUNIT_ASSERT(route.kind == RouteKind::kStreaming && route.sticky && !route.repeatable());
    CPPUNIT_ASSERT(route.target_latency == milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, route.backends.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r-a@llm-2"), route.backends.at(1).service);
    CPPUNIT_ASSERT_EQUAL(10.0, route.backends.at(1).weight);
    CPPUNIT_ASSERT(route.backends.at(1).is_model);
    CPPUNIT_ASSERT(!routes.match("track.example", "/x")->backends.at(0).is_model);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16384}, routes.limits().maximum_header_bytes);
    CPPUNIT_ASSERT(routes.limits().idle_time_limit == milliseconds(15000));
  }

  /// A runner may get the address of another before the entry of that one is deleted.
  void runnersMayShareAnAddress() {
    declare();
    runners_.onPut(runnerObject("i-8", "api", "10.0.0.8:80"));
    runners_.onPut(runnerObject("i-9", "llm", "10.0.0.8:80", "ready", kPrefill));
    runners_.onCaughtUp();
    const auto machineAtAddress = [&] {
      std::string machine;
      for (const auto& backend : fleet_.current()->http_services.at("r-c@api").backends) {
        machine += backend.address == "10.0.0.8:80" ? backend.machine : "";
      }
      return machine;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("i-8"), machineAtAddress());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.8:80"), fleet_.current()->engines.at("i-9").address);
    runners_.onDeleted("i-8");
    runners_.onCaughtUp();
    CPPUNIT_ASSERT_EQUAL(std::string(), machineAtAddress());
    CPPUNIT_ASSERT(runners_.findById("i-8") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, runners_.findById("i-9")->call_sequence);
    runners_.onDeleted("i-9");
    runners_.onCaughtUp();
    CPPUNIT_ASSERT(!fleet_.current()->engines.contains("i-9"));
  }

  void drainingRunnersAreLeavingMachines() {
    RunnerMachineList list(process_, runners_);
    std::vector<object_store::Machine> machines;
    bool failed = false;
    const auto read = [&](auto result) {
      failed = !result.ok();
      machines = result.ok() ? result.value() : std::vector<object_store::Machine>();
    };
    list.fetch("dobrogea", read);
    CPPUNIT_ASSERT(!failed);
    world_.runFor(milliseconds(1));
    CPPUNIT_ASSERT(failed);
    runners_.onPut(runnerObject("i-1", "api", "10.0.0.1:80"));
    runners_.onPut(runnerObject("i-2", "api", "10.0.0.2:80", "draining"));
    runners_.onCaughtUp();
    list.fetch("dobrogea", read);
    world_.runFor(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, machines.size());
    CPPUNIT_ASSERT(machines.at(0).state == object_store::MachineState::kLive);
    CPPUNIT_ASSERT(machines.at(1).state == object_store::MachineState::kLeaving);
    CPPUNIT_ASSERT(machines.at(1).addresses.empty());
  }

  /// Guards against a daemon that ends, or serves by half a configuration, because of one value.
  void oddConfigurationsAreTakenWholeOrNotAtAll() {
    declare();
    auto spec = wire::Json::parse(configurationJson(9));
    spec["services"][0]["engine"].update({{"token_kv_bytes", 163840.5}, {"link_mbps", 1e6}});
    spec["services"][0]["autoscaling"] = {{"min_replicas", 1},
                                          {"max_replicas", 8},
                                          {"boot_timeout_s", 2.5},
                                          {"spot_price", 0.5},
                                          {"zone_prices", {{"hall-a", 1.5}}}};
    spec["tenants"] = {{{"name", "t"},
                        {"api_keys", {"k"}},
                        {"priority", 1},
                        {"rate_per_s", 5.5},
                        {"burst", 10},
                        {"unit", "generate"},
                        {"plain_tokens", 3}}};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, parseOperatorConfiguration(spec).version);
    for (const auto& place : cypresswall::testing::placesIn(spec)) {
      for (const std::string& odd : cypresswall::testing::oddStoredValues()) {
        const std::string text = cypresswall::testing::mutatedText(spec, place, odd);
        const auto page =
            wire::parsePage(testing::pageJson(9, {testing::objectJson("main", 9, text)}));
        try {
          const auto read = parseOperatorConfiguration(page.items.at(0).spec);
          CPPUNIT_ASSERT(read.version <= common::kLargestExactInteger);
          for (const Route& route : read.routes) {
            CPPUNIT_ASSERT(route.timeout.count() >= 0 && route.target_latency.count() >= 0);
            CPPUNIT_ASSERT(firstTokenLimit(route).count() >= 0);
            CPPUNIT_ASSERT(!route.backends.empty() && route.backends.front().weight >= 0);
          }
        } catch (const wire::PlatformProtocolError&) {
          fleet_.onPut({"main", 9, page.items.at(0).spec});
          fleet_.onCaughtUp();
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet_.current()->version);
        }
      }
    }
    CPPUNIT_ASSERT(process_.counters().total("cypresswall_declared_unreadable_total") > 100);
  }

  /// Guards against confirmations that wait for ever: the change that a refresh published failed at
  /// one of its listeners.
  void refreshEndsAlthoughAListenerFailed() {
    constexpr int kRunners = 300;
    for (int number = 0; number < kRunners; ++number) {
      runners_.onPut(runnerObject("i-" + std::to_string(number), "api",
                                  "10.0.1." + std::to_string(number % 250) + ":80"));
    }
    declare();
    runners_.onDeleted("i-1");
    runners_.onCaughtUp();
    fleet_.onChange([](const FleetConfiguration&) { throw common::Error("listener"); });
    fleet_.setRefresh([](const std::function<void(bool)>& done) { done(true); });
    std::vector<bool> ended;
    CPPUNIT_ASSERT_THROW(fleet_.refresh([&](bool current) { ended.push_back(current); }),
                         common::Error);
    CPPUNIT_ASSERT(ended == std::vector<bool>{false});
  }

 private:
  void putTenants(std::uint64_t version, const std::string& tenants) {
    std::string configuration = configurationJson(version);
    configuration.insert(configuration.rfind('}'), R"(, "tenants": )" + tenants);
    fleet_.onPut(object("main", version, configuration));
    fleet_.onCaughtUp();
  }
  void putConfiguration(std::uint64_t version) {
    fleet_.onPut(object("main", version, configurationJson(version)));
    fleet_.onCaughtUp();
  }
  void declare() {
    putConfiguration(7);
    runners_.onCaughtUp();
  }

  cypresswall::testing::VirtualWorld world_{1};
  cypresswall::testing::VirtualProcess& process_ = world_.spawn({"10.0.0.1:1", 1}, "z");
  RunnerRegistry runners_{process_.context()};
  FleetDeclaration fleet_{
      process_.context(),
      runners_,
      ZoneRegions("dobrogea"),
      {.role_change_weight = 5, .horizon = seconds(20), .automatic_roles = false}};
  int changes_ = 0;

 public:
  void setUp() override {
    fleet_.onChange([this](const FleetConfiguration&) { ++changes_; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetDeclarationTest);

}  // namespace
}  // namespace cypresswall::objects_platform
