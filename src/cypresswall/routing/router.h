/// Choice of the engine for one attempt at a model request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/prompt.h"
#include "cypresswall/common/result.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engine_speed/decode_speed_estimator.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::routing {

/// The properties of an attempt that routing needs.
struct RouteRequest {
  std::string stream_id;
  common::ModelName model;
  std::string version;
  std::string adapter;
  /// Software build that began the answer; the only one whose engines may continue it. Not set
  /// before the first token.
  std::optional<common::BuildName> build;
  common::PromptShape shape;
  std::uint32_t maximum_tokens = 0;
  /// Tokens that earlier attempts already delivered to the caller.
  std::uint32_t resume_from = 0;
  std::uint8_t priority = 0;
  /// Time remaining until the first token is due.
  common::Duration first_token_limit{0};
  common::Duration between_tokens_limit{0};
  /// Engines that already failed or refused this request.
  std::vector<common::EngineName> excluded;
  /// Time remaining until the answer must be complete; zero if there is no limit.
  common::Duration finish_limit{0};
  /// Engines to which the node that sends the attempt has an idle connection, at most
  /// kMaximumConnectedEngines of them.
  std::vector<common::EngineName> connected;
};

inline constexpr std::size_t kMaximumConnectedEngines = 32;

/// Output that an attempt received since its first token or since the previous sample.
struct OutputSample {
  /// Tokens, or events if the answer is passed through unchanged.
  std::uint32_t tokens = 0;
  /// Time in which they arrived.
  common::Duration duration{0};
  /// Longest time between two of them.
  common::Duration longest_pause{0};
};

/// The chosen engine or engines, with the expected times.
struct Route {
  engines::EngineEndpoint engine;
  /// Model version that the engine has loaded; differs from the requested one while a new version
  /// is being rolled out.
  std::string version;
  /// Software build of `engine`.
  common::BuildName build;
  /// Set if another engine computes the prompt first and transfers the KV cache.
  std::optional<engines::EngineEndpoint> prefill_engine;
  common::Duration expected_first_token{0};
  common::Duration expected_between_tokens{0};
  std::uint32_t expected_cached_tokens = 0;
  /// The node that chose the route; empty if this node chose it.
  common::NodeId chosen_by;
  /// Set if the engine that computes the prompt first copies a cached part of it from this engine.
  std::optional<engines::EngineEndpoint> prefix_source;
  std::uint32_t expected_copied_tokens = 0;
  /// Number of engines believed to hold a part of the prompt, including any that get no new work.
  std::uint32_t known_holders = 0;
  /// Hash that identifies the prefix that other prompts may share (see sharedPartOf()); zero if
  /// there is none.
  common::PieceHash shared_part = 0;
  /// Expected time to compute the prompt, without the wait before that.
  common::Duration expected_prompt{0};
  /// Expected wait for the queue and for a free stream slot.
  common::Duration expected_wait{0};
};

enum class RouteFailure {
  kUnknownModel,     ///< no engine of the zone serves the model
  kNoEngineOfBuild,  ///< no engine with the required software build takes new work any more
  kOverloaded,       ///< no engine can meet the limits; see RouteRefusal
};

/// The best engine for a refused request, with the times expected on that engine.
struct RefusedOffer {
  common::EngineName engine;
  common::Duration expected_wait{0};
  common::Duration expected_first_token{0};
  common::Duration first_token_limit{0};
  /// Age of the load report on which the estimates are based.
  common::Duration report_age{0};
};

/// Why no engine was chosen.
struct RouteRefusal {
  RouteFailure reason = RouteFailure::kOverloaded;
  /// Estimated time until a new attempt would be admitted; zero if the model is unknown.
  common::Duration retry_after{0};
  std::string message;
  /// Empty if no engine was available.
  std::optional<RefusedOffer> best;
};

using RouteChoice = std::variant<Route, RouteRefusal>;
using PlacementCallback = std::function<void(RouteChoice)>;

/// \return the message of a refusal for the reason kNoEngineOfBuild
inline std::string noEngineOfBuild(const common::ModelName& model, const common::BuildName& build) {
  return "no engine of model " + model + " has the software build " + build +
         " that began the answer";
}

class Router {
 public:
  virtual ~Router() = default;
  /// Chooses with the information of this node only.
  virtual RouteChoice choose(const RouteRequest& request) = 0;
  /// Chooses, possibly by asking another node, and records the attempt as started. `done` is called
  /// once, synchronously or later, unless the placement is abandoned.
  virtual void place(const RouteRequest& request, const PlacementCallback& done) {
    RouteChoice choice = choose(request);
    if (const Route* const route = std::get_if<Route>(&choice)) {
      attemptStarted(request, *route);
    }
    done(std::move(choice));
  }
  /// Called when a request ends before `done` of its place() call was called.
  virtual void abandonPlacement(const std::string&) {}
  /// Called before the second stream of a route, that to the engine for the output, is opened: the
  /// engine's state may have changed since the route was chosen.
  /// \return false if the engine may no longer get new work because it is leaving, drained or
  ///   unavailable
  virtual bool takesWork(const engines::EngineEndpoint& engine) const = 0;
  /// The following calls report the progress of an attempt, so that estimates include work that no
  /// load report shows yet. Each started attempt ends with exactly one of attemptFinished() and
  /// attemptFailed().
  virtual void attemptStarted(const RouteRequest& request, const Route& route) = 0;
  /// Reports that the prefill engine of a route has computed the prompt.
  virtual void promptComputed(const std::string& stream_id) = 0;
  virtual void firstTokenReceived(const std::string& stream_id) = 0;
  /// Reports output of a running attempt, also just before answerCompleted() and before the end of
  /// an attempt that is abandoned.
  virtual void outputReceived(const std::string& /*stream_id*/, const OutputSample& /*sample*/) {}
  /// Reports that the attempt delivered its complete answer; attemptFinished() is called next.
  virtual void answerCompleted(const std::string& stream_id) = 0;
  virtual void attemptFinished(const std::string& stream_id) = 0;
  /// \return the learned output speeds of the engines that this node decides about, for operators
  virtual std::vector<engine_speed::EngineSpeedView> engineSpeedView() const { return {}; }
  /// \param engine the engine of the route at which the attempt failed
  virtual void attemptFailed(const std::string& stream_id, const common::EngineName& engine,
                             engines::StreamFailure failure) = 0;
};

}  // namespace cypresswall::routing
