#include "tests/objects_platform/processes/objects_fleet.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <utility>

#include "tests/support/settings_template.h"

namespace cypresswall::objects_platform::testing {
namespace {

using cypresswall::testing::httpCall;
using cypresswall::testing::SettingsTemplate;
using nlohmann::json;

constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr const char* kHost = "a.example";
constexpr std::size_t kRunnersOfService = 2;

enum HostPart { kStorePart = 1, kNodePart = 50, kRunnerPart = 100 };

std::string numbered(std::string name, std::size_t number) {
  return name.append("-").append(std::to_string(number));
}

json route(const std::string& name, const std::string& kind, const std::string& service) {
  return {{"name", name},  {"host", kHost},      {"path_prefix", "/" + name + "/"},
          {"kind", kind},  {"timeout_ms", 6000}, {"target_latency_ms", 300},
          {"priority", 1}, {"service", service}, {"max_attempts", 2}};
}

json modelRoute() {
  json described = route("faq", "streaming", kModelService);
  described.update({{"sticky", true}, {"resumable", true}, {"target_gap_ms", 150}});
  return described;
}

json service(const std::string& name) {
  return {{"name", name},
          {"health_path", "/healthz"},
          {"max_conns", 250},
          {"protocol", "h1"},
          {"tls", false}};
}

json modelService() {
  json described = service(kModelService);
  described["engine"] = {{"slots", 32},
                         {"kv_tokens", 442678},
                         {"link_mbps", 1400000},
                         {"token_kv_bytes", 163840},
                         {"migrations", true},
                         {"kv_backups", true},
                         {"stride", 7},
                         {"most", 12},
                         {"kv_hold_s", 5.0},
                         {"stage_switch_s", 1.1},
                         {"pin_ms", 4000.0},
                         {"hold_ms", 2000.0},
                         {"models", json::array({{{"name", "m"}}})}};
  return described;
}

}  // namespace

std::string operatorConfiguration(std::uint64_t version, const std::string& prefix) {
  return json{{"version", version},
              {"routes", {route(prefix, "idempotent", kPlainService), modelRoute()}},
              {"services", {service(kPlainService), modelService()}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 4194304},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

bool holdsWithin(common::Duration limit, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

ObjectsFleet::ObjectsFleet(std::size_t nodes, const DaemonLimits& limits)
    : nodes_(nodes), limits_(limits) {
  constexpr int kNumbers = 200;
  const int process = getpid();
  network_ = "127." + std::to_string(20 + process % kNumbers) + "." +
             std::to_string(process / kNumbers % kNumbers);
  folder_ = (std::filesystem::temp_directory_path() /
             ("cypresswall-objects-processes-test-" + std::to_string(process)))
                .string();
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  store_ = std::make_unique<StoreStandin>(loop_.scheduler());
  for (std::size_t node = 0; node < nodes; ++node) {
    openStore(node);
  }
  atStore([](StoreStandin& store) { store.put("config", "main", operatorConfiguration(7)); });
  for (std::size_t number = 0; number < kRunnersOfService; ++number) {
    addRunner({numbered("plain", number), kPlainService, runnerAddress()});
    addRunner({numbered("model", number), kModelService, runnerAddress(), "v1", true});
  }
}

ObjectsFleet::~ObjectsFleet() {
  programs_.clear();
  // The stand-ins are destroyed after the thread that uses them has ended.
  loop_.stop();
  if (std::getenv("CYPRESSWALL_KEEP_LOGS") != nullptr) {
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string ObjectsFleet::host(int part, std::size_t number) const {
  return network_ + "." + std::to_string(static_cast<std::size_t>(part) + number);
}

std::string ObjectsFleet::peerAddress(std::size_t node) const {
  return host(kNodePart, node) + ":7000";
}

std::string ObjectsFleet::frontAddress(std::size_t node) const {
  return host(kNodePart, node) + ":8080";
}

std::string ObjectsFleet::readinessAddress(std::size_t node) const {
  return host(kNodePart, node) + ":8081";
}

std::string ObjectsFleet::storeAddress(std::size_t node) const {
  return host(kStorePart, node) + ":8142";
}

void ObjectsFleet::openStore(std::size_t node) {
  loop_.listen(storeAddress(node), [this](const http::Request& request, const auto& responder) {
    store_->handle(request, responder);
  });
}

std::string ObjectsFleet::logOf(std::size_t node) const {
  return folder_ + "/" + numbered("node", node) + ".log";
}

std::string ObjectsFleet::runnerAddress() { return host(kRunnerPart, addresses_++) + ":9000"; }

std::string ObjectsFleet::settingsOf(std::size_t node) const {
  std::string seeds;
  for (std::size_t other = 0; other < nodes_; ++other) {
    seeds.append(other == 0 ? "" : ",").append(peerAddress(other));
  }
  return SettingsTemplate::fromFile(std::string(CYPRESSWALL_SOURCE_DIR) +
                                    "/deploy/settings.template")
      .filled({{"listen_addrs.control", peerAddress(node)},
               {"listen_addrs.front", frontAddress(node)},
               {"listen_addrs.readiness", readinessAddress(node)},
               {"region", "coast"},
               {"node_name", numbered("node", node)},
               {"limits.link_mbps", "1000"},
               {"limits.memory_mb", std::to_string(limits_.memory_megabytes)},
               {"seeds", seeds},
               {"platform.address", storeAddress(node)},
               {"zones", ""},
               {"@", "hall"},
               {".", "coast"},
               {"bounds.budget_ratio", "0.2"},
               {"bounds.budget_window_s", "10"},
               {"bounds.budget_slack", "58"}});
}

void ObjectsFleet::startDaemons() {
  programs_.clear();
  programs_.resize(nodes_);
  for (std::size_t node = 0; node < nodes_; ++node) {
    start(node);
  }
}

void ObjectsFleet::start(std::size_t node) {
  const std::string file = folder_ + "/" + numbered("node", node) + ".yaml";
  std::ofstream(file) << settingsOf(node);
  std::vector<std::string> arguments = {"--settings", file};
  if (limits_.connections != 0) {
    arguments.push_back("--limits_connections=" + std::to_string(limits_.connections));
  }
  programs_[node] = std::make_unique<Program>("cypresswalld", arguments, logOf(node));
}

bool ObjectsFleet::ready(std::size_t node) const {
  return httpCall("GET", readinessAddress(node), "/readyz").status == 200;
}

bool ObjectsFleet::allAreReady() const {
  for (std::size_t node = 0; node < nodes_; ++node) {
    if (!ready(node)) {
      return false;
    }
  }
  return true;
}

void ObjectsFleet::atStore(const std::function<void(StoreStandin&)>& change) {
  loop_.run([&] { change(*store_); });
}

RunnerStandin& ObjectsFleet::addRunner(RunnerSettings settings) {
  runners_.push_back(std::make_unique<RunnerStandin>(std::move(settings), loop_.scheduler()));
  RunnerStandin& runner = *runners_.back();
  loop_.listen(runner.settings().address,
               [&runner](const http::Request& request, const auto& responder) {
                 runner.handle(request, responder);
               });
  atStore([&](StoreStandin& store) {
    store.put("servers", runner.settings().id, runnerEntry(runner.settings()));
  });
  return runner;
}

void ObjectsFleet::removeEntry(const RunnerStandin& runner) {
  atStore([&](StoreStandin& store) { store.remove("servers", runner.settings().id); });
}

std::string ObjectsFleet::newRequest() { return "request-" + std::to_string(++requests_); }

HttpAnswer ObjectsFleet::callPlain(std::size_t node, const std::string& prefix) {
  return httpCall("POST", frontAddress(node), std::string("/").append(prefix).append("/list"),
                  "body",
                  {{"Host", kHost}, {"X-Request-Id", newRequest()}, {"X-Deadline-Ms", "3000"}});
}

std::string ObjectsFleet::plainHead(const std::string& target, const std::string& more_fields) {
  return "POST /slots/" + target + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nX-Request-Id: " + newRequest() + "\r\nX-Deadline-Ms: 5000\r\n" + more_fields + "\r\n";
}

HttpAnswer ObjectsFleet::callModel(std::size_t node, const ModelCall& call) {
  const std::string request = call.request.empty() ? newRequest() : call.request;
  std::map<std::string, std::string> headers = {
      {"Host", kHost},
      {"X-Request-Id", request},
      {"X-Deadline-Ms", std::to_string(call.deadline)},
      {"X-Model", "m"},
      {"X-Token-Counts", std::string("383,").append(std::to_string(call.events))},
      {"X-Prefix-Hash", "5c1e07a2:92,91bd3f06:291"}};
  if (!call.last_event.empty()) {
    headers["Last-Event-Id"] = call.last_event;
    headers["Resumes"] = call.resumed_request;
  }
  return httpCall("POST", frontAddress(node), "/faq/ask", "body", headers);
}

void ObjectsFleet::isolate(std::size_t node) {
  isolated_node_ = node;
  loop_.close(storeAddress(node));
  std::set<std::string> peers;
  for (std::size_t other = 0; other < nodes_; ++other) {
    if (other != node) {
      peers.insert(peerAddress(other));
    }
  }
  std::set<std::string> ends;
  cut_.silence(programs_[node]->id(), [&](const std::string& local, const std::string& peer) {
    const bool part = local == peerAddress(node) || peers.contains(peer);
    if (part) {
      ends.insert(local);
    }
    return part;
  });
  for (std::size_t other = 0; other < nodes_; ++other) {
    if (other != node) {
      // A silenced listener accepts no new connection, whoever asks.
      cut_.silence(programs_[other]->id(), [&](const std::string& local, const std::string& peer) {
        return ends.contains(peer) || (local == peerAddress(other) && peer.empty());
      });
    }
  }
}

void ObjectsFleet::heal() {
  cut_.heal();
  openStore(isolated_node_);
}

std::vector<std::string> ObjectsFleet::endings() const {
  std::vector<std::string> found;
  for (std::size_t node = 0; node < programs_.size(); ++node) {
    const std::string ending = programs_[node]->ending();
    if (!ending.empty()) {
      std::string text = "node ";
      text.append(std::to_string(node)).append(": ").append(ending);
      found.push_back(std::move(text));
    }
  }
  return found;
}

bool ObjectsFleet::logged(const std::string& first, const std::string& second) const {
  for (std::size_t node = 0; node < nodes_; ++node) {
    std::ifstream log(logOf(node));
    std::string line;
    while (std::getline(log, line)) {
      if (line.find(first) != std::string::npos && line.find(second) != std::string::npos) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace cypresswall::objects_platform::testing
