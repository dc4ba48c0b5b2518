/// Selects engines by expected time to first token and expected time between tokens.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/routing/cost_model.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/long_prompt_tracker.h"
#include "cypresswall/routing/offers.h"
#include "cypresswall/routing/output_speed.h"
#include "cypresswall/routing/output_tracker.h"
#include "cypresswall/routing/router.h"
#include "cypresswall/routing/unreported_work.h"

namespace cypresswall::routing {

/// Computes the cost of each candidate engine (of a random sample if there are more than
/// RouterSettings::full_scan_limit) and chooses the cheapest. Ties are broken by rendezvous hashing
/// of the prompt's shared part (see shared_part.h), so that nodes send prompts with the same shared
/// part to the same engine without coordination. If the prompt has no shared part, the least
/// recently used engine is chosen.
class CostRouter final : public Router {
 public:
  CostRouter(const RouterSettings& settings, const api::ProcessContext& context,
             EngineDirectory& directory);

  RouteChoice choose(const RouteRequest& request) override;
  bool takesWork(const engines::EngineEndpoint& engine) const override;
  void attemptStarted(const RouteRequest& request, const Route& route) override;
  void promptComputed(const std::string& stream_id) override;
  void firstTokenReceived(const std::string& stream_id) override;
  void outputReceived(const std::string& stream_id, const OutputSample& sample) override;
  void answerCompleted(const std::string& stream_id) override;
  void attemptFinished(const std::string& stream_id) override;
  void attemptFailed(const std::string& stream_id, const common::EngineName& engine,
                     engines::StreamFailure failure) override;

  /// \return number of recomputations of engine estimates, over all engines.
  std::uint64_t estimatesRefreshed() const { return estimates_.refreshed(); }
  /// \return the learned speeds of output, to be stored and restored
  engine_speed::DecodeSpeedEstimator& engineSpeeds() { return outputs_.speeds(); }
  std::vector<engine_speed::EngineSpeedView> engineSpeedView() const override {
    return outputs_.view();
  }

 private:
  /// An engine with the cost of its offer.
  struct PricedEngine {
    double cost = 0;
    EngineSlot engine = kNoEngineSlot;
    /// The prompt would delay the engine's running streams too much (see delaysDecoding()).
    bool delays_decoding = false;
    /// As in Offer.
    double occupancy = 0;
  };
  /// The engines selected for a request, before the router checks whether they meet the request's
  /// limits.
  struct Selection {
    EngineSlot engine = kNoEngineSlot;
    /// The engine that computes the prompt; kNoEngineSlot if `engine` computes it.
    EngineSlot prefill = kNoEngineSlot;
    Offer offer;

    bool empty() const { return engine == kNoEngineSlot; }
    bool split() const { return prefill != kNoEngineSlot; }
    EngineSlot computing() const { return split() ? prefill : engine; }
  };

  /// Whether an engine is one of those on which long answers are consolidated (see
  /// RouterSettings::consolidates_long_answers).
  enum class OutputHosting : std::uint8_t {
    kAnywhere,  ///< long answers are not consolidated
    kHost,      ///< long answers are consolidated on this engine
    kNonHost,   ///< long answers are consolidated on other engines
  };
  /// An answer whose first token was not received yet.
  struct AwaitedOutput {
    EngineSlot engine = kNoEngineSlot;
    /// Maximum number of output tokens after the first.
    double tokens = 0;
  };

