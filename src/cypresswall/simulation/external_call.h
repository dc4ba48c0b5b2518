/// Calls from a simulated process to endpoints that are not daemons: engines, the platform,
/// services. Request and response are each delayed by the simulated network, and lost if the link
/// is cut when they arrive. The caller sees the same outcomes as with a real connection: answered,
/// not sent or unknown.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "cypresswall/simulation/simulation.h"

namespace cypresswall::simulation {

enum class CallResult : std::uint8_t {
  kAnswered,
  kNotSent,  ///< the connection failed: nothing reached the endpoint
  kUnknown,  ///< something was sent, but no response arrived within the time limit
};

/// Faults that affect all calls of one kind, in addition to cuts of links.
struct CallFaults {
  /// Fraction of calls that take effect but whose response never arrives, from 0 to 1. Counted as
  /// `answer_lost_kind`.
  double answer_lost = 0;
  FaultKind answer_lost_kind = FaultKind::kEngineAnswerLost;
  /// Fraction of requests, from 0 to 1, that arrive late by a random time of up to `late_by`.
  /// Counted as `late_kind`.
  double late = 0;
  common::Duration late_by = std::chrono::seconds(10);
  FaultKind late_kind = FaultKind::kEngineAnswerLate;
};

/// Network path from one process to one external endpoint.
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
  /// Decides at random whether a fault occurs, and counts the fault if it does.
  /// \return true with probability `share`
  bool occurs(double share, FaultKind kind) const;

 private:
  Simulation& simulation_;
  SimulatedProcess& process_;
  NetworkEndpoint here_;
  NetworkEndpoint endpoint_;
};

/// One call. The callback `Done` runs exactly once in the calling process, unless the process dies
/// first.
template <typename Answer>
class ExternalCall : public std::enable_shared_from_this<ExternalCall<Answer>> {
 public:
  /// Called by the endpoint with its response, or with nullopt if the endpoint is down.
  using Reply = std::function<void(std::optional<Answer>)>;
  /// Executes the call at the endpoint; runs when the request arrives.
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
  /// Result of the call, from which the callback in the calling process takes its arguments.
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
      // In half of the cases, the call needs a new connection, which can't be established. In the
      // others, it uses an existing connection, which accepts the bytes but yields no response.
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
