/// Chooses engines by expected time to the first token and between tokens.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/routing/cost_model.h"
#include "cypresswall/routing/demand_ledger.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/router.h"
#include "cypresswall/routing/sent_work.h"

namespace cypresswall::routing {

/// Weighs all candidates of the zone (a sample of them above RouterSettings::full_scan_limit) and
/// takes the least cost; among engines of equal cost the one that rendezvous hashing of the
/// prompt's first piece prefers, so that nodes that don't talk send equal prefixes to one place.
class CostRouter final : public Router {
 public:
  CostRouter(const RouterSettings& settings, const api::ProcessContext& context,
             EngineDirectory& directory);

  RouteChoice choose(const RouteRequest& request) override;
  void attemptStarted(const RouteRequest& request, const Route& route) override;
  void firstTokenReceived(const std::string& stream_id) override;
  void attemptFinished(const std::string& stream_id) override;
  void attemptFailed(const std::string& stream_id, engines::StreamFailure failure) override;

  /// What callers asked of each model at this node.
  DemandLedger& demand() { return demand_; }

 private:
  /// A request in the model's numbers.
  struct Work {
    double prompt_tokens = 0;
    double decode_tokens = 0;
    /// Seconds.
    double first_token_limit = 0;
    double between_tokens_limit = 0;
    std::uint64_t affinity = 0;
    bool has_affinity = false;
  };
  /// What one engine would make of it, in seconds.
  struct Offer {
    EngineSlot engine = kNoEngineSlot;
    double cost = 0;
    double wait = 0;
    double first_token = 0;
    double between_tokens = 0;
    /// Time until the limits could be met; zero if they are met now.
    double relief = 0;
  };

  Work workOf(const RouteRequest& request) const;
  const std::vector<EngineSlot>& candidatesFor(const RouteRequest& request);
  void narrow(const RouteRequest& request, const std::vector<EngineSlot>& all);
  void notePrefixes(const RouteRequest& request);
  void clearPrefixes();
  Offer offerWhole(EngineSlot slot, const Work& work, double now) const;
  Offer offerPrefill(EngineSlot slot, const Work& work, double now) const;
  Offer offerDecode(EngineSlot slot, const Work& work) const;
  Offer combine(const Offer& prefill, const Offer& decode, const Work& work) const;
  void price(Offer& offer, const Work& work, const EngineEstimate& engine) const;
  std::optional<Offer> cheapest(std::vector<Offer>& offers, const Work& work);
  double uncachedTokens(EngineSlot slot, const Work& work) const;
  void collectOffers(const Work& work, double now);
  Route makeRoute(const Offer& offer, EngineSlot prefill) const;
  RouteRefusal refuse(const Offer& best, const Work& work, const common::ModelName& model);
  RouteRefusal refuseWithoutEngine(const common::ModelName& model) const;
  common::Duration boundedRetry(double seconds) const;
  void onEngineChange(EngineSlot slot, bool restarted);

  RouterSettings settings_;
  const api::ProcessContext& context_;
  EngineDirectory& directory_;
  EngineTable& table_;
  PrefixIndex& prefixes_;
  std::vector<EngineEstimate> estimates_;
  std::vector<std::uint64_t> name_hashes_;
  SentWork sent_;
  DemandLedger demand_;
  /// By model, the model time up to which refused callers were told to come back.
  std::map<common::ModelName, double> promised_until_;
  // Scratch space, kept so that a choice allocates nothing.
  std::vector<EngineSlot> narrowed_;
  std::vector<PrefixMatch> matches_;
  std::vector<std::uint32_t> cached_pieces_;
  std::vector<Offer> whole_offers_;
  std::vector<Offer> prefill_offers_;
  std::vector<Offer> decode_offers_;
  common::Counter& routed_;
  common::Counter& routed_disaggregated_;
  common::Counter& refused_overloaded_;
  common::Counter& refused_no_engine_;
  common::Counter& other_version_;
};

}  // namespace cypresswall::routing
