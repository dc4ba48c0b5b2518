#include "cypresswall/forwarding/forwarding_server.h"

#include <algorithm>
#include <set>

#include "cypresswall/forwarding/encoding.h"

namespace cypresswall::forwarding {
namespace {

/// An answer must fit into one message between nodes.
constexpr std::size_t kMaximumAnswerBytes = api::kMaximumEnvelopeBytes / 2;

execution::ServiceCallAnswer tooLongAnswer() {
  execution::ServiceCallAnswer answer;
  answer.outcome = execution::Outcome::kUnknown;
  answer.error = {execution::ErrorKind::kBackendFailed, execution::Outcome::kUnknown,
                  "the answer is too long to be passed on", common::Duration{0}};
  return answer;
}

}  // namespace

/// Passes the answer to one model request to the node that forwarded it.
class ForwardingServer::ModelRun final : public execution::ModelCallObserver {
 public:
  ModelRun(ForwardingServer& server, Key key)
      : server_(server), key_(std::move(key)), checked_at_(server.context_.clock.now()) {}

  void start(execution::ModelCall call) {
    execution_ = server_.model_executor_.start(std::move(call), *this);
  }
  void setPaused(bool paused) {
    if (std::exchange(paused_, paused) != paused) {
      paused ? execution_->pause() : execution_->resume();
    }
  }
  /// To be called when the sender has checked the request.
  void checked(bool paused) {
    checked_at_ = server_.context_.clock.now();
    setPaused(paused);
  }
  common::MonotonicTime checkedAt() const { return checked_at_; }

  void onHead(const engines::AnswerHead& head) override {
    send(ForwardedHead{key_.second, next_sequence_++, head.status, encodeHeaders(head.headers)});
  }
  void onToken(std::uint32_t index, const std::string& text) override {
    send(ForwardedToken{key_.second, next_sequence_++, index, text});
  }
  void onFinished(const engines::StreamUsage& usage) override {
    ForwardedModelEnd end;
    end.number = key_.second;
    end.sequence = next_sequence_;
    end.complete = true;
    end.prompt_tokens = usage.prompt_tokens;
    end.cached_prompt_tokens = usage.cached_prompt_tokens;
    end.output_tokens = usage.output_tokens;
    end.finish_reason = usage.finish_reason;
    send(end);
    server_.retireModel(key_);
  }
  void onError(const execution::ExecutionError& error) override {
    ForwardedModelEnd end;
    end.number = key_.second;
    end.sequence = next_sequence_;
    end.error = encodeError(error);
    send(end);
    server_.retireModel(key_);
  }

 private:
  template <typename Message>
  void send(const Message& message) const {
    server_.context_.sendTo(key_.first, message);
  }

