#include "tests/release_soak/runner_standin.h"

#include <cstdlib>
#include <utility>

#include "platform/headers.h"
#include "platform/wire.h"

namespace cypresswall::testing {
namespace {

using nlohmann::json;
namespace header = objects_platform;

constexpr std::uint32_t kSlots = 64;
constexpr std::uint64_t kMemoryTokens = 400'000;
constexpr const char* kJson = "application/json";

std::uint64_t numberIn(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);  // an empty text is zero
}

}  // namespace

RunnerStandin::RunnerStandin(asio::io_context& context, ObjectsStoreStandin& store,
                             RunnerSettings settings)
    : context_(context), store_(store), settings_(std::move(settings)) {
  http::ServerSettings server;
  server.address = settings_.address;
  server_ = http::makeServer(
      context, std::move(server),
      [this](const http::Request& request, const auto& responder) { handle(request, responder); });
  server_->start();
  store_.put(objects_platform::wire::kRunnersKind, settings_.id,
             {{"service", settings_.service},
              {"address", settings_.address},
              {"zone", settings_.zone},
              {"version", settings_.build},
              {"slots", kSlots},
              {"state", "ready"},
              {"cold_left_ms", 0},
              {"call_seq", 0},
              {"stage", "decode"},
              {"models", json::array({modelEntry()})}});
}

json RunnerStandin::modelEntry() const {
  return {{"name", settings_.model}, {"version", 1}, {"adapters", json::array()}};
}

RunnerStandin::~RunnerStandin() { breakAnswers(); }

void RunnerStandin::withdraw() { store_.erase(objects_platform::wire::kRunnersKind, settings_.id); }

void RunnerStandin::breakAnswers() {
  for (auto& [number, run] : runs_) {
    run.responder->abort();
  }
  runs_.clear();
}

void RunnerStandin::handle(const http::Request& request, const ResponderPointer& responder) {
  const std::string target = request.header(header::kTargetInstanceHeader);
  if (!target.empty() && target != settings_.id) {
    responder->respond(header::kStatusMisdirected,
                       {{header::kRequestIdHeader, request.header(header::kRequestIdHeader)},
                        {header::kNotExecutedHeader, "1"}},
                       "");
  } else if (request.path == "/healthz") {
    responder->respond(200, {{"X-Instance-Id", settings_.id}}, "");
  } else if (request.path == "/report") {
    responder->respond(200, {{"Content-Type", kJson}}, report());
  } else if (request.path == "/kv-events") {
    const json none = {{"epoch", 1}, {"next_token", 1}, {"lost", false}, {"events", json::array()}};
    responder->respond(200, {{"Content-Type", kJson}}, none.dump());
  } else if (request.path == "/kv-list") {
    const json none = {{"epoch", 1}, {"next_token", 1}, {"held", json::array()}};
    responder->respond(200, {{"Content-Type", kJson}}, none.dump());
  } else if (request.header(header::kTokenCountsHeader).empty()) {
    responder->respond(404, {}, "");
  } else {
    startAnswer(request, responder);
  }
}

std::string RunnerStandin::report() const {
  return json{{"stage", "decode"}, {"models", json::array({modelEntry()})},
              {"busy", false},     {"call_seq", 0},
              {"queued", 0},       {"running", runs_.size()},
              {"kv_used", 0},      {"kv_total", kMemoryTokens},
              {"kv_handles", 0},   {"state", "ready"},
              {"next_token", 0},   {"run_count", json::array()}}
      .dump();
}

void RunnerStandin::startAnswer(const http::Request& request, const ResponderPointer& responder) {
  const std::string counts = request.header(header::kTokenCountsHeader);
  const std::uint64_t number = ++started_;
  Run& run = runs_.try_emplace(number, context_, responder).first->second;
  run.next_event = numberIn(request.header(header::kLastEventHeader)) + 1;
  run.last_event = numberIn(counts.substr(counts.find(',') + 1));
  responder->startStream(200, {{header::kRequestIdHeader, request.header(header::kRequestIdHeader)},
                               {header::kSealHeader, "seal." + settings_.id},
                               {"Content-Type", "text/event-stream"},
                               {"X-Weight-Versions", "1"}});
  responder->onClosed([this, number] { runs_.erase(number); });
  sendLater(number);
}

void RunnerStandin::sendLater(std::uint64_t number) {
  Run& run = runs_.at(number);
  run.timer.expires_after(settings_.gap);
  run.timer.async_wait([this, number](const asio::error_code& error) {
    if (!error && runs_.contains(number)) {
      sendEvent(number);
    }
  });
}

void RunnerStandin::sendEvent(std::uint64_t number) {
  Run& run = runs_.at(number);
  if (run.next_event > run.last_event) {
    run.responder->finishStream();
    runs_.erase(number);
    return;
  }
  const std::string event = std::to_string(run.next_event++);
  run.responder->write("id: " + event + "\ndata: " + settings_.build + " " + settings_.id + "\n\n");
  sendLater(number);
}

}  // namespace cypresswall::testing
