#include "tests/process/test_fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <thread>
#include <utility>

namespace cypresswall::testing {
namespace {

using nlohmann::json;

constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr auto kWaitLimit = std::chrono::seconds(40);
constexpr const char* kZone = "hall";
constexpr const char* kRegion = "coast";

enum HostPart { kPlatformPart = 1, kEnginePart = 50, kServicePart = 100, kNodePart = 150 };

std::string joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += text.empty() ? word : "," + word;
  }
  return text;
}

}  // namespace

void waitUntil(const std::string& what, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      CPPUNIT_FAIL("did not happen in time: " + what);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

TestFleet::TestFleet(std::size_t nodes, std::size_t engines,
                     const AddressMapping& daemon_address_of,
                     std::vector<std::string> engine_builds, std::size_t back_ends)
    : engine_builds_(std::move(engine_builds)) {
  constexpr int kNumbers = 200;
  const int process = getpid();
  network_ = "127." + std::to_string(20 + process % kNumbers) + "." +
             std::to_string(process / kNumbers % kNumbers);
  folder_ = (std::filesystem::temp_directory_path() /
             ("cypresswall-process-test-" + std::to_string(process)))
                .string();
  std::filesystem::create_directories(folder_);
  platform_ = host(kPlatformPart, 0) + ":8000";
  for (std::size_t back_end = 0; back_end < back_ends; ++back_end) {
    back_ends_.push_back(host(kServicePart, back_end) + ":8100");
  }
  for (std::size_t engine = 0; engine < engines; ++engine) {
    engines_.push_back(host(kEnginePart, engine) + ":8001");
  }
  platform_address_for_daemons_ = daemon_address_of ? daemon_address_of(platform_) : platform_;
  for (const std::string& engine : engines_) {
    engine_addresses_for_daemons_.push_back(daemon_address_of ? daemon_address_of(engine) : engine);
  }
  for (const std::string& back_end : back_ends_) {
    back_end_addresses_for_daemons_.push_back(daemon_address_of ? daemon_address_of(back_end)
                                                                : back_end);
  }
  platform_program_ = std::make_unique<Program>(
      "cypresswall-platform-standin",
      std::vector<std::string>{"--address", platform_, "--machine_list_lag_ms", "100"},
      folder_ + "/platform.log");
  engine_program_ = std::make_unique<Program>(
      "cypresswall-engine-standin",
      std::vector<std::string>{"--addresses", joined(engines_), "--model", kModel,
                               "--model_version", kModelVersion, "--builds", joined(engine_builds_),
                               "--role_change_ms", "500", "--restart_ms", "1000"},
      folder_ + "/engines.log");
  service_program_ = std::make_unique<Program>(
      "cypresswall-service-standin",
      std::vector<std::string>{"--addresses", joined(back_ends_), "--name", kHttpService},
      folder_ + "/service.log");
  for (std::size_t node = 0; node < nodes; ++node) {
    gateways_.push_back(host(kNodePart, node) + ":8080");
  }
  daemons_.resize(nodes);
  waitUntil("platform answers",
            [this] { return httpCall("GET", platform_, "/machines?zone=hall").status == 200; });
  for (std::size_t node = 0; node < nodes; ++node) {
    startDaemon(node);
  }
  waitUntilAllAreReady();
  declare();
}

TestFleet::~TestFleet() {
  daemons_.clear();
  if (std::getenv("CYPRESSWALL_KEEP_LOGS") != nullptr) {
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string TestFleet::host(int part, std::size_t number) const {
  return network_ + "." + std::to_string(static_cast<std::size_t>(part) + number);
}

std::string TestFleet::peerAddress(std::size_t node) const {
  return host(kNodePart, node) + ":7000";
}

void TestFleet::startDaemon(std::size_t node) {
  std::vector<std::string> seeds;
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    seeds.push_back(peerAddress(other));
  }
  std::vector<std::string> flags = {"--node_peer_address",
                                    peerAddress(node),
                                    "--node_gateway_address",
                                    gateways_[node],
                                    "--node_zone",
                                    kZone,
                                    "--node_region",
                                    kRegion,
                                    "--node_machine",
                                    "machine-" + std::to_string(node),
                                    "--seeds",
                                    joined(seeds),
                                    "--platform_object_api",
                                    platform_address_for_daemons_,
                                    "--platform_machine_list",
                                    platform_address_for_daemons_,
                                    "--execution_moves_slow_streams",
                                    "on"};
  flags.insert(flags.end(), more_flags_.begin(), more_flags_.end());
  daemons_[node] = std::make_unique<Program>("cypresswalld", flags,
                                             folder_ + "/node-" + std::to_string(node) + ".log");
}

void TestFleet::restart(std::size_t node) {
  startDaemon(node);
  waitUntil("a restarted node is ready", [this, node] { return ready(node); });
}

void TestFleet::killAll() {
  for (const auto& daemon : daemons_) {
    daemon->kill();
  }
}

void TestFleet::losePower() {
  for (const auto& daemon : daemons_) {
    daemon->signal(SIGKILL);
  }
  platformFault({{"down", true}});
  killAll();
}

void TestFleet::startAll() {
  for (std::size_t node = 0; node < nodes(); ++node) {
    startDaemon(node);
  }
}

void TestFleet::waitUntilAllAreReady() const {
  waitUntil("all nodes are ready", [this] {
    for (std::size_t node = 0; node < nodes(); ++node) {
      if (!ready(node)) {
        return false;
      }
    }
    return true;
  });
}

bool TestFleet::ready(std::size_t node) const {
  return httpCall("GET", gateways_[node], "/readyz").status == 200;
}

bool TestFleet::serves(std::size_t node) const {
  return httpCall("POST", gateways_[node], "/v1/completions",
                  R"({"model":"chat","prompt":"warm","max_tokens":1})")
             .status == 200;
}

void TestFleet::declare() {
  std::string file =
      "zones: [{name: hall, region: coast}]\n"
      "models: [{name: model, version: \"1\", weights_uri: \"weights://model\"}]\n"
      "model_services: [{name: chat, model: model, urgency: high}]\n"
      "planning: {automatic_roles: false}\n"
      "http_services:\n  - name: booking\n    backends:\n";
  for (std::size_t back_end = 0; back_end < back_ends_.size(); ++back_end) {
    file += "      - {zone: hall, machine: web-" + std::to_string(back_end) + ", address: \"" +
            back_end_addresses_for_daemons_[back_end] + "\"}\n";
  }
  file +=
      "    operations:\n      - {method: POST, path_prefix: /bookings, "
      "repeatable: false, time_limit: 3s}\n"
      "      - {method: GET, path_prefix: /slots, repeatable: true}\nengines:\n";
  for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
    file += "  - {name: " + engineName(engine) + ", zone: hall, machine: m" +
            std::to_string(engine) + ", address: \"" + engine_addresses_for_daemons_[engine] +
            "\", model: model, build: \"" + engine_builds_[engine % engine_builds_.size()] +
            "\"}\n";
  }
  const json request = {{"command", "apply fleet.yaml"}, {"file", file}, {"wait", true}};
  waitUntil("the fleet is declared", [&] {
    const auto answer = httpCall("POST", gateways_[0], "/operators/v1/command", request.dump());
    return answer.status == 200;
  });
  waitUntil("every node serves the model", [this] {
    for (std::size_t node = 0; node < nodes(); ++node) {
      if (!serves(node)) {
        return false;
      }
    }
    return true;
  });
  waitUntil("a node holds the lease", [this] { return leaseHolder() < nodes(); });
}

json TestFleet::command(std::size_t node, const std::string& text) const {
  const json request = {{"command", text}, {"wait", true}};
  const auto answer = httpCall("POST", gateways_[node], "/operators/v1/command", request.dump());
  return json::parse(answer.body, nullptr, false);
}

std::size_t TestFleet::leaseHolder(const std::vector<std::size_t>& asked) const {
  for (const std::size_t node : asked) {
    const auto answer = command(node, "show leases where here = yes");
    if (answer.is_object() && answer.contains("rows") && !answer["rows"].empty()) {
      return node;
    }
  }
  return nodes();
}

std::size_t TestFleet::leaseHolder() const {
  std::vector<std::size_t> all;
  for (std::size_t node = 0; node < nodes(); ++node) {
    all.push_back(node);
  }
  return leaseHolder(all);
}

void TestFleet::engineFault(std::size_t engine, const json& fault) const {
  httpCall("POST", engines_[engine], "/admin/faults", fault.dump());
}

json TestFleet::engineLoad(std::size_t engine) const {
  return json::parse(httpCall("GET", engines_[engine], "/v1/load").body, nullptr, false);
}

json TestFleet::engineLedger(std::size_t engine) const {
  return json::parse(httpCall("GET", engines_[engine], "/admin/ledger").body);
}

void TestFleet::platformFault(const json& fault) const {
  httpCall("POST", platform_, "/admin/faults", fault.dump());
}

void TestFleet::serviceFault(const json& fault) const {
  httpCall("POST", back_ends_.front(), "/admin/faults", fault.dump());
}

json TestFleet::serviceLedger() const {
  return json::parse(httpCall("GET", back_ends_.front(), "/admin/ledger").body);
}

}  // namespace cypresswall::testing