  ForwardingServer& server_;
  const Key key_;
  std::uint32_t next_sequence_ = 0;
  common::MonotonicTime checked_at_;
  bool paused_ = false;
  std::unique_ptr<execution::ModelExecution> execution_;
};

ForwardingServer::ForwardingServer(const ForwardingSettings& settings,
                                   const api::ProcessContext& context,
                                   membership::MembershipView& membership,
                                   const api::ServerPath& path, execution::ModelExecutor& models,
                                   execution::ServiceExecutor& services,
                                   std::function<bool()> accepting)
    : settings_(settings),
      context_(context),
      membership_(membership),
      path_(path),
      model_executor_(models),
      service_executor_(services),
      accepting_(std::move(accepting)),
      served_(context.counters.counter("cypresswall_forwarding_served_total",
                                       "Requests of other nodes that this node executed")),
      rejected_(context.counters.counter("cypresswall_forwarding_rejected_total",
                                         "Requests of other nodes that this node rejected")) {
  context_.dispatcher.handle<ForwardedModelCall>(
      [this](const auto& sender, const auto& message) { onModelCall(sender, message); });
  context_.dispatcher.handle<ForwardedServiceCall>(
      [this](const auto& sender, const auto& message) { onServiceCall(sender, message); });
  context_.dispatcher.handle<ForwardCancelled>(
      [this](const auto& sender, const auto& message) { onCancelled(sender, message); });
  context_.dispatcher.handle<ForwardFlow>(
      [this](const auto& sender, const auto& message) { onFlow(sender, message); });
  context_.dispatcher.handle<ForwardCheck>(
      [this](const auto& sender, const auto& message) { onCheck(sender, message); });
  membership.onChange([this] { onMembershipChanged(); });
}

ForwardingServer::~ForwardingServer() = default;

bool ForwardingServer::admit(const common::NodeId& sender, std::uint64_t number) {
  if (path_.lost() || !accepting_() || running() >= settings_.maximum_served) {
    rejected_.add();
    context_.sendTo(sender, ForwardRejected{number});
    return false;
  }
  served_.add();
  context_.sendTo(sender, ForwardAcknowledged{number});
  scheduleSweep();
  return true;
}

void ForwardingServer::onModelCall(const common::NodeId& sender,
                                   const ForwardedModelCall& message) {
  const Key key{sender, message.number};
  if (models_.contains(key) || !admit(sender, message.number)) {
    return;
  }
  auto& run = models_[key];
  run = std::make_unique<ModelRun>(*this, key);
  run->start(decodeModelCall(message));
}

void ForwardingServer::onServiceCall(const common::NodeId& sender,
                                     const ForwardedServiceCall& message) {
  const Key key{sender, message.number};
  if (services_.contains(key) || !admit(sender, message.number)) {
    return;
  }
  ServiceRun& run = services_[key];
  run.checked_at = context_.clock.now();
  run.execution = service_executor_.start(
      decodeServiceCall(message), [this, key](const execution::ServiceCallAnswer& answer) {
        const bool fits = answer.body.size() <= kMaximumAnswerBytes;
        context_.sendTo(key.first,
                        encodeServiceAnswer(key.second, fits ? answer : tooLongAnswer()));
        retireService(key);
      });
}

void ForwardingServer::onCancelled(const common::NodeId& sender, const ForwardCancelled& message) {
  const Key key{sender, message.number};
  models_.erase(key);
  services_.erase(key);
}

void ForwardingServer::onFlow(const common::NodeId& sender, const ForwardFlow& message) {
  const auto run = models_.find({sender, message.number});
  if (run != models_.end()) {
    run->second->setPaused(message.paused);
  }
}

void ForwardingServer::onCheck(const common::NodeId& sender, const ForwardCheck& message) {
  const auto model = models_.find({sender, message.number});
  const auto service = services_.find({sender, message.number});
  if (model != models_.end()) {
    model->second->checked(message.paused);
  } else if (service != services_.end()) {
    service->second.checked_at = context_.clock.now();
  } else {
    context_.sendTo(sender, ForwardEnded{message.number});
    return;
  }
  context_.sendTo(sender, ForwardAcknowledged{message.number});
}

void ForwardingServer::scheduleSweep() {
  if (sweep_timer_ == 0) {
    sweep_timer_ = context_.scheduler.schedule(settings_.check_interval, [this] {
      sweep_timer_ = 0;
      sweep();
    });
  }
}

void ForwardingServer::sweep() {
  const auto now = context_.clock.now();
  std::erase_if(models_, [&](const auto& run) {
    return now - run.second->checkedAt() > settings_.silence_limit;
  });
  std::erase_if(services_, [&](const auto& run) {
    return now - run.second.checked_at > settings_.silence_limit;
  });
  if (running() > 0) {
    scheduleSweep();
  }
}

void ForwardingServer::onMembershipChanged() {
  if (running() == 0) {
    return;
  }
  std::set<common::NodeId> members;
  for (const membership::Member& member : membership_.members()) {
    members.insert(member.node);
  }
  const auto ended = [&members](const auto& run) { return !members.contains(run.first.first); };
  std::erase_if(models_, ended);
  std::erase_if(services_, ended);
}

void ForwardingServer::retireModel(const Key& key) {
  context_.scheduler.schedule(common::Duration{0}, [this, key] { models_.erase(key); });
}

void ForwardingServer::retireService(const Key& key) {
  context_.scheduler.schedule(common::Duration{0}, [this, key] { services_.erase(key); });
}

}  // namespace cypresswall::forwarding
