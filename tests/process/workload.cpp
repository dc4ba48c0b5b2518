#include "tests/process/workload.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "cypresswall/common/prompt.h"
#include "cypresswall/emulation/answer.h"

namespace cypresswall::testing {
namespace {

using nlohmann::json;

constexpr std::uint32_t kAnswerTokens = 24;
constexpr int kBookingTries = 4;
/// One in this many requests of a thread is a booking.
constexpr std::uint64_t kBookingShare = 3;
/// One in this many is a lookup, unless it is a booking.
constexpr std::uint64_t kLookupShare = 4;

std::string expectedText(const std::string& prompt, const std::string& build) {
  const auto shape = common::shapeOfPrompt(prompt, std::string(kModel) + "/" + kModelVersion + "/");
  return emulation::expectedAnswer(
      emulation::answerSeed(kModel, kModelVersion, "", shape.content_hash, build), kAnswerTokens);
}

/// \return the whole answer that begins with `text` and is all of one software build; nothing if
///   there is none
std::optional<std::string> answerBeginningWith(const std::string& text, const std::string& prompt,
                                               const std::vector<std::string>& builds) {
  for (const std::string& build : builds) {
    std::string expected = expectedText(prompt, build);
    if (expected.compare(0, text.size(), text) == 0) {
      return expected;
    }
  }
  return std::nullopt;
}

/// A streamed answer as received by its caller.
struct StreamedText {
  std::string text;
  bool ended = false;
  bool error = false;
};

StreamedText readStream(const std::string& body) {
  StreamedText streamed;
  std::istringstream lines(body);
  std::string line;
  const std::string prefix = "data: ";
  while (std::getline(lines, line)) {
    if (line.rfind(prefix, 0) != 0) {
      continue;
    }
    const std::string data = line.substr(prefix.size());
    if (data == "[DONE]") {
      streamed.ended = true;
      continue;
    }
    const json event = json::parse(data, nullptr, false);
    if (event.is_discarded()) {
      continue;  // the connection ended in the middle of this event
    }
    if (event.contains("error")) {
      streamed.error = true;
    } else {
      streamed.text += event["choices"][0].value("text", "");
    }
  }
  return streamed;
}

}  // namespace

std::optional<std::string> requestOfWholeBody(const std::string& body, const ServiceCall& call) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("request_id") || !parsed["request_id"].is_string()) {
    return std::nullopt;
  }
  const json expected = {{"service", kHttpService}, {"request_id", parsed["request_id"]},
                         {"key", call.key},         {"method", call.method},
                         {"path", call.path},       {"echo", call.body}};
  return body == expected.dump() ? parsed["request_id"].get<std::string>()
                                 : std::optional<std::string>();
}

bool invitesRepeat(int status) {
  constexpr std::array<int, 4> kStatuses = {408, 421, 429, 503};
  return std::find(kStatuses.begin(), kStatuses.end(), status) != kStatuses.end();
}

HttpAnswer callService(HttpClient& client, const std::string& gateway, const ServiceCall& call) {
  std::map<std::string, std::string> headers;
  if (!call.key.empty()) {
    headers["Idempotency-Key"] = call.key;
  }
  return client.call(call.method, gateway, std::string("/services/") + kHttpService + call.path,
                     call.body, headers);
}

Workload::Workload(const TestFleet& fleet, std::size_t threads)
    : fleet_(fleet), enabled_(fleet.nodes()) {
  for (auto& enabled : enabled_) {
    enabled = true;
  }
  for (std::size_t thread = 0; thread < threads; ++thread) {
    threads_.emplace_back([this, thread] { run(thread); });
  }
}

Workload::~Workload() {
  stop_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void Workload::run(std::size_t thread) {
  HttpClient client;
  for (std::uint64_t number = 0; !stop_; ++number) {
    const std::string name = std::to_string(thread) + "-" + std::to_string(number);
    if (number % kBookingShare == 0) {
      book(thread, "key-" + name);
    } else if (number % kLookupShare == 1) {
      lookUp(client, pickGateway(thread + number), name);
    } else {
      stream(client, pickGateway(thread + number), "container " + name + " passed the gate");
    }
  }
}

const std::string& Workload::pickGateway(std::uint64_t number) const {
  for (std::size_t step = 0; step < enabled_.size(); ++step) {
    const std::size_t node = (number + step) % enabled_.size();
    if (enabled_[node]) {
      return fleet_.gateway(node);
    }
  }
  return fleet_.gateway(0);
}

void Workload::stream(HttpClient& client, const std::string& gateway, const std::string& prompt) {
  const json request = {{"model", kModelService},
                        {"prompt", prompt},
                        {"max_tokens", kAnswerTokens},
                        {"stream", true}};
  checkStream(client.call("POST", gateway, "/v1/completions", request.dump()), prompt);
}

void Workload::checkStream(const HttpAnswer& answer, const std::string& prompt) {
  const std::lock_guard lock(mutex_);
  if (answer.status == 0 && !answer.not_connected) {
    report_.broken_streams += 1;
    recordIncident(prompt, answer);
    return;
  }
  if (answer.status != 200) {
    report_.refused_streams += 1;
    checkRefusal(answer);
    return;
  }
  const StreamedText streamed = readStream(answer.body);
  const auto expected = answerBeginningWith(streamed.text, prompt, fleet_.engineBuilds());
  if (!expected) {
    addViolation("altered answer to '" + prompt + "': " + streamed.text);
  } else if (streamed.error) {
    report_.failed_streams += 1;
  } else if (!answer.complete || !streamed.ended) {
    report_.broken_streams += 1;
    recordIncident(prompt, answer);
    if (answer.complete) {
      addViolation("an answer ended without a final event or an error: " + prompt);
    }
  } else if (streamed.text != *expected) {
    addViolation("short answer to '" + prompt + "'");
  } else {
    report_.whole_streams += 1;
  }
}

void Workload::book(std::size_t thread, const std::string& key) {
  const ServiceCall call{"POST", "/bookings", key, R"({"slot":")" + key + "\"}"};
  for (int attempt = 0; attempt < kBookingTries && !stop_; ++attempt) {
    const auto& gateway = pickGateway(thread + static_cast<std::uint64_t>(attempt));
    HttpClient client;  // its request must not be sent twice
    const auto answer = callService(client, gateway, call);
    recordBooking(answer, call);
    if (answer.status == 200) {
      return;
    }
  }
}