  RequestWork workOf(const RouteRequest& request) const;
  const std::vector<EngineSlot>& candidatesFor(const RouteRequest& request);
  void narrow(const RouteRequest& request, const std::vector<EngineSlot>& all);
  /// Excludes engines that have used up the rate limit they declared.
  void excludeExhausted();
  void lookUpPrefixes(const RouteRequest& request);
  void clearPrefixes();
  /// Finds the engine with the longest cached prefix of the prompt, from which other engines may
  /// copy it.
  void findPrefixSource(const RouteRequest& request);
  /// \return the work that the prompt causes on the engine, with missing cache pieces copied from
  ///   the prefix source where that is possible
  PromptWork promptWork(EngineSlot slot, const RequestWork& work) const;
  /// Prepares the weighing of output for a request.
  void prepareRisk(RequestWork& work, const common::ModelName& model);
  /// \return share of the stream slots to which hosts of long answers are filled
  double hostFill(double places) const;
  /// Selects the decode engines on which long answers are consolidated, if that is enabled.
  void chooseOutputHosts();
  bool hostsOutput(EngineSlot slot) const { return output_hosting_[slot] == OutputHosting::kHost; }
  /// \return true if the answer is long and the engine is not a host of long answers
  bool offOutputHost(EngineSlot slot, const RequestWork& work) const;
  /// \return true if the engine is a decode engine, and the prompt takes more than one step and
  ///   would delay the engine's running streams for longer than permitted.
  bool delaysDecoding(EngineSlot slot, const RequestWork& work, const PromptWork& prompt,
                      double now) const;
  void priceEngines(const RequestWork& work, double now);
  /// \return the cheapest engine, kNoEngineSlot if there is none. Ties are broken by rendezvous
  ///   hashing if the prompt has a shared part, by least recent use otherwise.
  /// \param tolerance cost difference to the cheapest engine up to which engines are tied
  EngineSlot cheapest(const std::vector<PricedEngine>& engines, const RequestWork& work,
                      double tolerance);
  /// Keeps only those of `equals_` to which the sending node has an idle connection and whose cost
  /// is at most `limit`, if there are any.
  void preferConnected(double limit);
  void lookUpConnections(const RouteRequest& request);
  /// \return the cost difference up to which engines that would compute the prompt are tied
  double computingTolerance(const RequestWork& work) const;
  /// \return the engine with the highest rendezvous rank for `piece`.
  EngineSlot preferredByHash(const std::vector<PricedEngine>& equals,
                             common::PieceHash piece) const;
  /// \return the engine that received work from this node least recently. Engines with a free
  ///   stream slot are preferred.
  EngineSlot leastRecentlyUsed(const std::vector<PricedEngine>& equals) const;
  /// Adds to the cost of each engine that would compute the prompt its Offer::occupancy, multiplied
  /// by `contention_`.
  void chargeOccupancy();
  Selection select(const RequestWork& work, double now);
  void countDemand(const RouteRequest& request, const RequestWork& work,
                   const Selection& selection);
  Route makeRoute(const Selection& selection, const RequestWork& work) const;
  RouteRefusal refuse(const Selection& best, const RequestWork& work,
                      const common::ModelName& model);
  RouteRefusal refuseWithoutEngine(const RouteRequest& request) const;
  /// Refusal for the case that every candidate has used up its rate limit.
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
  OutputTracker outputs_;
  /// RouterSettings::connection_discount in seconds.
  double connection_saving_;
  /// Engines to which the node that sends the current request has an idle connection.
  std::unordered_set<EngineSlot> connected_;
  /// Ratios of the model of the current request.
  OutputRisk risk_;
  /// By stream.
  std::unordered_map<std::string, AwaitedOutput> awaited_outputs_;
  /// By slot, the sequence number of the last attempt; zero if there was none.
  std::vector<std::uint64_t> last_attempt_;
  std::uint64_t attempts_ = 0;
  /// Random value that orders engines not used yet differently on each node, so that nodes do not
  /// all start with the same engine.
  std::uint64_t tie_break_salt_;
  /// By model, the time (see toModelTime()) until which the engines are expected to be busy with
  /// requests of refused callers, who were told by Retry-After to try again.
  std::map<common::ModelName, double> promised_until_;
  // Scratch buffers, reused to avoid allocations per decision.
  /// Candidates whose cost is computed for the current request.
  std::vector<EngineSlot> narrowed_;
  /// Engines excluded from `narrowed_` because their rate limit is used up.
  std::vector<common::EngineName> exhausted_;
  std::vector<PrefixMatch> matches_;
  std::vector<std::uint32_t> cached_tokens_;
  /// Engine from which others can copy cached tokens of the prompt; kNoEngineSlot if there is none.
  EngineSlot prefix_source_ = kNoEngineSlot;
  /// Number of leading prompt tokens that `prefix_source_` holds.
  std::uint32_t source_tokens_ = 0;
  /// Share of the candidates with the role "prefill" or "mixed" on which the prompt would have to
  /// wait.
  double contention_ = 0;
  std::vector<PricedEngine> whole_engines_;
  std::vector<PricedEngine> prefill_engines_;
  std::vector<PricedEngine> decode_engines_;
  std::vector<PricedEngine> equals_;
  std::vector<EngineSlot> decode_order_;
  /// By slot.
  std::vector<OutputHosting> output_hosting_;
  common::Counter& routed_;
  common::Counter& routed_disaggregated_;
  common::Counter& refused_overloaded_;
  common::Counter& refused_no_engine_;
  common::Counter& other_version_;
};

}  // namespace cypresswall::routing
