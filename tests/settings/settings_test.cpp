#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "cypresswall/settings/key_table.h"
#include "cypresswall/settings/settings_documents.h"
#include "cypresswall/settings/settings_loader.h"
#include "tests/support/property.h"

namespace cypresswall::settings {
namespace {

const std::string kLeast = R"(node:
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

/// \return the message of the error that loading `text` gives, empty if there is none.
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

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(leastSettingsTakeAllDefaults);
  CPPUNIT_TEST(readsEveryKind);
  CPPUNIT_TEST(errorsNameFileLineAndKey);
  CPPUNIT_TEST(reportsAllProblemsAtOnce);
  CPPUNIT_TEST(checksKeysTogether);
  CPPUNIT_TEST(flagsGoOverTheFile);
  CPPUNIT_TEST(defaultsReadBack);
  CPPUNIT_TEST(pageListsEveryKey);
  CPPUNIT_TEST(anyTextIsReadOrRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void leastSettingsTakeAllDefaults() {
    const DaemonSettings settings = load(kLeast);
    CPPUNIT_ASSERT_EQUAL(std::string("constanta"), settings.zone);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.1.1:7000"), settings.transport.listen_address);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.1.1:8080"), settings.node.membership.gateway_address);
    CPPUNIT_ASSERT(settings.node.lease.duration == lease::LeaseSettings().duration);
    CPPUNIT_ASSERT(settings.platform_protocol == PlatformProtocol::kCypresswall);
    CPPUNIT_ASSERT(settings.readiness_address.empty());
  }

  void readsEveryKind() {
    const DaemonSettings settings = load(kLeast + R"(
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
        {kLeast + "limits: {conections: 1}", "node.yaml:10: limits.conections: unknown key"},
        {kLeast + "colour: red", "node.yaml:10: colour: unknown key"},
        {kLeast + "limits: 5", "node.yaml:10: limits: a section"},
        {kLeast + "limits: {connections: many}", "node.yaml:10: limits.connections: 'many'"},
        {kLeast + "limits: {connections: 0}", "node.yaml:10: limits.connections: '0' is outside"},
        {kLeast + "limits: {connections: [1]}", "node.yaml:10: limits.connections: a single"},
        {kLeast + "limits: {connections: }", "node.yaml:10: limits.connections: a value"},
        {kLeast + "limits: {body_bytes: 99999999999GiB}", "node.yaml:10: limits.body_bytes:"},
        {kLeast + "log: {level: loud}", "node.yaml:10: log.level: 'loud'"},
        {kLeast + "log: {level: info}\nlog: {level: info}", "node.yaml:11: log.level: given twice"},
        {kLeast + "timings: {idle_limit: 5}", "node.yaml:10: timings.idle_limit: '5'"},
        {kLeast + "timings: {idle_limit: -5s}", "node.yaml:10: timings.idle_limit: '-5s'"},
        {kLeast + "  protocol: other", "node.yaml:10: platform.protocol: 'other'"},
        {kLeast + "seeds: [localhost:1]", "node.yaml:10: seeds: 'localhost:1'"},
        {kLeast + "seeds: [{a: b}]", "node.yaml:10: seeds: an item"},
        {kLeast + "seeds: [a/x@127.0.0.1:1, a/y@127.0.0.1:2]", "node.yaml:10: seeds: zone 'a'"},
        {replaced(kLeast, "127.0.1.1:7000", "0.0.0.0:7000"), "node.yaml:2: node.peer_address:"},
        {replaced(kLeast, "127.0.1.1:7000", "127.0.1.1:0"), "node.yaml:2: node.peer_address:"},
        {replaced(kLeast, "127.0.1.1:7000", "node-1:7000"), "node.yaml:2: node.peer_address:"},
        {replaced(kLeast, "constanta", "'a b'"), "node.yaml:4: node.zone: 'a b'"},
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
        problemsOf(kLeast + "limits: {connections: 0}\ntimings: {idle_limit: x}");
    CPPUNIT_ASSERT(problems.find("limits.connections") != std::string::npos);
    CPPUNIT_ASSERT(problems.find("timings.idle_limit") != std::string::npos);
  }

  void checksKeysTogether() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"timings: {heartbeat_interval: 3s}", "timings.suspect_after"},
        {"timings: {dead_after: 30ms}", "timings.dead_after"},
        {"timings: {lease_drift_margin: 600ms}", "timings.lease_drift_margin"},
        {"timings: {lease_renew_interval: 2s}", "timings.lease_renew_interval"},
        {"limits: {resume_below_bytes: 1MiB}", "limits.resume_below_bytes"},
        {"seeds: [constanta/dobrogea@127.0.0.1:1]", "seeds: zone 'constanta' is the own"}};
    for (const auto& [text, key] : cases) {
      CPPUNIT_ASSERT_MESSAGE(key, problemsOf(kLeast + text).find(key) != std::string::npos);
    }
    const std::string same = replaced(kLeast, "127.0.1.1:8080", "127.0.1.1:7000");
    CPPUNIT_ASSERT(problemsOf(same).find("node.gateway_address") != std::string::npos);
    const std::string both =
        replaced(kLeast, "  zone:", "  readiness_address: 127.0.1.1:8080\n  zone:");
    CPPUNIT_ASSERT(problemsOf(both).find("node.readiness_address") != std::string::npos);
  }

  void flagsGoOverTheFile() {
    SourceValues flags;
    flags["node.zone"] = {{{"mangalia"}, false}, "--node_zone"};
    const SourceValues file = readSettingsText(kLeast, "node.yaml");
    CPPUNIT_ASSERT_EQUAL(std::string("mangalia"), makeSettings(merged(file, flags)).zone);
    flags["node.zone"].value.items = {"a b"};
    try {
      makeSettings(merged(file, flags));
      CPPUNIT_FAIL("a wrong flag was taken");
    } catch (const SettingsError& error) {
      CPPUNIT_ASSERT(std::string(error.what()).starts_with("--node_zone: node.zone:"));
    }
  }

  void defaultsReadBack() {
    const SourceValues defaults = readSettingsText(defaultSettingsText(), "defaults");
    const SourceValues least = readSettingsText(kLeast, "node.yaml");
    const DaemonSettings settings = makeSettings(merged(defaults, least));
    CPPUNIT_ASSERT(settings.node.lease.renew_interval == lease::LeaseSettings().renew_interval);
    for (const SettingKey& key : settingKeys()) {
      CPPUNIT_ASSERT_MESSAGE(key.name, key.required != defaults.contains(key.name));
    }
  }

  void pageListsEveryKey() {
    std::ifstream file(CYPRESSWALL_SOURCE_DIR "/docs/settings.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const SettingKey& key : settingKeys()) {
      CPPUNIT_ASSERT_MESSAGE(documentRow(key),
                             page.str().find(documentRow(key) + "\n") != std::string::npos);
    }
  }

  void anyTextIsReadOrRefused() {
    testing::requireProperty("no settings text crashes the loader", 1000,
                             [](const std::string& text, bool after) {
                               try {
                                 load(after ? kLeast + text : text);
                               } catch (const SettingsError& error) {
                                 RC_ASSERT(!std::string(error.what()).empty());
                               }
                             });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace cypresswall::settings
