/// Chooses engines by expected time to the first token and between tokens.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/routing/cost_model.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/long_prompt_tracker.h"
#include "cypresswall/routing/offers.h"
#include "cypresswall/routing/output_speed.h"
#include "cypresswall/routing/router.h"
#include "cypresswall/routing/unreported_work.h"

namespace cypresswall::routing {

/// Weighs all candidates of the zone (a sample of them above RouterSettings::full_scan_limit) and
/// takes the least cost. Among engines of equal cost it takes the one that rendezvous hashing of
/// the prompt's first piece prefers, so that nodes that don't talk send equal prefixes to one
/// place; a prompt without a whole piece can't be found in a cache, and such prompts take turns.
class CostRouter final : public Router {
 public:
  CostRouter(const RouterSettings& settings, const api::ProcessContext& context,
             EngineDirectory& directory);

  RouteChoice choose(const RouteRequest& request) override;
  bool takesWork(const engines::EngineEndpoint& engine) const override;
  void attemptStarted(const RouteRequest& request, const Route& route) override;
  void promptComputed(const std::string& stream_id) override;
  void firstTokenReceived(const std::string& stream_id) override;
  void answerCompleted(const std::string& stream_id) override;
  void attemptFinished(const std::string& stream_id) override;
  void attemptFailed(const std::string& stream_id, const common::EngineName& engine,
                     engines::StreamFailure failure) override;

  /// \return how often what is known of an engine was worked out anew, of all engines together.
  std::uint64_t estimatesRefreshed() const { return estimates_.refreshed(); }

 private:
  /// One engine with the cost of its offer.
  struct PricedEngine {
    double cost = 0;
    EngineSlot engine = kNoEngineSlot;
    bool crowds_out = false;
    /// As in Offer.
    double occupancy = 0;
  };
  /// The engines chosen for a request, not yet judged against its limits.
  struct Selection {
    EngineSlot engine = kNoEngineSlot;
    /// kNoEngineSlot unless another engine computes the prompt.
    EngineSlot prefill = kNoEngineSlot;
    Offer offer;

    bool empty() const { return engine == kNoEngineSlot; }
    bool split() const { return prefill != kNoEngineSlot; }
    EngineSlot computing() const { return split() ? prefill : engine; }
  };

  /// Where long answers are given.
  enum class OutputPlace : std::uint8_t {
    kAnywhere,  ///< they are not gathered
    kHost,      ///< gathered at this engine
    kApart,     ///< gathered at others
  };
  /// An answer that has not begun.
  struct AwaitedOutput {
    EngineSlot engine = kNoEngineSlot;
    /// Tokens after the first.
    double tokens = 0;
  };

  RequestWork workOf(const RouteRequest& request) const;
  const std::vector<EngineSlot>& candidatesFor(const RouteRequest& request);
  void narrow(const RouteRequest& request, const std::vector<EngineSlot>& all);
  /// Leaves out the engines that have no request left of a limit that they named.
  void leaveOutExhausted();
  void notePrefixes(const RouteRequest& request);
  void clearPrefixes();
  /// Finds the engine from which others may copy the cached start of the prompt.
  void findPrefixSource(const RouteRequest& request);
  /// \return what the engine would have to do for the prompt, copying what it lacks if it can
  PromptWork promptWork(EngineSlot slot, const RequestWork& work) const;
  /// Finds the decode engines on which long answers are gathered, if they are.
  void chooseOutputHosts();
  bool hostsOutput(EngineSlot slot) const { return output_places_[slot] == OutputPlace::kHost; }
  /// \return true if the answer is long, and would be given apart from where long ones are gathered
  bool astray(EngineSlot slot, const RequestWork& work) const;
  /// \return true if `engine` is a decode engine and the prompt takes it longer than one step, and
  ///   than its streams may be held up.
  bool crowdsOut(EngineSlot slot, const RequestWork& work, const PromptWork& prompt,
                 double now) const;
  void priceEngines(const RequestWork& work, double now);
  /// \return the cheapest engine. Among near equals a prompt with whole cache pieces gets the one
  ///   that its hash prefers, another the one whose turn it is; kNoEngineSlot if there is none.
  /// \param tolerance how much dearer than the cheapest an equal may be
  EngineSlot cheapest(const std::vector<PricedEngine>& engines, const RequestWork& work,
                      double tolerance);
  /// \return the tolerance among engines that would compute the prompt
  double computingTolerance(const RequestWork& work) const;
  /// \return the highest rank by the hash of the prompt's first piece.
  EngineSlot preferredByHash(const std::vector<PricedEngine>& equals,
                             common::PieceHash piece) const;
  /// \return the engine that got work longest ago, of those with a place free if there are any.
  EngineSlot nextInTurn(const std::vector<PricedEngine>& equals) const;
  /// Adds to the costs what others bear, by the share of engines at which prompts wait.
  void chargeOccupancy();
  Selection select(const RequestWork& work, double now);
  void countDemand(const RouteRequest& request, const RequestWork& work,
                   const Selection& selection);
  Route makeRoute(const Selection& selection, const RequestWork& work) const;
  RouteRefusal refuse(const Selection& best, const RequestWork& work,
                      const common::ModelName& model);
  RouteRefusal refuseWithoutEngine(const common::ModelName& model) const;
  /// For when engines are there, but all that they take is used up.
  RouteRefusal refuseExhausted(const common::ModelName& model) const;
  common::Duration boundedRetry(double seconds) const;
  void onEngineChange(EngineSlot slot, bool restarted);

  RouterSettings settings_;
  OfferModel model_;
  const api::ProcessContext& context_;
  EngineDirectory& directory_;
  EngineTable& table_;
  PrefixIndex& prefixes_;
  EstimateTable estimates_;
  std::vector<std::uint64_t> name_hashes_;
  UnreportedWork sent_;
  LongPromptTracker long_prompts_;
  OutputSpeedEstimator output_speeds_;
  /// Answers whose first token was not received yet.
  std::unordered_map<std::string, AwaitedOutput> awaited_outputs_;
  /// Number of the last attempt sent to each engine, zero before the first.
  std::vector<std::uint64_t> last_attempt_;
  std::uint64_t attempts_ = 0;
  /// Makes each node begin its turns at another engine.
  std::uint64_t turn_salt_;
  /// By model, the model time up to which refused callers were told to come back.
  std::map<common::ModelName, double> promised_until_;
  // Scratch space, kept so that a choice allocates nothing.
  std::vector<EngineSlot> narrowed_;
  /// Engines left out of it since they are exhausted.
  std::vector<common::EngineName> exhausted_;
  std::vector<PrefixMatch> matches_;
  std::vector<std::uint32_t> cached_tokens_;
  /// Engine from which others can copy cached tokens of the prompt, and how many.
  EngineSlot prefix_source_ = kNoEngineSlot;
  std::uint32_t source_tokens_ = 0;
  /// Share of the engines that compute prompts at which prompts wait, for the request weighed.
  double contention_ = 0;
  std::vector<PricedEngine> whole_engines_;
  std::vector<PricedEngine> prefill_engines_;
  std::vector<PricedEngine> decode_engines_;
  std::vector<PricedEngine> equals_;
  std::vector<EngineSlot> decode_order_;
  /// By slot.
  std::vector<OutputPlace> output_places_;
  common::Counter& routed_;
  common::Counter& routed_disaggregated_;
  common::Counter& refused_overloaded_;
  common::Counter& refused_no_engine_;
  common::Counter& other_version_;
};

}  // namespace cypresswall::routing
