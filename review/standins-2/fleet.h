/// The second site at its own size, on loopback: nine machines in three zones, eighteen model
/// runners and three booking runners, with the bounds and the configuration of the site's sheet.
#pragma once

#include "world.h"

namespace world {

inline constexpr const char* kHost = "a.example";
/// Bounds of the site: `contact_ms`, `grace_s`.
inline constexpr double kContactS = 3.0;
inline constexpr double kGraceS = 8.0;

inline json siteConfiguration() {
  const auto plain = [](const char* name, const char* kind, int attempts) {
    return json{{"name", name},
                {"host", kHost},
                {"path_prefix", std::string("/") + name + "/"},
                {"kind", kind},
                {"timeout_ms", 1000},
                {"target_latency_ms", 150},
                {"priority", 2},
                {"service", "booking-api"},
                {"max_attempts", attempts}};
  };
  const auto model = [](const char* name, int timeout, int target, int priority, int attempts,
                        bool resumable) {
    return json{{"name", name},
                {"host", kHost},
                {"path_prefix", std::string("/") + name + "/"},
                {"kind", "streaming"},
                {"timeout_ms", timeout},
                {"target_latency_ms", target},
                {"priority", priority},
                {"service", "assistant-llm"},
                {"max_attempts", attempts},
                {"sticky", true},
                {"resumable", resumable},
                {"target_gap_ms", 150}};
  };
  const json engine = {{"slots", 32},
                       {"kv_tokens", 442678},
                       {"token_kv_bytes", 163840},
                       {"link_mbps", 1400000.0},
                       {"migrations", true},
                       {"kv_backups", true},
                       {"stride", 7},
                       {"most", 12},
                       {"kv_hold_s", 5.0},
                       {"stage_switch_s", 1.1},
                       {"pin_ms", 4000.0},
                       {"hold_ms", 2000.0},
                       {"models", json::array({{{"name", "m"}}})}};
  return {
      {"version", 1},
      {"routes",
       json::array({model("review", 6000, 600, 1, 1, false), model("faq", 3000, 300, 0, 2, true),
                    plain("slots", "non_idempotent", 1), plain("confirm", "idempotent", 2)})},
      {"services", json::array({{{"name", "assistant-llm"},
                                 {"health_path", "/healthz"},
                                 {"max_conns", 250},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"engine", engine}},
                                {{"name", "booking-api"},
                                 {"health_path", "/healthz"},
                                 {"max_conns", 110},
                                 {"protocol", "h1"},
                                 {"tls", false}}})},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}}};
}

inline json siteBounds() {
  return {{"seed_lag_s", 3},
          {"reuse_after_s", 2},
          {"contact_ms", 3000},
          {"ack_ms", 4000},
          {"catch_up_s", 4},
          {"drain_ms", 2000},
          {"grace_s", 8},
          {"loss_slack_ms", 200},
          {"config_apply_ms", 2000},
          {"rollback_slack_ms", 250},
          {"max_stretch_ms", 5000},
          {"budget_ratio", 0.2},
          {"budget_window_s", 10},
          {"budget_slack", 58},
          {"recover_s", 12},
          {"transit_ms", 120},
          {"retry_after_s", 10},
          {"require_fence", true},
          {"lease_ms", 3000},
          {"thaw_ms", 300}};
}

class Fleet {
 public:
  static constexpr int kNodes = 9;
  static constexpr int kModelRunners = 18;
  static constexpr int kBookingRunners = 3;

  /// What a case changes before start().
  json configuration = siteConfiguration();
  json bounds = siteBounds();
  json more_settings = json::object();
  /// Between two events of a stream.
  double gap_s = 0.01;
  std::vector<std::string> zones = {"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"};

  Fleet(std::string folder, Record& record)
      : folder_(std::move(folder)), record_(record), net_(network()), store_(net_ + "1", 8142) {}

