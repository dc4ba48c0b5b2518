/// Invalid fleet files and changes (unknown fields, dangling references, duplicate addresses,
/// out-of-range values) must be rejected with the location of the error and must not crash.
#include "cypresswall/configuration/change.h"

#include "cypresswall/configuration/change_encoding.h"
#include "cypresswall/configuration/duration_text.h"
#include "cypresswall/configuration/fleet_file.h"
#include "tests/support/odd_json.h"
#include "tests/support/property.h"

namespace cypresswall::configuration {
namespace {

const char* const kFleet = R"(zones:
  - {name: quay, region: dobrogea}
models:
  - name: dispatch
    version: "1"
    adapters: [{name: customs, weights_uri: "w://c"}]
engines:
  - name: e1
    zone: quay
    address: 127.0.0.1:9001
    model: dispatch
    initial_role: decode
model_services:
  - {name: summary, model: dispatch, first_token_limit: 1.3s, between_tokens_limit: 79ms}
http_services:
  - name: portal
    backends: [{zone: quay, address: "127.0.0.1:9100"}]
    operations: [{method: GET, path_prefix: /fixes, repeatable: true}]
planning: {role_change_weight: 2.5}
)";

ConfigurationChange changeOf(std::vector<ObjectChange> objects) {
  return ConfigurationChange{1, "change-1", "test", std::move(objects)};
}

FleetConfiguration load(const std::string& text) {
  return checkChange({}, changeOf(differenceToFleetFile(text, "fleet.yaml", {})));
}

template <typename Error, typename Call>
Error requireThrow(Call&& call) {
  try {
    call();
  } catch (const Error& error) {
    return error;
  }
  CPPUNIT_FAIL("no error was thrown");
  throw std::logic_error("not reached");
}

std::string firstError(const std::vector<ObjectChange>& objects) {
  const FleetConfiguration base = load(kFleet);
  return requireThrow<ConfigurationError>([&] { checkChange(base, changeOf(objects)); })
      .errors()
      .front()
      .toString();
}

class ChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeTest);
  CPPUNIT_TEST(loadsAFleetFile);
  CPPUNIT_TEST(loadsRequestLimits);
  CPPUNIT_TEST(refusesInvalidRequestLimits);
  CPPUNIT_TEST(sameFileGivesNoDifference);
  CPPUNIT_TEST(wholeConfigurationRoundTrips);
  CPPUNIT_TEST(zoneSetsAreRetained);
  CPPUNIT_TEST(listReplacesAllObjectsOfItsKind);
  CPPUNIT_TEST(fileErrorsNameFileLineAndKey);
  CPPUNIT_TEST(refusesDanglingReference);
  CPPUNIT_TEST(refusesRemovalOfReferencedObject);
  CPPUNIT_TEST(refusesDuplicateAddress);
  CPPUNIT_TEST(refusesOutOfRangeNumbers);
  CPPUNIT_TEST(refusesUnknownFieldUnlessTolerant);
  CPPUNIT_TEST(durationsRoundTrip);
  CPPUNIT_TEST(arbitraryFileGivesAChangeOrAnError);
  CPPUNIT_TEST(shortFileThatStandsForManyValuesIsRefused);
  CPPUNIT_TEST(deepFileIsRefused);
  CPPUNIT_TEST(oddChangesAreReadOrRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against: a short file whose aliases stand for billions of values fills the memory of
  // the node that an operator sends it to.
  void shortFileThatStandsForManyValuesIsRefused() {
    std::string text = "engines: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int level = 1; level <= 12; ++level) {
      const std::string below = "*a" + std::to_string(level - 1);
      text += "level" + std::to_string(level) + ": &a" + std::to_string(level) + " [" + below;
      for (int copy = 1; copy < 10; ++copy) {
        text += ", " + below;
      }
      text += "]\n";
    }
    CPPUNIT_ASSERT_THROW(differenceToFleetFile(text, "f", {}), FleetFileError);
  }

  // Guards against: a file that is nested deeply ends the node that an operator sends it to.
  void deepFileIsRefused() {
    for (const std::string& text :
         {"engines: " + std::string(100'000, '['), "engines: " + testing::deepJson(),
          "engines: " + testing::deepJson(100), std::string("engines: &a [*a]")}) {
      CPPUNIT_ASSERT_THROW(differenceToFleetFile(text, "f", {}), FleetFileError);
    }
  }

  // Guards against: a change or a configuration of another node with a value that is deep, long or
  // out of range ends the process, or is taken with another value.
  void oddChangesAreReadOrRefused() {
    LoggedChange entry;
    entry.change = changeOf(differenceToFleetFile(kFleet, "f", {}));
    testing::forEachOddCopy(encodeChange(entry), [&](const std::string& text) {
      try {
        checkChange({}, decodeChange(text).change);
      } catch (const common::Error&) {
        // Refused in order.
      }
    });
    ConfigurationSnapshot snapshot;
    snapshot.configuration = load(kFleet);
    testing::forEachOddCopy(encodeSnapshot(snapshot), [&](const std::string& text) {
      try {
        encodeSnapshot(decodeSnapshot(text));
      } catch (const common::Error&) {
        // Refused in order.
      }
    });
  }

  void loadsAFleetFile() {
    const FleetConfiguration fleet = load(kFleet);
    CPPUNIT_ASSERT(fleet.engines.at("e1").initial_role == engines::EngineRole::kDecode);
    CPPUNIT_ASSERT(fleet.model_services.at("summary").first_token_limit ==
                   std::chrono::milliseconds(1300));
    CPPUNIT_ASSERT(fleet.http_services.at("portal").operations.at(0).repeatable);
    CPPUNIT_ASSERT_EQUAL(2.5, fleet.planning.role_change_weight);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), fleet.models.at("dispatch").version);
  }

  void loadsRequestLimits() {
    const FleetConfiguration fleet = load(R"(zones: [{name: quay}]
models: [{name: dispatch, version: "1"}]
model_services:
  - {name: once, model: dispatch, repeatable: false, time_limit: 40s, maximum_runs: 2}
  - {name: plain, model: dispatch}
http_services:
  - name: portal
    backends: [{zone: quay, address: "127.0.0.1:9100"}]
    operations: [{method: "", path_prefix: /fixes, maximum_runs: 3}]
)");
    const auto& once = fleet.model_services.at("once");
    CPPUNIT_ASSERT(!once.repeatable);
    CPPUNIT_ASSERT(once.time_limit == std::chrono::seconds(40));
    CPPUNIT_ASSERT_EQUAL(2U, once.maximum_runs);
    CPPUNIT_ASSERT(fleet.model_services.at("plain").repeatable);
    CPPUNIT_ASSERT(fleet.model_services.at("plain").time_limit == common::Duration::zero());
    const auto& operation = fleet.http_services.at("portal").operations.at(0);
    CPPUNIT_ASSERT(operation.method.empty());
    CPPUNIT_ASSERT_EQUAL(3U, operation.maximum_runs);
    const auto encoded = encodeConfiguration(fleet);
    CPPUNIT_ASSERT_EQUAL(encoded.dump(), encodeConfiguration(decodeConfiguration(encoded)).dump());
  }

  void refusesInvalidRequestLimits() {
    const auto keyOf = [](const std::string& fields) {
      const auto text = "model_services:\n- {name: s, model: m, " + fields + "}\n";
      return requireThrow<FleetFileError>([&] { differenceToFleetFile(text, "f", {}); }).key();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("model_services[0].time_limit"), keyOf("time_limit: -1s"));
    CPPUNIT_ASSERT_EQUAL(std::string("model_services[0].maximum_runs"), keyOf("maximum_runs: -1"));
    CPPUNIT_ASSERT_EQUAL(std::string("model_services[0].repeatable"), keyOf("repeatable: maybe"));
    FleetConfiguration fleet = load(kFleet);
    fleet.model_services.at("summary").time_limit = -std::chrono::seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::string("time_limit"), validate(fleet).at(0).field);
  }

  void sameFileGivesNoDifference() {
    CPPUNIT_ASSERT(differenceToFleetFile(kFleet, "fleet.yaml", load(kFleet)).empty());
  }

  void wholeConfigurationRoundTrips() {
    FleetConfiguration fleet = load(kFleet);
    fleet.drained_nodes["127.0.0.2:7000"] = true;
    fleet.engine_overrides["e1"] = EngineOverride{"e1", true, true, engines::EngineRole::kPrefill};
    const auto encoded = encodeConfiguration(fleet);
    CPPUNIT_ASSERT_EQUAL(encoded.dump(), encodeConfiguration(decodeConfiguration(encoded)).dump());
  }

  void zoneSetsAreRetained() {
    FleetConfiguration fleet = load(kFleet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.zone_sets.size());
    CPPUNIT_ASSERT(fleet.zone_sets[0].zones == std::vector<std::string>{"quay"});
    for (std::uint64_t version = 2; version <= 2 * kRetainedZoneSets; ++version) {
      const bool add = version % 2 == 0;
      ConfigurationChange change =
          changeOf({add ? setObject(ObjectKind::kZone, "hall", ZoneDeclaration{"hall", "dobrogea"})
                        : removeObject(ObjectKind::kZone, "hall")});
      change.version = version;
      fleet = checkChange(fleet, change);
      CPPUNIT_ASSERT_EQUAL(version, fleet.zone_sets.back().version);
      CPPUNIT_ASSERT_EQUAL(std::size_t{add ? 2U : 1U}, fleet.zone_sets.back().zones.size());
    }
    CPPUNIT_ASSERT_EQUAL(kRetainedZoneSets, fleet.zone_sets.size());
    ConfigurationChange other = changeOf({removeObject(ObjectKind::kEngine, "e1")});
    other.version = fleet.version + 1;
    const auto sets = checkChange(fleet, other).zone_sets;
    CPPUNIT_ASSERT_EQUAL(fleet.version, sets.back().version);
    CPPUNIT_ASSERT_EQUAL(kRetainedZoneSets,
                         decodeConfiguration(encodeConfiguration(fleet)).zone_sets.size());
  }

  void listReplacesAllObjectsOfItsKind() {
    const auto changes = differenceToFleetFile("engines: []\n", "f", load(kFleet));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
    CPPUNIT_ASSERT(changes[0].removed && changes[0].name == "e1");
  }

  void fileErrorsNameFileLineAndKey() {
    const auto parse = [](const std::string& text) {
      return requireThrow<FleetFileError>([&] { differenceToFleetFile(text, "f.yaml", {}); });
    };
    CPPUNIT_ASSERT_EQUAL(
        std::string("f.yaml:3: zones[1].colour: is not a known field"),
        std::string(parse("zones:\n  - name: a\n  - {name: b, colour: red}\n").what()));
    CPPUNIT_ASSERT_EQUAL(std::string("zone"), parse("zone: []\n").key());
    CPPUNIT_ASSERT_EQUAL(2, parse("zones: []\nzones: []\n").line());
    CPPUNIT_ASSERT_EQUAL(std::string("zones[1].name"),
                         parse("zones:\n  - name: a\n  - name: a\n").key());
    CPPUNIT_ASSERT_EQUAL(
        std::string("tenants[0].tokens_per_second"),
        parse("tenants:\n- {name: t, api_key: k, tokens_per_second: many}\n").key());
    CPPUNIT_ASSERT_EQUAL(2, parse("zones:\n  - [unclosed\n").line() > 1 ? 2 : 0);
  }

  void refusesDanglingReference() {
    EngineDeclaration engine{"e2", "nowhere", "", "127.0.0.1:9002", "dispatch", {}};
    CPPUNIT_ASSERT_EQUAL(std::string("engine e2, field zone: zone nowhere is not declared"),
                         firstError({setObject(ObjectKind::kEngine, "e2", engine)}));
  }

  void refusesRemovalOfReferencedObject() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("model dispatch: can't be removed: engine e1 uses it (field model)"),
        firstError({removeObject(ObjectKind::kModel, "dispatch")}));
    CPPUNIT_ASSERT_EQUAL(std::string("zone mole: can't be removed: it is not declared"),
                         firstError({removeObject(ObjectKind::kZone, "mole")}));
  }

  void refusesDuplicateAddress() {
    EngineDeclaration engine{"e2", "quay", "", "127.0.0.1:9001", "dispatch", {}};
    CPPUNIT_ASSERT_EQUAL(
        std::string("engine e2, field address: 127.0.0.1:9001 is already the address of engine e1"),
        firstError({setObject(ObjectKind::kEngine, "e2", engine)}));
    engine.address = "localhost:9002";
    CPPUNIT_ASSERT(firstError({setObject(ObjectKind::kEngine, "e2", engine)}).find("IP number") !=
                   std::string::npos);
  }

  void refusesOutOfRangeNumbers() {
    PlanningPolicy planning;
    planning.horizon = common::Duration::zero();
    CPPUNIT_ASSERT_EQUAL(std::string("planning planning, field horizon: must be longer than zero"),
                         firstError({setObject(ObjectKind::kPlanning, "planning", planning)}));
    TenantDeclaration tenant{"t", "key", -1, 0};
    CPPUNIT_ASSERT_EQUAL(std::string("tenant t, field requests_per_second: must not be negative"),
                         firstError({setObject(ObjectKind::kTenant, "t", tenant)}));
  }

  void refusesUnknownFieldUnlessTolerant() {
    const ObjectChange zone{ObjectKind::kZone, "z", false, R"({"name":"z","new_field":1})"};
    CPPUNIT_ASSERT_EQUAL(std::string("zone z, field new_field: is not a known field"),
                         firstError({zone}));
    const auto fleet = applyChange({}, changeOf({zone}), DecodeOptions{false, false});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.zones.count("z"));
  }

  void durationsRoundTrip() {
    testing::requireProperty("durations round-trip", 500, [] {
      const common::Duration duration(*rc::gen::inRange<std::int64_t>(0, 4000000000));
      RC_ASSERT(parseDuration(formatDuration(duration)) == duration);
    });
    for (const char* text : {"", "s", "-1s", "1", "1 s", "1days", "nan", "1e3s", "999999999h"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !parseDuration(text));
    }
  }

  void arbitraryFileGivesAChangeOrAnError() {
    testing::requireProperty("a mutated fleet file never crashes", 300, [] {
      std::string text = kFleet;
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto length = *rc::gen::inRange<std::size_t>(0, 8);
      text.replace(position, length, *rc::gen::arbitrary<std::string>());
      try {
        load(text);
      } catch (const common::Error&) {  // NOLINT(bugprone-empty-catch): an error is a valid outcome
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeTest);

}  // namespace
}  // namespace cypresswall::configuration
