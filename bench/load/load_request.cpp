#include "bench/load/load_request.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "cypresswall/common/prompt.h"

namespace cypresswall::bench {

using nlohmann::json;
using std::chrono::steady_clock;

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

common::Duration between(steady_clock::time_point from, steady_clock::time_point to) {
  return std::chrono::duration_cast<common::Duration>(to - from);
}

}  // namespace

LoadRequest::LoadRequest(const LoadTarget& target, const RequestKind& kind, std::uint64_t number,
                         LoadResult& result, std::function<void()> on_end)
    : target_(target),
      kind_(kind),
      number_(number),
      result_(result),
      on_end_(std::move(on_end)),
      scanner_(target.dialect, *this),
      prompt_(makePrompt(number, kind.prompt_tokens)) {
  const std::string salt = target.model + "/" + target.version + "/" + target.adapter;
  seed_ = emulation::answerSeed(target.model, target.version, target.adapter,
                                common::shapeOfPrompt(prompt_, salt).content_hash);
}

void LoadRequest::start(runtime::CurlMulti& curl) {
  runtime::CurlRequest request = makeRequest();
  prompt_.clear();
  prompt_.shrink_to_fit();
  started_at_ = steady_clock::now();
  transfer_ = curl.start(std::move(request), *this);
}

runtime::CurlRequest LoadRequest::makeRequest() const {
  runtime::CurlRequest request;
  request.method = "POST";
  request.address = target_.addresses[number_ % target_.addresses.size()];
  request.target = target_.dialect == Dialect::kEngine ? "/v1/streams" : "/v1/completions";
  request.headers = {{"Content-Type", "application/json"}};
  if (!target_.api_key.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + target_.api_key});
  }
  request.body = makeBody();
  request.maximum_body_bytes = 0;
  return request;
}

std::string LoadRequest::makeBody() const {
  if (target_.dialect == Dialect::kEngine) {
    return json{{"stream_id", "load-" + std::to_string(number_)},
                {"attempt", 1},
                {"model", target_.model},
                {"version", target_.version},
                {"adapter", target_.adapter},
                {"prompt", prompt_},
                {"maximum_tokens", kind_.output_tokens}}
        .dump();
  }
  return json{{"model", kind_.service},
              {"prompt", prompt_},
              {"max_tokens", kind_.output_tokens},
              {"stream", true}}
      .dump();
}

void LoadRequest::onToken(std::string_view text) {
  const auto now = steady_clock::now();
  if (tokens_ == 0) {
    result_.kinds[kind_.name].first_token.add(between(started_at_, now));
  } else {
    result_.between_tokens.add(between(last_token_at_, now));
  }
  last_token_at_ = now;
  matches_ = matches_ && text == emulation::expectedToken(seed_, tokens_);
  ++tokens_;
}

void LoadRequest::onDone(runtime::CurlResponse response) {
  record(classify(response));
  // Destroys this object.
  const auto on_end = std::move(on_end_);
  on_end();
}

void LoadRequest::abandon() {
  transfer_.reset();
  record(RequestEnd::kAbandoned);
}

void LoadRequest::record(RequestEnd end) {
  KindResult& kind = result_.kinds[kind_.name];
  ++kind.ends[static_cast<std::size_t>(end)];
  kind.tokens += tokens_;
}

RequestEnd LoadRequest::classify(const runtime::CurlResponse& response) {
  if (response.outcome == runtime::CurlOutcome::kNotSent) {
    recordError("not sent: " + response.error);
    return RequestEnd::kNotSent;
  }
  return response.status == kOk ? classifyStream(response) : classifyFailure(response);
}

RequestEnd LoadRequest::classifyStream(const runtime::CurlResponse& response) {
  if (!error_event_.empty()) {
    recordError(error_event_);
    return error_event_.find("not-run") != std::string::npos ? RequestEnd::kNotRun
                                                             : RequestEnd::kUnknown;
  }
  if (response.outcome != runtime::CurlOutcome::kAnswered || !complete_) {
    recordError("broken: " + response.error);
    return RequestEnd::kBroken;
  }
  if (!matches_ || tokens_ != kind_.output_tokens) {
    recordError("wrong answer");
    return RequestEnd::kWrong;
  }
  return RequestEnd::kDone;
}

RequestEnd LoadRequest::classifyFailure(const runtime::CurlResponse& response) {
  const bool refused = response.status == kTooManyRequests || response.status == kUnavailable ||
                       response.status == kConflict;
  recordError("status " + std::to_string(response.status) + ": " + response.body.substr(0, 120));
  if (refused) {
    result_.refusal.add(between(started_at_, steady_clock::now()));
    result_.refusals_with_retry_after += response.header("Retry-After").empty() ? 0 : 1;
    return RequestEnd::kRefused;
  }
  return response.header("X-Cypresswall-Outcome") == "not-run" ? RequestEnd::kNotRun
                                                               : RequestEnd::kUnknown;
}

void LoadRequest::recordError(const std::string& message) {
  constexpr std::size_t kMaximumMessages = 20;
  if (result_.errors.size() < kMaximumMessages || result_.errors.count(message) != 0) {
    ++result_.errors[message];
  }
}

}  // namespace cypresswall::bench
