#include "tests/release_soak/release_fleet.h"

#include <unistd.h>

#include <asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <utility>

#include "tests/process/http_call.h"
#include "tests/process/test_fleet.h"

namespace cypresswall::testing {
namespace {

using nlohmann::json;

constexpr const char* kZone = "hall";
constexpr const char* kRegion = "coast";
constexpr const char* kHost = "a.example";
constexpr const char* kService = "assistant";
constexpr const char* kModelName = "m";
constexpr const char* kFirstRoute = "/first/";
constexpr std::uint32_t kEvents = 20;

enum HostPart : std::size_t { kStorePart = 1, kEnginePart = 50, kNodePart = 150, kProxyPart = 200 };

json routeOf(const std::string& path_prefix) {
  return {{"name", "r" + path_prefix.substr(1, path_prefix.size() - 2)},
          {"host", kHost},
          {"path_prefix", path_prefix},
          {"kind", "streaming"},
          {"timeout_ms", 10000},
          {"target_latency_ms", 1000},
          {"priority", 0},
          {"service", kService},
          {"max_attempts", 2},
          {"sticky", true},
          {"resumable", true},
          {"target_gap_ms", 500}};
}

json serviceDeclaration() {
  return {{"name", kService},
          {"health_path", "/healthz"},
          {"max_conns", 250},
          {"engine",
           {{"slots", 64},
            {"kv_tokens", 400000},
            {"token_kv_bytes", 163840},
            {"link_mbps", 1400000.0},
            {"models", json::array({json{{"name", kModelName}}})}}}};
}

}  // namespace

ReleaseFleet::ReleaseFleet(std::size_t nodes, std::size_t engines, const std::string& build)
    : work_(asio::make_work_guard(context_)) {
  constexpr int kNumbers = 200;
  const int process = getpid();
  network_ = "127." + std::to_string(20 + process % kNumbers) + "." +
             std::to_string(process / kNumbers % kNumbers);
  folder_ =
      (std::filesystem::temp_directory_path() / ("cypresswall-release-" + std::to_string(process)))
          .string();
  std::filesystem::create_directories(folder_);
  store_address_ = host(kStorePart) + ":8000";
  store_ = std::make_unique<ObjectsStoreStandin>(context_, store_address_);
  thread_ = std::thread([this] { context_.run(); });
  declareRoute(kFirstRoute);
  for (std::size_t engine = 0; engine < engines; ++engine) {
    startEngine(build);
  }
  for (std::size_t node = 0; node < nodes; ++node) {
    gateways_.push_back(host(kNodePart + node) + ":8080");
    store_proxies_.push_back(
        std::make_unique<TcpProxy>(host(kProxyPart + node) + ":8000", store_address_));
  }
  daemons_.resize(nodes);
  startDaemons();
  for (std::size_t node = 0; node < nodes; ++node) {
    waitUntil("node " + std::to_string(node) + " serves",
              [&] { return ready(node) && serves(node, kFirstRoute); });
  }
}

ReleaseFleet::~ReleaseFleet() {
  daemons_.clear();
  store_proxies_.clear();
  context_.stop();
  thread_.join();
  engines_.clear();
  store_.reset();
  if (std::getenv("CYPRESSWALL_KEEP_LOGS") != nullptr) {
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string ReleaseFleet::host(std::size_t number) const {
  return network_ + "." + std::to_string(number);
}

void ReleaseFleet::onStandins(const std::function<void()>& action) const {
  std::promise<void> done;
  asio::post(context_, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void ReleaseFleet::startDaemons() {
  for (std::size_t node = 0; node < nodes(); ++node) {
    startDaemon(node);
  }
}

void ReleaseFleet::startDaemon(std::size_t node) {
  std::string seeds;
  for (std::size_t other = 0; other < nodes(); ++other) {
    seeds += (other == 0 ? "" : ",") + host(kNodePart + other) + ":7000";
  }
  const std::string store = store_proxies_[node]->address();
  daemons_[node] =
      std::make_unique<Program>("cypresswalld",
                                std::vector<std::string>{"--node_peer_address",
                                                         host(kNodePart + node) + ":7000",
                                                         "--node_gateway_address",
                                                         gateways_[node],
                                                         "--node_readiness_address",
                                                         host(kNodePart + node) + ":8081",
                                                         "--node_zone",
                                                         kRegion,
                                                         "--node_region",
                                                         kRegion,
                                                         "--node_machine",
                                                         "machine-" + std::to_string(node),
                                                         "--seeds",
                                                         seeds,
                                                         "--platform_protocol",
                                                         "objects",
                                                         "--platform_object_api",
                                                         store,
                                                         "--platform_machine_list",
                                                         store,
                                                         "--platform_zone_regions",
                                                         std::string(kZone) + "/" + kRegion,
                                                         "--execution_moves_slow_streams",
                                                         "on",
                                                         "--planning_automatic_roles",
                                                         "off",
                                                         "--checkpoint_enabled",
                                                         "on",
                                                         "--timings_store_watch_time",
                                                         "1500ms",
                                                         "--timings_stop_lame_duck",
                                                         "2500ms",
                                                         "--timings_stop_limit",
                                                         "4500ms"},
                                folder_ + "/node-" + std::to_string(node) + ".log");
}

bool ReleaseFleet::ready(std::size_t node) const {
  return httpCall("GET", host(kNodePart + node) + ":8081", "/readyz").status == 200;
}

StreamCall ReleaseFleet::newCall(const std::string& request_id, const std::string& path) const {
  StreamCall call;
  call.request_id = request_id;
  call.host = kHost;
  call.path = path;
  call.model = kModelName;
  call.prompt = request_id;
  call.events = kEvents;
  return call;
}

bool ReleaseFleet::serves(std::size_t node, const std::string& path) const {
  StreamCall call = newCall("probe-" + std::to_string(node), path + "probe");
  call.events = 1;
  return callStream(gateway(node), call).complete;
}

void ReleaseFleet::startEngine(const std::string& build) {
  const std::string number = std::to_string(engines_.size());
  RunnerSettings settings;
  settings.id = "i-" + build + "-" + number;
  settings.address = host(kEnginePart + engines_.size()) + ":8001";
  settings.zone = kZone;
  settings.service = kService;
  settings.model = kModelName;
  settings.build = build;
  onStandins(
      [&] { engines_.push_back(std::make_unique<RunnerStandin>(context_, *store_, settings)); });
}

void ReleaseFleet::withdrawEngine(std::size_t engine) {
  onStandins([&] { engines_.at(engine)->withdraw(); });
}

void ReleaseFleet::breakAnswers(std::size_t engine) {
  onStandins([&] { engines_.at(engine)->breakAnswers(); });
}

void ReleaseFleet::cutFromStore(std::size_t node, bool cut) {
  ProxyFaults faults;
  faults.drop_requests = cut;
  faults.drop_answers = cut;
  store_proxies_[node]->setFaults(faults);
}

void ReleaseFleet::declareRoute(const std::string& path_prefix) {
  routes_.push_back(path_prefix);
  json routes = json::array();
  for (const std::string& route : routes_) {
    routes.push_back(routeOf(route));
  }
  const json spec = {{"version", ++version_},
                     {"routes", std::move(routes)},
                     {"services", json::array({serviceDeclaration()})},
                     {"limits",
                      {{"max_header_bytes", 16384},
                       {"max_body_bytes", 4194304},
                       {"header_timeout_ms", 3000},
                       {"idle_timeout_ms", 15000}}}};
  onStandins([&] { store_->put("config", "main", spec); });
}

void ReleaseFleet::losePower() {
  for (const auto& daemon : daemons_) {
    daemon->signal(SIGKILL);
  }
  onStandins([this] { store_->setDown(true); });
  for (const auto& daemon : daemons_) {
    daemon->kill();
  }
}

void ReleaseFleet::startStore() {
  onStandins([this] { store_->setDown(false); });
}

}  // namespace cypresswall::testing
