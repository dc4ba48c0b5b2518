/// Fixture with a gateway between a recording responder and scripted executors.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/gateway/gateway.h"

namespace cypresswall::gateway {

/// Records what a caller would receive. Queued bytes count as sent only when drain() is called.
class RecordingResponder final : public http::Responder {
 public:
  struct Record {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool finished = false;
    bool aborted = false;
    std::size_t pending = 0;
    std::function<void()> on_drained;
    std::function<void()> on_closed;

    nlohmann::json json() const { return nlohmann::json::parse(body); }
    /// \return the data of all server-sent events.
    std::vector<std::string> events() const {
      std::vector<std::string> found;
      std::istringstream lines(body);
      const std::string prefix = "data: ";
      for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(prefix)) {
          found.push_back(line.substr(prefix.size()));
        }
      }
      return found;
    }
    /// \return the concatenated text of all deltas of a chat stream.
    std::string deltaText() const {
      std::string text;
      for (const auto& event : events()) {
        const auto parsed = nlohmann::json::parse(event, nullptr, false);
        if (parsed.contains("choices") && !parsed["choices"].empty()) {
          text += parsed["choices"][0]["delta"].value("content", "");
        }
      }
      return text;
    }
    void drain(std::size_t left) {
      pending = left;
      const auto callback = on_drained;
      callback();
    }
  };

  explicit RecordingResponder(std::shared_ptr<Record> record) : record_(std::move(record)) {}
  ~RecordingResponder() override {
    record_->on_drained = nullptr;
    record_->on_closed = nullptr;
  }
  RecordingResponder(const RecordingResponder&) = delete;
  RecordingResponder& operator=(const RecordingResponder&) = delete;

  void respond(int status, const std::vector<http::Header>& headers, std::string body) override {
    startStream(status, headers);
    record_->body = std::move(body);
    record_->finished = true;
  }
  void startStream(int status, const std::vector<http::Header>& headers) override {
    record_->status = status;
    for (const auto& header : headers) {
      record_->headers[header.name] = header.value;
    }
  }
  void write(std::string_view chunk) override {
    record_->pending += chunk.size();
    record_->body += chunk;
  }
  void finishStream() override { record_->finished = true; }
  void abort() override { record_->aborted = true; }
  std::size_t pendingBytes() const override { return record_->pending; }
  void onDrained(std::function<void()> callback) override {
    record_->on_drained = std::move(callback);
  }
  void onClosed(std::function<void()> callback) override {
    record_->on_closed = std::move(callback);
  }

 private:
  std::shared_ptr<Record> record_;
};

/// Records model calls; the test answers them explicitly.
class ScriptedModels final : public execution::ModelExecutor {
 public:
  struct Call {
    execution::ModelCall call;
    execution::ModelCallObserver* observer = nullptr;
    bool paused = false;
    bool cancelled = false;
  };

  std::unique_ptr<execution::ModelExecution> start(
      execution::ModelCall call, execution::ModelCallObserver& observer) override {
    auto state = std::make_shared<Call>();
    state->call = std::move(call);
    state->observer = &observer;
    calls.push_back(state);
    return std::make_unique<Execution>(state);
  }

  std::vector<std::shared_ptr<Call>> calls;

 private:
  class Execution final : public execution::ModelExecution {
   public:
    explicit Execution(std::shared_ptr<Call> call) : call_(std::move(call)) {}
    ~Execution() override { call_->cancelled = true; }
    Execution(const Execution&) = delete;
    Execution& operator=(const Execution&) = delete;
    void pause() override { call_->paused = true; }
    void resume() override { call_->paused = false; }

   private:
    std::shared_ptr<Call> call_;
  };
};

/// Records service calls; the test answers them explicitly.
class ScriptedServices final : public execution::ServiceExecutor {
 public:
  struct Call {
    execution::ServiceCallRequest request;
    execution::ServiceCallCallback callback;
    bool cancelled = false;
  };

  std::unique_ptr<execution::ServiceExecution> start(
      execution::ServiceCallRequest request, execution::ServiceCallCallback callback) override {
    auto state = std::make_shared<Call>();
    state->request = std::move(request);
    state->callback = std::move(callback);
    calls.push_back(state);
    return std::make_unique<Execution>(state);
  }

  std::vector<std::shared_ptr<Call>> calls;

 private:
  class Execution final : public execution::ServiceExecution {
   public:
    explicit Execution(std::shared_ptr<Call> call) : call_(std::move(call)) {}
    ~Execution() override { call_->cancelled = true; }
    Execution(const Execution&) = delete;
    Execution& operator=(const Execution&) = delete;

   private:
    std::shared_ptr<Call> call_;
  };
};

/// Scheduler whose timers run only when the test calls run().
class ManualScheduler final : public common::Scheduler {
 public:
  common::TimerId schedule(common::Duration delay, std::function<void()> callback) override {
    timers_[++last_] = {delay, std::move(callback)};
    return last_;
  }
  void cancel(common::TimerId timer) override { timers_.erase(timer); }
  /// Runs all currently pending timers with a delay of at most `delay`.
  void run(common::Duration delay) {
    for (auto& [id, timer] : std::map(timers_)) {
      if (timer.first <= delay && timers_.erase(id) > 0) {
        timer.second();
      }
    }
  }

 private:
  common::TimerId last_ = 0;
  std::map<common::TimerId, std::pair<common::Duration, std::function<void()>>> timers_;
};

class FixedConfiguration final : public configuration::ConfigurationView {
 public:
  std::shared_ptr<const configuration::FleetConfiguration> current() const override {
    return fleet;
  }
  void onChange(std::function<void(const configuration::FleetConfiguration&)>) override {}

  std::shared_ptr<configuration::FleetConfiguration> fleet =
      std::make_shared<configuration::FleetConfiguration>();
};

class RecordingSink final : public common::LogSink {
 public:
  bool enabled(common::LogLevel) const override { return true; }
  void write(common::LogLevel, const std::string& line) override { lines.push_back(line); }
  std::vector<std::string> lines;
};

struct GatewayFixture {
  GatewayFixture() {
    configuration.fleet->version = 1;
    configuration.fleet->tenants["porter"] = {"porter", "secret", 0, 0};
    configuration.fleet->models["m1"] = {};
    configuration.fleet->model_services["summary"] = {};
  }

  std::shared_ptr<RecordingResponder::Record> send(http::Request request) {
    auto record = std::make_shared<RecordingResponder::Record>();
    gateway.handle(std::move(request), std::make_shared<RecordingResponder>(record));
    return record;
  }
  std::shared_ptr<RecordingResponder::Record> post(const std::string& path, std::string body) {
    http::Request request;
    request.method = "POST";
    request.path = path;
    request.target = path;
    request.body = std::move(body);
    return send(std::move(request));
  }
  std::shared_ptr<RecordingResponder::Record> chat(bool stream) {
    return post("/v1/chat/completions",
                std::string(R"({"model":"summary","messages":[{"role":"user","content":"hi"}],)") +
                    R"("stream":)" + (stream ? "true" : "false") + "}");
  }
  ScriptedModels::Call& call() { return *models.calls.back(); }

  ScriptedModels models;
  ScriptedServices services;
  FixedConfiguration configuration;
  ManualScheduler scheduler;
  RecordingSink log;
  common::CounterRegistry counters;
  common::SeededRandom random{7};
  Gateway gateway{{models, services, configuration, scheduler, log, counters, random,
                   [] { return std::int64_t{1700000000}; }},
                  GatewaySettings{}};
};

}  // namespace cypresswall::gateway
