#include "tests/execution/fake_services.h"

#include <utility>

namespace cypresswall::testing {
namespace {

constexpr common::Duration kSlowAnswerMargin = std::chrono::milliseconds(10);

std::string headerOf(const services::ServiceRequest& request, const std::string& name) {
  for (const auto& header : request.headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return {};
}

}  // namespace

class FakeServiceClient::FakeCall final : public services::ServiceCall {
 public:
  FakeCall(FakeServiceClient& owner, const services::ServiceRequest& request, CallScript script,
           std::function<void(services::ServiceResponse)> callback)
      : owner_(owner),
        request_id_(request.request_id),
        key_(headerOf(request, "Idempotency-Key")),
        may_reuse_connection_(request.may_reuse_connection),
        script_(script),
        callback_(std::move(callback)) {
    const auto delay =
        script == CallScript::kSlow ? request.time_limit - kSlowAnswerMargin : owner_.answer_time;
    // A delivered request runs on the back end even if the caller has disconnected by then.
    owner_.time_.schedule(owner_.answer_time / 2,
                          [&owner, script, request_id = request_id_, key = key_] {
                            run(owner, script, request_id, key);
                          });
    timer_ = owner_.time_.schedule(delay, [this] { answer(); });
  }
  ~FakeCall() override { owner_.time_.cancel(timer_); }

 private:
  static void run(FakeServiceClient& owner, CallScript script, const std::string& request_id,
                  const std::string& key) {
    ++owner.faults[script];
    if (script != CallScript::kNotSent && script != CallScript::kRefused &&
        script != CallScript::kMisdirected && script != CallScript::kBrokenBeforeRun) {
      ++owner.runs_by_request[request_id];
      ++owner.runs_by_key[key];
    }
  }

  void answer() {
    const auto callback = callback_;
    const auto response = responseOf(script_);
    const bool duplicate = script_ == CallScript::kDuplicateAnswer;
    callback(response);
    if (duplicate) {
      callback(response);
    }
  }

  services::ServiceResponse responseOf(CallScript script) const {
    services::ServiceResponse response;
    response.outcome = services::ServiceOutcome::kAnswered;
    response.status = 200;
    response.body = "answer to " + request_id_;
    response.rate_limit = owner_.rate_limit;
    if (script == CallScript::kServerError) {
      response.status = 500;
    } else if (script == CallScript::kUnavailable) {
      response.status = 503;
    } else if (script == CallScript::kNotSent) {
      response.outcome = services::ServiceOutcome::kNotSent;
    } else if (script == CallScript::kRefused) {
      response.outcome = services::ServiceOutcome::kRefused;
      response.headers = {{"retry-after", "4"}};
    } else if (script == CallScript::kMisdirected) {
      response.outcome = services::ServiceOutcome::kMisdirected;
    } else if (script == CallScript::kBrokenBeforeRun || script == CallScript::kBrokenAfterRun) {
      response.outcome = services::ServiceOutcome::kBroken;
    } else if (script == CallScript::kStale && may_reuse_connection_) {
      response.outcome = services::ServiceOutcome::kStale;
    }
    return response;
  }

  FakeServiceClient& owner_;
  const std::string request_id_;
  const std::string key_;
  const bool may_reuse_connection_;
  const CallScript script_;
  const std::function<void(services::ServiceResponse)> callback_;
  common::TimerId timer_ = 0;
};

std::unique_ptr<services::ServiceCall> FakeServiceClient::call(
    const common::ServerIdentity& server, services::ServiceRequest request,
    std::function<void(services::ServiceResponse)> callback) {
  const auto script = calls.size() < scripts.size() ? scripts[calls.size()] : CallScript::kGood;
  calls.emplace_back(server, request);
  return std::make_unique<FakeCall>(*this, request, script, std::move(callback));
}

void FakeClaims::claim(const std::string& key, std::uint64_t digest,
                       std::function<void(idempotency::ClaimAnswer)> callback) {
  auto answer = decide(key, digest);
  ++verdicts[answer.verdict];
  time_.schedule(answer_time, [callback = std::move(callback), answer = std::move(answer)] {
    callback(answer);
  });
}

idempotency::ClaimAnswer FakeClaims::decide(const std::string& key, std::uint64_t digest) {
  idempotency::ClaimAnswer answer;
  if (unavailable) {
    answer.verdict = idempotency::ClaimVerdict::kUnavailable;
  } else if (uncertain_.count(key) != 0) {
    answer.verdict = idempotency::ClaimVerdict::kUncertain;
  } else if (const auto held = claims_.find(key); held == claims_.end()) {
    answer.verdict = idempotency::ClaimVerdict::kGranted;
    claims_[key] = Claim{digest, false, {}};
  } else if (held->second.digest != digest) {
    answer.verdict = idempotency::ClaimVerdict::kDifferentBody;
  } else if (held->second.completed) {
    answer.verdict = idempotency::ClaimVerdict::kCompleted;
    answer.recorded_answer = held->second.answer;
  } else {
    answer.verdict = idempotency::ClaimVerdict::kInProgress;
  }
  return answer;
}

void FakeClaims::complete(const std::string& key, std::string answer) {
  const auto held = claims_.find(key);
  if (held != claims_.end()) {
    held->second.completed = true;
    held->second.answer = std::move(answer);
  }
}

void FakeClaims::release(const std::string& key) { claims_.erase(key); }

void FakeClaims::forget() {
  for (const auto& [key, claim] : claims_) {
    uncertain_.insert(key);
  }
  claims_.clear();
}

}  // namespace cypresswall::testing
