/// Invalid settings must be reported with file, line and key instead of crashing the daemon or
/// being ignored, and docs/settings.md must match the key table.
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "cypresswall/settings/key_table.h"
#include "cypresswall/settings/settings_documents.h"
#include "cypresswall/settings/settings_loader.h"
#include "tests/planning/planned_zone.h"
#include "tests/support/property.h"

namespace cypresswall::settings {
namespace {

const std::string kMinimalSettings = R"(node:
  peer_address: 127.0.1.1:7000
  gateway_address: 127.0.1.1:8080
  zone: constanta
  region: dobrogea
  machine: m1
platform:
  object_api: 127.0.0.1:9000
  machine_list: "[::1]:9000"
)";

DaemonSettings load(const std::string& text) {
  return makeSettings(readSettingsText(text, "node.yaml"));
}

/// \return the error message from loading `text`, or an empty text if it loads.
std::string problemsOf(const std::string& text) {
  try {
    load(text);
    return "";
  } catch (const SettingsError& error) {
    return error.what();
  }
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

/// \return the minimal settings with one mechanism switched on or off
std::string withMechanism(const std::string& name, const std::string& value) {
  std::string text = kMinimalSettings;
  return text.append("mechanisms: {").append(name).append(": ").append(value).append("}");
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(minimalSettingsTakeAllDefaults);
  CPPUNIT_TEST(readsEveryValueType);
  CPPUNIT_TEST(errorsNameFileLineAndKey);
  CPPUNIT_TEST(reportsAllProblemsAtOnce);
  CPPUNIT_TEST(checksConsistencyBetweenKeys);
  CPPUNIT_TEST(eachMechanismHasItsOwnSwitch);
  CPPUNIT_TEST(prefixCopiesNeedPlatformSupportAndTheSwitch);
  CPPUNIT_TEST(leastRoleShareSwitchReachesThePlanner);
  CPPUNIT_TEST(movesOfSlowStreamsAreOffUnlessSet);
  CPPUNIT_TEST(flagsOverrideTheFile);
  CPPUNIT_TEST(defaultsRoundTrip);
  CPPUNIT_TEST(settingsPageListsEveryKey);
  CPPUNIT_TEST(arbitraryTextIsReadOrRejected);
  CPPUNIT_TEST(deepAndOddDocumentsAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against: a settings file that is nested deeply, or refers to itself, ends the program
  // without a word.
  void deepAndOddDocumentsAreRefused() {
    constexpr std::size_t kDepth = 100'000;
    const std::vector<std::string> documents = {
        std::string(kDepth, '['),
        "node: " + std::string(kDepth, '['),
        "node: " + std::string(kDepth, '[') + std::string(kDepth, ']'),
        "node:\n  zone: " + std::string(kDepth, '{'),
        "node: &node [*node, *node]",
        "node: {zone: &zone [*zone]}"};
    for (const std::string& document : documents) {
      CPPUNIT_ASSERT_MESSAGE(document.substr(0, 40),
                             problemsOf(document).find("node.yaml") != std::string::npos);
    }
  }

  void minimalSettingsTakeAllDefaults() {
    const DaemonSettings settings = load(kMinimalSettings);
    CPPUNIT_ASSERT_EQUAL(std::string("constanta"), settings.zone);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.1.1:7000"), settings.transport.listen_address);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.1.1:8080"), settings.node.membership.gateway_address);
    CPPUNIT_ASSERT(settings.node.lease.duration == lease::LeaseSettings().duration);
    CPPUNIT_ASSERT(settings.platform_protocol == PlatformProtocol::kCypresswall);
    CPPUNIT_ASSERT(settings.readiness_address.empty());
    CPPUNIT_ASSERT(!settings.node.fair_shares.divides_engines);
    CPPUNIT_ASSERT(!settings.node.fair_shares.limits_services);
  }

  void readsEveryValueType() {
    const DaemonSettings settings = load(kMinimalSettings + R"(
seeds: [127.0.1.2:7000, navodari/dobrogea@127.0.2.1:7000, navodari/dobrogea@127.0.2.2:7000]
log: {level: debug}
limits:
  body_bytes: 2MiB
  connections: 7
timings:
  heartbeat_interval: 250ms
)");
    const auto& membership = settings.node.membership;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, membership.seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, membership.other_zones.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, membership.other_zones[0].addresses.size());
    CPPUNIT_ASSERT(settings.log_level == common::LogLevel::kDebug);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2} << 20, settings.server.maximum_body_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, settings.server.maximum_connections);
    CPPUNIT_ASSERT(membership.heartbeat_interval == std::chrono::milliseconds(250));
  }

  void errorsNameFileLineAndKey() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {kMinimalSettings + "limits: {conections: 1}",
         "node.yaml:10: limits.conections: unknown key"},
        {kMinimalSettings + "colour: red", "node.yaml:10: colour: unknown key"},
        {kMinimalSettings + "limits: 5", "node.yaml:10: limits: a section"},
        {kMinimalSettings + "limits: {connections: many}",
         "node.yaml:10: limits.connections: 'many'"},
        {kMinimalSettings + "limits: {connections: 0}",
         "node.yaml:10: limits.connections: '0' is outside"},
        {kMinimalSettings + "limits: {connections: [1]}",
         "node.yaml:10: limits.connections: a single"},
        {kMinimalSettings + "limits: {connections: }", "node.yaml:10: limits.connections: a value"},
        {kMinimalSettings + "limits: {body_bytes: 99999999999GiB}",
         "node.yaml:10: limits.body_bytes:"},
        {kMinimalSettings + "log: {level: loud}", "node.yaml:10: log.level: 'loud'"},
        {kMinimalSettings + "log: {level: info}\nlog: {level: info}",
         "node.yaml:11: log.level: given twice"},
        {kMinimalSettings + "timings: {idle_limit: 5}", "node.yaml:10: timings.idle_limit: '5'"},
        {kMinimalSettings + "timings: {idle_limit: -5s}",
         "node.yaml:10: timings.idle_limit: '-5s'"},
        {kMinimalSettings + "admission: {fair_shares: maybe}",
         "node.yaml:10: admission.fair_shares: 'maybe'"},
        {kMinimalSettings + "admission: {share_interval: 0s}",
         "node.yaml:10: admission.share_interval: '0s' is outside"},
        {kMinimalSettings + "admission: {share_interval: -1s}",
         "node.yaml:10: admission.share_interval: '-1s'"},
        {kMinimalSettings + "admission: {share_interval: nans}",
         "node.yaml:10: admission.share_interval: 'nans'"},
        {kMinimalSettings + "admission: {share_interval: 99999h}",
         "node.yaml:10: admission.share_interval: '99999h'"},
        {kMinimalSettings + "  protocol: other", "node.yaml:10: platform.protocol: 'other'"},
        {kMinimalSettings + "seeds: [localhost:1]", "node.yaml:10: seeds: 'localhost:1'"},
        {kMinimalSettings + "seeds: [{a: b}]", "node.yaml:10: seeds: an item"},
        {kMinimalSettings + "seeds: [a/x@127.0.0.1:1, a/y@127.0.0.1:2]",
         "node.yaml:10: seeds: zone 'a'"},
        {replaced(kMinimalSettings, "127.0.1.1:7000", "0.0.0.0:7000"),
         "node.yaml:2: node.peer_address:"},
        {replaced(kMinimalSettings, "127.0.1.1:7000", "127.0.1.1:0"),
         "node.yaml:2: node.peer_address:"},
        {replaced(kMinimalSettings, "127.0.1.1:7000", "node-1:7000"),
         "node.yaml:2: node.peer_address:"},
        {replaced(kMinimalSettings, "constanta", "'a b'"), "node.yaml:4: node.zone: 'a b'"},
        {"- a", "node.yaml:1: the settings must be a map"},
        {"a: [", "not readable as YAML"},
        {"", "node.zone: must be given"}};
    for (const auto& [text, problem] : cases) {
      const std::string problems = problemsOf(text);
      std::string message = problem;
      message += " / ";
      message += problems;
      CPPUNIT_ASSERT_MESSAGE(message, problems.find(problem) != std::string::npos);
    }
    CPPUNIT_ASSERT_THROW(readSettingsFile("/nonexistent/node.yaml"), SettingsError);
  }

  void reportsAllProblemsAtOnce() {
    const std::string problems =
        problemsOf(kMinimalSettings + "limits: {connections: 0}\ntimings: {idle_limit: x}");
    CPPUNIT_ASSERT(problems.find("limits.connections") != std::string::npos);
    CPPUNIT_ASSERT(problems.find("timings.idle_limit") != std::string::npos);
  }

  void checksConsistencyBetweenKeys() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"timings: {heartbeat_interval: 3s}", "timings.suspect_after"},
        {"timings: {dead_after: 30ms}", "timings.dead_after"},
        {"timings: {lease_drift_margin: 600ms}", "timings.lease_drift_margin"},
        {"timings: {lease_renew_interval: 2s}", "timings.lease_renew_interval"},
        {"limits: {resume_below_bytes: 1MiB}", "limits.resume_below_bytes"},
        {"engine_speed: {enabled: perhaps}", "engine_speed.enabled"},
        {"engine_speed: {connection_discount: -1ms}", "engine_speed.connection_discount"},
        {"engine_speed: {connection_discount: 1h}", "engine_speed.connection_discount"},
        {"engine_speed: {connection_discount: nan}", "engine_speed.connection_discount"},
        {"retries: {fleet_burst: -1}", "retries.fleet_burst"},
        {"retries: {fleet_share: 1.5}", "retries.fleet_share"},
        {"retries: {fleet_share: 0, fleet_burst: 0.5}", "retries.fleet_burst: no node could"},
        {"quarantine: {crashes: 1}", "quarantine.crashes"},
        {"quarantine: {memory: 1s}", "quarantine.memory"},
        {"seeds: [constanta/dobrogea@127.0.0.1:1]", "seeds: zone 'constanta' is the own"}};
    for (const auto& [text, key] : cases) {
      CPPUNIT_ASSERT_MESSAGE(key,
                             problemsOf(kMinimalSettings + text).find(key) != std::string::npos);
    }
    const std::string same = replaced(kMinimalSettings, "127.0.1.1:8080", "127.0.1.1:7000");
    CPPUNIT_ASSERT(problemsOf(same).find("node.gateway_address") != std::string::npos);
    const std::string both =
        replaced(kMinimalSettings, "  zone:", "  readiness_address: 127.0.1.1:8080\n  zone:");
    CPPUNIT_ASSERT(problemsOf(both).find("node.readiness_address") != std::string::npos);
  }

  void eachMechanismHasItsOwnSwitch() {
    const std::map<std::string, std::function<bool(const DaemonSettings&)>> mechanisms = {
        {"learnt_prompt_speeds", [](const auto& s) { return s.node.router.prompt_speed.learns; }},
        {"learnt_output_speeds",
         [](const auto& s) { return s.node.router.output_speed.learns_steps; }},
        {"admission_within_target",
         [](const auto& s) { return s.node.execution.admits_within_target; }},
        {"foretold_caches",
         [](const auto& s) { return s.node.directory.prefix_index.predicts_unreported; }},
        {"least_role_share",
         [](const auto& s) { return s.disaggregated_planner.enforces_minimum_share; }},
        {"gathered_long_answers",
         [](const auto& s) { return s.node.router.consolidates_long_answers; }},
        {"remaining_stream_time",
         [](const auto& s) { return s.node.router.output_speed.learns_remaining_time; }},
        {"engine_ejection",
         [](const auto& s) { return s.node.directory.ejection.ejection_enabled; }},
        {"request_quarantine", [](const auto& s) { return s.node.quarantine.quarantines; }},
        {"lost_path_detection", [](const auto& s) { return s.node.reachability.enabled; }},
        {"forwarding", [](const auto& s) { return s.node.forwarding.enabled; }},
        {"engine_rate_limits", [](const auto& s) { return s.node.rate_limits.enforced; }},
        {"copied_prefixes", [](const auto& s) { return s.copied_prefixes; }}};
    for (const SettingKey& key : settingKeys()) {
      const bool is_mechanism = key.name.starts_with("mechanisms.");
      CPPUNIT_ASSERT_MESSAGE(
          key.name, !is_mechanism || mechanisms.contains(key.name.substr(key.name.find('.') + 1)));
    }
    for (const auto& [off, unused] : mechanisms) {
      const DaemonSettings settings = load(withMechanism(off, "off"));
      for (const auto& [name, is_on] : mechanisms) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, name != off, is_on(settings));
        CPPUNIT_ASSERT_MESSAGE(name, is_on(load(kMinimalSettings)));
      }
      const std::string problems = problemsOf(withMechanism(off, "perhaps"));
      CPPUNIT_ASSERT(problems.find("node.yaml:10: mechanisms." + off) != std::string::npos);
    }
  }

  void prefixCopiesNeedPlatformSupportAndTheSwitch() {
    const std::string objects = kMinimalSettings + "  protocol: objects\n";
    const std::string off = "mechanisms: {copied_prefixes: off}";
    CPPUNIT_ASSERT(load(objects).node.router.copies_prefixes);
    CPPUNIT_ASSERT(!load(objects + off).node.router.copies_prefixes);
    CPPUNIT_ASSERT(!load(kMinimalSettings).node.router.copies_prefixes);
  }

  void leastRoleShareSwitchReachesThePlanner() {
    const std::string objects = kMinimalSettings + "  protocol: objects\n";
    const std::string off = "mechanisms: {least_role_share: off}";
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, plannedRoleChanges(load(objects)));
    CPPUNIT_ASSERT(plannedRoleChanges(load(objects + off)) > 0);
  }

  void movesOfSlowStreamsAreOffUnlessSet() {
    CPPUNIT_ASSERT(!load(kMinimalSettings).node.execution.stream_moves.enabled);
    const auto settings =
        load(kMinimalSettings + "execution: {moves_slow_streams: on, moves_budget_share: 0.1}");
    CPPUNIT_ASSERT(settings.node.execution.stream_moves.enabled);
    CPPUNIT_ASSERT_EQUAL(0.1, settings.node.execution.stream_moves.budget_share);
    for (const std::string value : {"-0.1", "0", "nan", "half", "1e9", "1.01"}) {
      std::string text = kMinimalSettings;
      text.append("execution: {moves_budget_share: ").append(value).append("}");
      const auto problems = problemsOf(text);
      CPPUNIT_ASSERT_MESSAGE(
          value, problems.starts_with("node.yaml:10: execution.moves_budget_share: '" + value));
    }
  }

  void flagsOverrideTheFile() {
    SourceValues flags;
    flags["node.zone"] = {{{"mangalia"}, false}, "--node_zone"};
    const SourceValues file = readSettingsText(kMinimalSettings, "node.yaml");
    CPPUNIT_ASSERT_EQUAL(std::string("mangalia"), makeSettings(merged(file, flags)).zone);
    flags["node.zone"].value.items = {"a b"};
    try {
      makeSettings(merged(file, flags));
      CPPUNIT_FAIL("an invalid flag was accepted");
    } catch (const SettingsError& error) {
      CPPUNIT_ASSERT(std::string(error.what()).starts_with("--node_zone: node.zone:"));
    }
  }

  void defaultsRoundTrip() {
    const SourceValues defaults = readSettingsText(defaultSettingsText(), "defaults");
    const SourceValues least = readSettingsText(kMinimalSettings, "node.yaml");
    const DaemonSettings settings = makeSettings(merged(defaults, least));
    CPPUNIT_ASSERT(settings.node.lease.renew_interval == lease::LeaseSettings().renew_interval);
    for (const SettingKey& key : settingKeys()) {
      CPPUNIT_ASSERT_MESSAGE(key.name, key.required != defaults.contains(key.name));
    }
  }

  void settingsPageListsEveryKey() {
    std::ifstream file(CYPRESSWALL_SOURCE_DIR "/docs/settings.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const SettingKey& key : settingKeys()) {
      CPPUNIT_ASSERT_MESSAGE(documentRow(key),
                             page.str().find(documentRow(key) + "\n") != std::string::npos);
    }
  }

  void arbitraryTextIsReadOrRejected() {
    testing::requireProperty("no settings text crashes the loader", 1000,
                             [](const std::string& text, bool after) {
                               try {
                                 load(after ? kMinimalSettings + text : text);
                               } catch (const SettingsError& error) {
                                 RC_ASSERT(!std::string(error.what()).empty());
                               }
                             });
  }

 private:
  /// \return number of role changes planned while prefill demand exceeds the capacity of all 10
  ///   engines and 3 of these are in the decode role
  static std::size_t plannedRoleChanges(const DaemonSettings& settings) {
    using engines::EngineRole;
    planning::PlanningInput input =
        testing::plannedZone({}, {{EngineRole::kPrefill, 7}, {EngineRole::kDecode, 3}});
    planning::DemandRate rate;
    rate.prefill_engine_requests_per_second = 120;
    rate.prefill_engine_seconds = 12;
    testing::setDemand(input, rate, rate);
    input.demand[testing::kPlannedModel].long_first_token_limit = std::chrono::milliseconds(600);
    input.policy.horizon = std::chrono::seconds(20);
    input.policy.role_change_weight = 5;
    return settings.node.make_planner()->plan(input).changes.size();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace cypresswall::settings
