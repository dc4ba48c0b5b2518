/// Choice of the engine for one attempt at a model request.
#pragma once

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
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::routing {

/// What routing has to know of an attempt.
struct RouteRequest {
  std::string stream_id;
  common::ModelName model;
  std::string version;
  std::string adapter;
  common::PromptShape shape;
  std::uint32_t maximum_tokens = 0;
  /// Tokens already given to the caller by earlier attempts.
  std::uint32_t resume_from = 0;
  std::uint8_t priority = 0;
  /// Time left until the first token is due.
  common::Duration first_token_limit{0};
  common::Duration between_tokens_limit{0};
  /// Engines that already failed or refused this request.
  std::vector<common::EngineName> excluded;
};

/// The engine chosen, and why.
struct Route {
  engines::EngineEndpoint engine;
  /// Version of the model that the engine has loaded; differs from the one asked for while a new
  /// version is being rolled out.
  std::string version;
  /// Set when another engine computes the prompt first and hands over the KV cache.
  std::optional<engines::EngineEndpoint> prefill_engine;
  common::Duration expected_first_token{0};
  common::Duration expected_between_tokens{0};
  std::uint32_t expected_cached_tokens = 0;
  /// The node that chose, if it was another one.
  common::NodeId chosen_by;
  /// Set when the engine that computes the prompt first copies a cached part of it from another.
  std::optional<engines::EngineEndpoint> prefix_source;
  std::uint32_t expected_copied_tokens = 0;
  /// Engines believed to hold a part of the prompt, whether they may get work or not.
  std::uint32_t known_holders = 0;
  /// Names the longest part of the prompt that others share; zero if there is none.
  common::PieceHash shared_part = 0;
  /// Time expected for the prompt alone, and before it begins.
  common::Duration expected_prompt{0};
  common::Duration expected_wait{0};
};

enum class RouteFailure {
  kUnknownModel,  ///< no engine of the zone serves the model
  kOverloaded,    ///< no engine can meet the limits; see RouteRefusal
};

/// The best engine for a refused request, and what it would have made of it.
struct RefusedOffer {
  common::EngineName engine;
  common::Duration expected_wait{0};
  common::Duration expected_first_token{0};
  common::Duration first_token_limit{0};
  /// Age of the engine's report behind these estimates.
  common::Duration report_age{0};
};

/// Why no engine was chosen.
struct RouteRefusal {
  RouteFailure reason = RouteFailure::kOverloaded;
  /// When an attempt would probably be admitted, from the queues' drain time.
  common::Duration retry_after{0};
  std::string message;
  /// Empty if no engine was available.
  std::optional<RefusedOffer> best;
};

using RouteChoice = std::variant<Route, RouteRefusal>;
using PlacementCallback = std::function<void(RouteChoice)>;

class Router {
 public:
  virtual ~Router() = default;
  /// Chooses by what this node knows.
  virtual RouteChoice choose(const RouteRequest& request) = 0;
  /// Chooses, perhaps by asking another node, and notes the attempt as started. `done` is called
  /// once, before the call returns or later, unless the placement is abandoned.
  virtual void place(const RouteRequest& request, const PlacementCallback& done) {
    RouteChoice choice = choose(request);
    if (const Route* const route = std::get_if<Route>(&choice)) {
      attemptStarted(request, *route);
    }
    done(std::move(choice));
  }
  /// The request ended before its placement was answered.
  virtual void abandonPlacement(const std::string&) {}
  /// Asked again before the second stream of a route that was chosen some time ago.
  /// \return false if the engine may not be given new work by now: leaving, drained or away
  virtual bool takesWork(const engines::EngineEndpoint& engine) const = 0;
  /// Tells the router what became of a choice, so that its estimates include work that no load
  /// report shows yet. Each started attempt ends in exactly one of finished and failed.
  virtual void attemptStarted(const RouteRequest& request, const Route& route) = 0;
  /// The first of two engines of a route has computed the prompt.
  virtual void promptComputed(const std::string& stream_id) = 0;
  virtual void firstTokenReceived(const std::string& stream_id) = 0;
  /// The attempt gave its whole answer; attemptFinished() follows.
  virtual void answerCompleted(const std::string& stream_id) = 0;
  virtual void attemptFinished(const std::string& stream_id) = 0;
  /// \param engine where the attempt failed, of the one or two engines of its route
  virtual void attemptFailed(const std::string& stream_id, const common::EngineName& engine,
                             engines::StreamFailure failure) = 0;
};

}  // namespace cypresswall::routing