  /// Starts everything. \param crashes whether a runner crashes as it begins to run a request
  /// \param with_first_event whether a stream's first event leaves a runner that crashes
  bool start(const std::function<bool(const Message&)>& crashes, bool with_first_event) {
    if (!store_.start()) {
      return failed("the store has no address");
    }
    store_.put("config", "main", configuration);
    for (int i = 0; i < kModelRunners + kBookingRunners; ++i) {
      const bool model = i < kModelRunners;
      Runner::Settings settings;
      settings.service = model ? "assistant-llm" : "booking-api";
      settings.name = (model ? "i-" : "b-") + std::to_string(model ? i + 1 : i + 1 - kModelRunners);
      settings.ip = net_ + std::to_string(100 + i);
      settings.zone = zones[i % 3];
      settings.slots = model ? 32 : 6;
      settings.stage = !model ? "" : i % 3 == 0 ? "prefill" : "decode";
      settings.gap_s = gap_s;
      settings.crashes = crashes;
      settings.crashes_with_first_event = with_first_event;
      runners_.push_back(std::make_unique<Runner>(store_, record_, settings));
      if (!runners_.back()->start()) {
        return failed("a runner has no address");
      }
    }
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i) {
      seeds.push_back(net_ + std::to_string(10 + i) + ":" + std::to_string(kControlPort));
    }
    for (int i = 0; i < kNodes; ++i) {
      const std::string ip = net_ + std::to_string(10 + i);
      const std::string name = "edge-" + zones[i % 3] + "-" + std::to_string(i / 3 + 1);
      json settings = machineSettings(ip, name, zones[i % 3], seeds, store_.address(), bounds);
      settings.update(more_settings);
      nodes_.push_back(std::make_unique<Node>(folder_ + "/" + name, ip, name, settings));
      nodes_.back()->start();
    }
    return awaitReady(15) || failed("not all machines are ready");
  }
  bool awaitReady(double limit) const {
    const double until = now() + limit;
    for (const auto& node : nodes_) {
      while (!ready(node->ip())) {
        if (now() > until) {
          return false;
        }
        sleepFor(0.05);
      }
    }
    record_.line("all machines are ready");
    return true;
  }
  Store& store() { return store_; }
  const std::string& net() const { return net_; }
  Node& node(int index) { return *nodes_[static_cast<std::size_t>(index % kNodes)]; }
  const std::vector<std::unique_ptr<Runner>>& runners() const { return runners_; }

  /// Ends all machines and waits for the runners. \return true if a machine had ended by itself
  bool end() {
    bool ended = false;
    for (const auto& node : nodes_) {
      if (node->ended()) {
        record_.line(node->name() + " had ended");
        ended = true;
      }
      node->kill();
    }
    for (const auto& runner : runners_) {
      runner->joinThreads();
    }
    return ended;
  }
  /// \return times at which a runner crashed, in order
  std::vector<double> crashes() const {
    std::vector<double> times;
    for (const auto& runner : runners_) {
      const auto of_runner = runner->crashTimes();
      times.insert(times.end(), of_runner.begin(), of_runner.end());
    }
    std::sort(times.begin(), times.end());
    return times;
  }
  /// \return times at which requests that `chosen` accepts began to run, in order
  std::vector<double> arrivals(const std::function<bool(const Runner::Arrival&)>& chosen) const {
    std::vector<double> times;
    for (const auto& runner : runners_) {
      for (const auto& arrival : runner->arrivals()) {
        if (chosen(arrival)) {
          times.push_back(arrival.at);
        }
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }

 private:
  bool failed(const char* reason) const {
    record_.line(reason);
    return false;
  }

  std::string folder_;
  Record& record_;
  std::string net_;
  Store store_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

struct Ask {
  std::string method = "POST";
  std::string path;
  std::string id = newId();
  /// Of a model request: `X-Token-Counts`, `X-Prefix-Hash`.
  std::string counts = {};
  std::string parts = {};
  std::string body = {};
  double deadline_s = 1;
  std::string more = {};
};

/// One client attempt on a new connection.
inline Answer ask(const Node& node, const Ask& request) {
  std::string head = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nX-Request-Id: " + request.id + "\r\nX-Deadline-Ms: " +
                     std::to_string(static_cast<int>(request.deadline_s * 1000)) +
                     "\r\nConnection: close\r\n" + request.more;
  if (!request.counts.empty()) {
    head += "X-Model: m\r\nX-Token-Counts: " + request.counts +
            "\r\nX-Prefix-Hash: " + request.parts + "\r\n";
  }
  return call(node.ip(), kFrontPort, head, request.body, request.deadline_s + 1);
}

/// What a case is told by its environment: TROUBLE=0 plays it without the disruption.
inline bool withTrouble() {
  const char* const variable = std::getenv("TROUBLE");
  return variable == nullptr || std::string(variable) != "0";
}

}  // namespace world
