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
  FakeStream(FakeEngines& owner, std::string engine, engines::StreamRequest request,
             engines::StreamHandler& handler, StreamScript script)
      : owner_(owner),
        engine_(std::move(engine)),
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
  const std::string& streamId() const { return request_.stream_id; }
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
    const auto own = owner_.token_times.find(engine_);
    const auto token_time = own == owner_.token_times.end() ? owner_.token_time : own->second;
    timer_ = owner_.time_.schedule(token_time, [this] { step(); });
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
  const std::string engine_;
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
  overlapping += std::any_of(open_.begin(), open_.end(), [&request](const FakeStream* stream) {
    return stream->streamId() == request.stream_id;
  });
  return std::make_unique<FakeStream>(*this, engine.name, std::move(request), handler, script);
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
  const auto gap = expected_gaps.find(*engine);
  route.expected_between_tokens = gap == expected_gaps.end() ? common::Duration{0} : gap->second;
  if (!prefill_name.empty() && !excluded(prefill_name)) {
    route.prefill_engine = engines::EngineEndpoint{prefill_name, prefill_name + ":1"};
  }
  return route;
}

void FakeRouter::place(const routing::RouteRequest& request,
                       const routing::PlacementCallback& done) {
  if (!answers_late) {
    Router::place(request, done);
    return;
  }
  pending_[request.stream_id] = [this, request, done] { Router::place(request, done); };
}

void FakeRouter::answerPlacements() {
  for (const auto& [stream_id, answer] : std::exchange(pending_, {})) {
    answer();
  }
}

}  // namespace cypresswall::testing
