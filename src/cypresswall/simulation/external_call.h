/// Calls from a simulated process to what is no daemon: engines, the platform, services. Request
/// and answer each take the network's delay and are lost in a cut; the caller learns what it would
/// learn over a real connection: an answer, that nothing was sent, or nothing certain.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "cypresswall/simulation/simulation.h"

namespace cypresswall::simulation {

enum class CallResult : std::uint8_t {
  kAnswered,
  kNotSent,  ///< the connection failed: nothing reached the other side
  kUnknown,  ///< something was sent, no answer came within the time limit
};

/// How calls of one kind go wrong, besides cuts.
struct CallFaults {
  /// Share of calls that take effect but whose answer never arrives.
  double answer_lost = 0;
  FaultKind answer_lost_kind = FaultKind::kEngineAnswerLost;
  /// Share of requests that arrive up to `late_by` after they were sent.
  double late = 0;
  common::Duration late_by = std::chrono::seconds(10);
  FaultKind late_kind = FaultKind::kEngineAnswerLate;
};

/// The way from one process to one endpoint outside.
class ExternalPath {
 public:
  ExternalPath(Simulation& simulation, SimulatedProcess& process, NetworkEndpoint endpoint)
      : simulation_(simulation),
        process_(process),
        here_{process.id().address, process.zone()},
        endpoint_(std::move(endpoint)) {}

  Simulation& simulation() const { return simulation_; }
  SimulatedProcess& process() const { return process_; }
  bool requestCut() const { return simulation_.network().cutBetween(here_, endpoint_); }
  bool answerCut() const { return simulation_.network().cutBetween(endpoint_, here_); }
  common::Duration requestDelay() const {
    return simulation_.network().drawDelay(here_.zone, endpoint_.zone);
  }
  common::Duration answerDelay() const {
    return simulation_.network().drawDelay(endpoint_.zone, here_.zone);
  }
  /// \return true in `share` of the calls, and counts the fault then.
  bool occurs(double share, FaultKind kind) const;

 private:
  Simulation& simulation_;
  SimulatedProcess& process_;
  NetworkEndpoint here_;
  NetworkEndpoint endpoint_;
};

/// One call. Its `Done` runs in the calling process exactly once, unless that dies first.
template <typename Answer>
class ExternalCall : public std::enable_shared_from_this<ExternalCall<Answer>> {
 public:
  /// Gives the endpoint's answer; nothing if the endpoint is down.
  using Reply = std::function<void(std::optional<Answer>)>;
  /// What happens at the endpoint when the request arrives.
  using Effect = std::function<void(Reply)>;
  using Done = std::function<void(CallResult, std::optional<Answer>)>;

  static void start(const ExternalPath& path, const CallFaults& faults, common::Duration time_limit,
                    Effect effect, Done done) {
    const auto call = std::make_shared<ExternalCall>(path, faults, time_limit, std::move(effect));
    call->begin(std::move(done));
  }

  ExternalCall(const ExternalPath& path, const CallFaults& faults, common::Duration time_limit,
               Effect effect)
      : path_(path), faults_(faults), time_limit_(time_limit), effect_(std::move(effect)) {}

 private:
  /// What the process's callback finds when it runs.
  struct Completion {
    CallResult result = CallResult::kUnknown;
    std::optional<Answer> answer;
    bool filled = false;
  };

  void begin(Done done) {
    completion_ = std::make_shared<Completion>();
    handle_ = path_.process().keep(
        [box = completion_, done = std::move(done)] { done(box->result, std::move(box->answer)); });
    if (handle_ == 0) {
      return;
    }
    common::Duration delay = path_.requestDelay();
    if (path_.occurs(faults_.late, faults_.late_kind)) {
      delay += common::Duration(path_.simulation().random().below(faults_.late_by.count()));
    }
    const auto self = this->shared_from_this();
    path_.simulation().time().schedule(delay, [self] { self->arrive(); });
    path_.simulation().time().schedule(
        time_limit_, [self] { self->finish(CallResult::kUnknown, std::nullopt); });
  }

  void arrive() {
    if (path_.requestCut()) {
      // A new connection can't be made; an old one takes the bytes and never answers.
      if (path_.simulation().random().below(2) == 0) {
        finish(CallResult::kNotSent, std::nullopt);
      }
      return;
    }
    effect_([self = this->shared_from_this()](std::optional<Answer> answer) {
      self->answered(std::move(answer));
    });
  }

  void answered(std::optional<Answer> answer) {
    if (path_.occurs(faults_.answer_lost, faults_.answer_lost_kind)) {
      return;
    }
    path_.simulation().time().schedule(
        path_.answerDelay(), [self = this->shared_from_this(), answer = std::move(answer)] {
          if (self->path_.answerCut()) {
            return;
          }
          const auto result = answer ? CallResult::kAnswered : CallResult::kNotSent;
          self->finish(result, answer);
        });
  }

  void finish(CallResult result, std::optional<Answer> answer) {
    if (completion_->filled || !path_.process().pending(handle_)) {
      return;
    }
    completion_->filled = true;
    completion_->result = result;
    completion_->answer = std::move(answer);
    path_.process().trigger(handle_);
  }

  ExternalPath path_;
  CallFaults faults_;
  common::Duration time_limit_;
  Effect effect_;
  std::shared_ptr<Completion> completion_;
  CallbackTable::Handle handle_ = 0;
};

}  // namespace cypresswall::simulation
