#include "tests/objects_platform/processes/runner_standin.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace cypresswall::objects_platform::testing {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr std::uint64_t kMemoryTokens = 442678;

json models() {
  return json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
}

void respondJson(http::Responder& responder, const json& body) {
  responder.respond(kOk, {{"Content-Type", "application/json"}}, body.dump());
}

std::uint64_t numberOr(const std::string& text, std::uint64_t fallback) {
  return text.empty() ? fallback : std::stoull(text);
}

/// \return the second number of "prompt,output"
std::uint64_t outputTokens(const http::Request& request) {
  const std::string counts = request.header("X-Token-Counts");
  const auto comma = counts.find(',');
  return comma == std::string::npos ? 1 : std::stoull(counts.substr(comma + 1));
}

}  // namespace

struct RunnerStandin::Stream {
  Responder responder;
  std::uint64_t next = 1;
  std::uint64_t last = 1;
  bool closed = false;
};

std::string runnerEntry(const RunnerSettings& settings, const std::string& state) {
  json entry = {{"service", settings.service},
                {"address", settings.address},
                {"zone", "hall"},
                {"version", settings.build},
                {"slots", 32},
                {"state", state},
                {"cold_left_ms", 0},
                {"call_seq", 0}};
  if (settings.runs_models) {
    entry["stage"] = "decode";
    entry["models"] = models();
  }
  return entry.dump();
}

RunnerStandin::RunnerStandin(RunnerSettings settings, common::Scheduler& scheduler)
    : settings_(std::move(settings)), scheduler_(scheduler) {}

void RunnerStandin::handle(const http::Request& request, const Responder& responder) {
  const std::string target = request.header("X-Target-Instance");
  if (!target.empty() && target != settings_.id) {
    responder->respond(kMisdirected, {{"X-Request-Id", request.header("X-Request-Id")}}, "");
  } else if (!answerOwnCall(request, responder)) {
    ++runs_;
    if (settings_.runs_models) {
      startStream(request, responder);
    } else {
      answerPlain(request, responder);
    }
  }
}

bool RunnerStandin::answerOwnCall(const http::Request& request, const Responder& responder) const {
  if (request.path == "/healthz") {
    responder->respond(kOk, {{"X-Instance-Id", settings_.id}}, "");
  } else if (request.path == "/report") {
    responder->respond(kOk, {{"Content-Type", "application/json"}}, report());
  } else if (request.path == "/kv-list") {
    respondJson(*responder, {{"epoch", 1}, {"next_token", 1}, {"held", json::array()}});
  } else if (request.path == "/kv-events") {
    scheduler_.schedule(
        std::chrono::milliseconds(numberOr(request.header("Wait-Ms"), 0)), [responder] {
          respondJson(
              *responder,
              {{"epoch", 1}, {"next_token", 1}, {"lost", false}, {"events", json::array()}});
        });
  } else if (request.path == "/order" || request.path.rfind("/kv-handle/", 0) == 0) {
    respondJson(*responder, json::object());
  } else {
    return false;
  }
  return true;
}

std::string RunnerStandin::report() const {
  return json{
      {"stage", "decode"}, {"models", models()}, {"busy", false},   {"call_seq", 0},
      {"queued", 0},       {"running", 0},       {"kv_used", 0},    {"kv_total", kMemoryTokens},
      {"kv_handles", 0},   {"state", "ready"},   {"next_token", 0}, {"run_count", json::array()}}
      .dump();
}

void RunnerStandin::answerPlain(const http::Request& request, const Responder& responder) const {
  const auto asked = [&request](const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
  };
  std::string body = settings_.id + " did " + request.target;
  if (!asked("echo").empty()) {
    body = request.body;
  } else if (!asked("bytes").empty()) {
    body.assign(numberOr(asked("bytes"), 0), 'x');
  }
  const auto answer =
      [responder, body = std::move(body),
       fields = std::vector<http::Header>{{"X-Request-Id", request.header("X-Request-Id")},
                                          {"X-Response-Seal", "seal." + settings_.id}}] {
        responder->respond(kOk, fields, body);
      };
  const std::string hold = asked("hold_ms");
  if (hold.empty()) {
    answer();
  } else {
    scheduler_.schedule(std::chrono::milliseconds(numberOr(hold, 0)), answer);
  }
}

void RunnerStandin::startStream(const http::Request& request, const Responder& responder) const {
  const auto stream = std::make_shared<Stream>();
  stream->responder = responder;
  stream->next = numberOr(request.header("Last-Event-Id"), 0) + 1;
  stream->last = outputTokens(request);
  responder->onClosed([stream] {
    stream->closed = true;
    stream->responder.reset();
  });
  responder->startStream(kOk, {{"X-Request-Id", request.header("X-Request-Id")},
                               {"X-Response-Seal", "seal." + settings_.id},
                               {"X-Weight-Versions", "1"},
                               {"Content-Type", "text/event-stream"}});
  sendEvent(stream);
}

void RunnerStandin::sendEvent(const std::shared_ptr<Stream>& stream) const {
  if (stream->closed) {
    return;
  }
  if (stream->next > stream->last) {
    // The responder's callback holds the stream.
    std::exchange(stream->responder, nullptr)->finishStream();
    return;
  }
  const std::string number = std::to_string(stream->next++);
  stream->responder->write("id: " + number + "\ndata: " + settings_.build + " " + settings_.id +
                           " " + number + "\n\n");
  scheduler_.schedule(settings_.event_gap, [this, stream] { sendEvent(stream); });
}

}  // namespace cypresswall::objects_platform::testing