void Workload::recordBooking(const HttpAnswer& answer, const ServiceCall& call) {
  const std::lock_guard lock(mutex_);
  KeyHistory& history = keys_[call.key];
  if (answer.not_connected) {
    return;
  }
  const std::string outcome = answer.header("x-cypresswall-outcome");
  if (answer.complete && answer.status == 200) {
    history.answered_by.push_back(checkServiceBody(answer, call));
  }
  if (answer.complete && outcome == "done") {
    history.reported_done = true;
    report_.bookings_done += 1;
  } else if (answer.complete && outcome == "not-run") {
    report_.bookings_not_run += 1;
    checkRefusal(answer);
    return;
  } else {
    report_.bookings_unknown += 1;
    recordIncident(call.key, answer);
    checkUnknownOutcome(answer);
  }
  history.only_reported_not_run = false;
}

void Workload::lookUp(HttpClient& client, const std::string& gateway, const std::string& name) {
  const ServiceCall call{"GET", "/slots/" + name, "", ""};
  const HttpAnswer answer = callService(client, gateway, call);
  const std::lock_guard lock(mutex_);
  if (!answer.complete || answer.status != 200) {
    report_.lookups_failed += 1;
    if (answer.complete) {
      checkRefusal(answer);
    }
    return;
  }
  const std::string request = checkServiceBody(answer, call);
  if (request != answer.header("x-request-id")) {
    addViolation("the body of another request for " + call.path + ": " + answer.body);
  }
  report_.lookups_whole += 1;
}

std::string Workload::checkServiceBody(const HttpAnswer& answer, const ServiceCall& call) {
  const auto request = requestOfWholeBody(answer.body, call);
  if (!request) {
    addViolation("a success for " + call.method + " " + call.path + " " + call.key + " with " +
                 std::to_string(answer.body.size()) +
                 " bytes isn't its whole body: " + answer.body);
  }
  return request.value_or("");
}

void Workload::checkUnknownOutcome(const HttpAnswer& answer) {
  if (answer.complete && invitesRepeat(answer.status)) {
    addViolation("an unknown outcome with status " + std::to_string(answer.status));
  }
}

void Workload::checkRefusal(const HttpAnswer& answer) {
  const bool refused_for_load = answer.status == 503 || answer.status == 429;
  if (refused_for_load && answer.header("retry-after").empty()) {
    addViolation("a refusal without Retry-After: " + answer.body);
  }
}

WorkloadReport Workload::report() const {
  const std::lock_guard lock(mutex_);
  return report_;
}

void Workload::waitForMore(std::uint64_t streams, std::uint64_t bookings) const {
  const WorkloadReport before = report();
  waitUntil("the load makes progress", [&] {
    const WorkloadReport now = report();
    return now.whole_streams >= before.whole_streams + streams &&
           now.bookings_done >= before.bookings_done + bookings;
  });
}

WorkloadReport Workload::finish() {
  stop_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  checkLedger();
  return report();
}

void Workload::checkLedger() {
  std::map<std::string, std::uint64_t> runs;
  std::set<std::pair<std::string, std::string>> requests_run;
  const json ledger = fleet_.serviceLedger();
  for (const json& execution : ledger["executions"]) {
    runs[execution["key"].get<std::string>()] += execution["count"].get<std::uint64_t>();
    requests_run.emplace(execution["key"].get<std::string>(),
                         execution["request_id"].get<std::string>());
  }
  const std::lock_guard lock(mutex_);
  for (const auto& [key, history] : keys_) {
    const std::uint64_t count = runs[key];
    if (count > 1) {
      addViolation(key + " ran " + std::to_string(count) + " times");
    }
    if (history.reported_done && count != 1) {
      addViolation(key + " was reported done and ran " + std::to_string(count) + " times");
    }
    for (const std::string& request : history.answered_by) {
      if (!request.empty() && requests_run.count({key, request}) == 0) {
        addViolation("the body of a request that did not run for a key: " + request);
      }
    }
    if (history.only_reported_not_run && count != 0) {
      addViolation(key + " was reported as not run, but ran");
    }
  }
}

void Workload::recordIncident(const std::string& request, const HttpAnswer& answer) {
  report_.incidents.push_back(request + ": status " + std::to_string(answer.status) + " with " +
                              std::to_string(answer.body.size()) + " bytes, " + answer.error);
}

void Workload::addViolation(const std::string& text) { report_.violations.push_back(text); }

}  // namespace cypresswall::testing
