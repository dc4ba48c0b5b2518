/// The requesting side of placement. In a zone that is not divided into groups, this node chooses
/// engines itself. Otherwise it asks the owners of the prompt's candidate groups (see EngineGroups)
/// one after the other, and reports the progress of the attempt to the owner that placed it. If an
/// owner does not answer within a limited time, the next one is asked.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "cypresswall/api/process_context.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/placement_messages.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::routing {

using IdleConnectionCheck = std::function<bool(const engines::EngineEndpoint& engine)>;

class PlacementRouter final : public Router {
 public:
  /// Registers the handler of PlacementAnswer.
  /// \param local chooses among the engines that this node routes to
  /// \pre all references outlive this object
  PlacementRouter(const PlacementSettings& settings, const RouterSettings& router_settings,
                  const api::ProcessContext& context, EngineDirectory& directory, Router& local);

  RouteChoice choose(const RouteRequest& request) override { return local_.choose(request); }
  void place(const RouteRequest& request, const PlacementCallback& done) override;
  void abandonPlacement(const std::string& stream_id) override;
  bool takesWork(const engines::EngineEndpoint& engine) const override;
  void attemptStarted(const RouteRequest& request, const Route& route) override {
    local_.attemptStarted(request, route);
  }
  void promptComputed(const std::string& stream_id) override;
  void firstTokenReceived(const std::string& stream_id) override;
  void outputReceived(const std::string& stream_id, const OutputSample& sample) override;
  void answerCompleted(const std::string& stream_id) override;
  void attemptFinished(const std::string& stream_id) override;
  void attemptFailed(const std::string& stream_id, const common::EngineName& engine,
                     engines::StreamFailure failure) override;

  /// Sets the function that tells to which engines this node has an idle connection. Placements
  /// then name those engines (RouteRequest::connected).
  void setIdleConnectionCheck(IdleConnectionCheck check) {
    has_idle_connection_ = std::move(check);
  }
  /// \return number of requests waiting for an owner's answer.
  std::size_t pendingRequests() const { return pending_.size(); }

 private:
  /// An owner that may be asked.
  struct Candidate {
    common::NodeId node;
    std::string group;
  };
  /// A request that is waiting for a placement.
  struct PendingRequest {
    RouteRequest request;
    PlacementCallback done;
    std::deque<Candidate> candidates;
    Candidate asked;
    std::uint64_t number = 0;
    std::size_t attempts = 0;
    common::TimerId timer = 0;
    common::MonotonicTime asked_at{};
    /// The last refusal, returned if no owner places the request.
    std::optional<RouteRefusal> refusal;
  };
  /// A placement made by another node.
  struct RemotePlacement {
    common::NodeId owner;
    /// Whether the first token is reported to the owner, which needs its time only for long prompts
    /// and long answers.
    bool reports_first_token = false;
    bool completed = false;
    /// Output not yet reported to the owner.
    OutputSample output;
  };

  std::deque<Candidate> candidatesFor(const RouteRequest& request);
  bool unresponsive(const common::NodeId& node) const;
  /// Asks the next owner (chooses locally if that is this node), or gives up if no owner is left or
  /// the maximum number of owners was asked.
  void tryNextOwner(const std::string& stream_id);
  void sendRequest(PendingRequest& pending, const Candidate& candidate);
  /// \return those of the engines to which this node has an idle connection
  std::vector<common::EngineName> connectedEngines(const std::vector<EngineSlot>& engines) const;
  void placeLocally(const std::string& stream_id);
  void giveUp(const std::string& stream_id);
  void onAnswerTimeout(const std::string& stream_id);
  void onAnswer(const common::NodeId& sender, const PlacementAnswer& answer);
  void onRefusal(PendingRequest& pending, const PlacementAnswer& answer);
  static void keepRefusal(PendingRequest& pending, RouteRefusal refusal);
  void releaseUnlessInUse(const common::NodeId& owner, const std::string& stream_id);
  /// \return true if this node knows the engine, may send to it, and it has the required build
  bool fits(const RouteRequest& request, const engines::EngineEndpoint& engine) const;
  bool usable(const RouteRequest& request, const Route& route) const;
  /// Excludes the engines for which an owner's choice could not be used, and those that the owner
  /// may choose next since it does not know what they announced to this node.
  void excludeUnusable(PendingRequest& pending, const Route& route) const;
  void excludeOtherBuilds(PendingRequest& pending) const;
  bool known(const engines::EngineEndpoint& engine) const;
  common::BuildName buildOf(const engines::EngineEndpoint& engine) const;
  void sendProgress(const common::NodeId& owner, const std::string& stream_id, AttemptStep step,
                    const OutputSample& output = {});
  void finish(const std::string& stream_id, RouteChoice choice);
  common::Duration answerTimeout(const RouteRequest& request) const;

  PlacementSettings settings_;
  double long_prompt_tokens_;
  std::uint32_t long_answer_tokens_;
  /// Output of this duration is reported to the owner before the attempt ends.
  common::Duration output_report_interval_;
  const api::ProcessContext& context_;
  EngineDirectory& directory_;
  Router& local_;
  IdleConnectionCheck has_idle_connection_;
  std::unordered_map<std::string, PendingRequest> pending_;
  std::unordered_map<std::string, RemotePlacement> remote_placements_;
  std::unordered_map<common::NodeId, common::MonotonicTime> unresponsive_until_;
  std::uint64_t next_number_ = 1;
  common::Counter& asked_;
  common::Counter& answered_;
  common::Counter& timed_out_;
  common::Counter& late_;
  common::Counter& unusable_;
  common::Counter& no_owner_;
};

}  // namespace cypresswall::routing
