#include "tests/execution/fake_engines.h"

#include <algorithm>
#include <utility>

namespace cypresswall::testing {

using Kind = StreamScript::Kind;

std::string expectedToken(const std::string& prompt, std::uint32_t index) {
  return prompt + "/" + std::to_string(index) + " ";
}

class FakeEngines::FakeStream final : public engines::Stream {
 public:
  FakeStream(FakeEngines& owner, engines::StreamRequest request, engines::StreamHandler& handler,
             StreamScript script)
      : owner_(owner),
        request_(std::move(request)),
        handler_(handler),
        script_(script),
        next_(request_.resume_from) {
    owner_.open_.insert(this);
    arm();
  }
  ~FakeStream() override {
    owner_.time_.cancel(timer_);
    owner_.open_.erase(this);
  }
  void pause() override {
    paused_ = true;
    owner_.time_.cancel(timer_);
  }
  void resume() override {
    paused_ = false;
    arm();
  }

 private:
  void arm() {
    timer_ = owner_.time_.schedule(owner_.token_time, [this] { step(); });
  }

  void step() {
    const bool at_position = next_ - request_.resume_from == script_.position;
    if (script_.kind != Kind::kNotSent && !std::exchange(rate_limit_sent_, true) &&
        owner_.rate_limit) {
      handler_.onRateLimit(request_.attempt, *owner_.rate_limit);
    }
    if (script_.kind == Kind::kNotSent || script_.kind == Kind::kRefused) {
      fail(script_.kind == Kind::kNotSent ? engines::StreamFailure::kNotSent
                                          : engines::StreamFailure::kRefused);
      return;
    }
    owner_.ran.insert(request_.stream_id);
    if (script_.kind == Kind::kStale) {
      if (request_.may_reuse_connection) {
        fail(engines::StreamFailure::kStale);
        return;
      }
      ++owner_.faults[script_.kind];
      script_.kind = Kind::kGood;
    }
    if (request_.phase == engines::StreamPhase::kPrefillOnly) {
      stepPrefill();
    } else if (next_ >= owner_.answer_tokens) {
      finish(owner_.answer_tokens);
    } else if (at_position && script_.kind != Kind::kGood) {
      stepFaulty();
    } else {
      sendHead();
      sendToken(next_++);
      arm();
    }
  }

  /// Starts a passed-through answer with a head that contains the attempt number.
  void sendHead() {
    if (request_.pass_through && next_ == request_.resume_from) {
      handler_.onHead(request_.attempt, {200, {{"attempt", std::to_string(request_.attempt)}}});
    }
  }

  void stepPrefill() {
    if (script_.kind == Kind::kGood) {
      finish(0);
    } else if (script_.kind == Kind::kSilentAt) {
      ++owner_.faults[script_.kind];
    } else {
      fail(engines::StreamFailure::kBroken);
    }
  }

  void stepFaulty() {
    const auto kind = script_.kind;
    script_.kind = Kind::kGood;
    switch (kind) {
      case Kind::kBrokenAt:
        script_.kind = kind;
        fail(engines::StreamFailure::kBroken);
        return;
      case Kind::kSilentAt:
        ++owner_.faults[kind];
        return;
      case Kind::kLosesAt:
        ++next_;
        break;
      case Kind::kDuplicatesAt:
        sendToken(next_);
        break;
      case Kind::kReordersAt:
        sendToken(next_ + 1);
        break;
      case Kind::kMisdirectsAt:
        misdirect(next_++);
        break;
      case Kind::kEndsAt:
        ++owner_.faults[kind];
        finish(owner_.answer_tokens);
        return;
      case Kind::kLateEvents:
        script_.kind = kind;
        fail(engines::StreamFailure::kBroken);
        sendToken(next_);
        handler_.onFinished(request_.attempt, {});
        return;
      default:
        break;
    }
    ++owner_.faults[kind];
    arm();
  }

  void misdirect(std::uint32_t index) {
    for (auto* other : owner_.open_) {
      if (other != this) {
        other->handler_.onToken(request_.attempt, index, text(index));
        return;
      }
    }
  }

  std::string text(std::uint32_t index) const {
    return expectedToken(request_.pass_through ? request_.pass_through->body : request_.prompt,
                         index);
  }

  void sendToken(std::uint32_t index) { handler_.onToken(request_.attempt, index, text(index)); }

  void finish(std::uint32_t output_tokens) {
    engines::StreamUsage usage;
    usage.output_tokens = output_tokens;
    handler_.onFinished(request_.attempt, usage);
  }

  void fail(engines::StreamFailure failure) {
    ++owner_.faults[script_.kind];
    handler_.onFailed(failure, "as scripted");
  }

  FakeEngines& owner_;
  engines::StreamRequest request_;
  engines::StreamHandler& handler_;
  StreamScript script_;
  std::uint32_t next_;
  bool rate_limit_sent_ = false;
  bool paused_ = false;
  common::TimerId timer_ = 0;
};

std::unique_ptr<engines::Stream> FakeEngines::startStream(const engines::EngineEndpoint& engine,
                                                          engines::StreamRequest request,
                                                          engines::StreamHandler& handler) {
  StreamScript script;
  if (started.size() < scripts.size()) {
    script = scripts[started.size()];
  }
  started.emplace_back(engine.name, request);
  return std::make_unique<FakeStream>(*this, std::move(request), handler, script);
}

routing::RouteChoice FakeRouter::choose(const routing::RouteRequest& request) {
  requests.push_back(request);
  const auto excluded = [this, &request](const std::string& name) {
    return leaving.count(name) != 0 || std::find(request.excluded.begin(), request.excluded.end(),
                                                 name) != request.excluded.end();
  };
  const auto engine = std::find_if_not(names.begin(), names.end(), excluded);
  if (refuses || engine == names.end()) {
    return routing::RouteRefusal{routing::RouteFailure::kOverloaded, retry_after, "full",
                                 std::nullopt};
  }
  routing::Route route;
  route.engine = {*engine, *engine + ":1"};
  route.expected_first_token = expected_first_token;
  if (!prefill_name.empty() && !excluded(prefill_name)) {
    route.prefill_engine = engines::EngineEndpoint{prefill_name, prefill_name + ":1"};
  }
  return route;
}

}  // namespace cypresswall::testing
