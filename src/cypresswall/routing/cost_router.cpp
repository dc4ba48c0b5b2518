#include "cypresswall/routing/cost_router.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>

namespace cypresswall::routing {
namespace {

/// Retry-After is stretched by up to this share at random, so that callers don't return together.
constexpr double kRetryJitter = 0.25;
/// Wait told to callers when no engine of a model is available.
constexpr double kNoEngineRetrySeconds = 2.0;

/// Finalizer of splitmix64: spreads the bits of `value`.
std::uint64_t mixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31);
}

double secondsOr(common::Duration limit, common::Duration fallback) {
  return common::toSeconds(limit.count() > 0 ? limit : fallback);
}

}  // namespace

CostRouter::CostRouter(const RouterSettings& settings, const api::ProcessContext& context,
                       EngineDirectory& directory)
    : settings_(settings),
      model_(settings),
      context_(context),
      directory_(directory),
      table_(directory.table()),
      prefixes_(directory.prefixes()),
      estimates_(settings.prefill_chunk_tokens),
      sent_(settings.report_slack, estimates_),
      turn_salt_(context.random.next()),
      routed_(
          context.counters.counter("cypresswall_routes_total", "Engines chosen", "kind", "whole")),
      routed_disaggregated_(context.counters.counter("cypresswall_routes_total", "Engines chosen",
                                                     "kind", "disaggregated")),
      refused_overloaded_(context.counters.counter("cypresswall_route_refusals_total",
                                                   "Requests for which no engine was chosen",
                                                   "reason", "overloaded")),
      refused_no_engine_(context.counters.counter("cypresswall_route_refusals_total",
                                                  "Requests for which no engine was chosen",
                                                  "reason", "no-engine")),
      other_version_(context.counters.counter("cypresswall_routes_other_version_total",
                                              "Engines chosen that have another version loaded")) {
  for (const EngineSlot slot : table_.roster()) {
    onEngineChange(slot, false);
  }
  table_.onChange([this](EngineSlot slot, bool restarted) { onEngineChange(slot, restarted); });
}

void CostRouter::onEngineChange(EngineSlot slot, bool restarted) {
  estimates_.reserve(slot);
  if (slot >= name_hashes_.size()) {
    name_hashes_.resize(static_cast<std::size_t>(slot) + 1);
    cached_pieces_.resize(static_cast<std::size_t>(slot) + 1);
    last_attempt_.resize(static_cast<std::size_t>(slot) + 1);
  }
  const EngineRecord& record = table_.record(slot);
  name_hashes_[slot] = common::hash64(record.declaration.name);
  if (restarted) {
    sent_.forgetEngine(slot);
  }
  if (record.reported) {
    applyReport(estimates_.edit(slot), record.load, record.observed_at);
    sent_.reported(slot, record.observed_at);
    estimates_.refresh(slot);
  }
}

Work CostRouter::workOf(const RouteRequest& request) const {
  Work work;
  work.prompt_tokens = request.shape.tokens + request.resume_from;
  work.decode_tokens = request.maximum_tokens > request.resume_from
                           ? request.maximum_tokens - request.resume_from
                           : 0;
  work.first_token_limit =
      secondsOr(request.first_token_limit, settings_.default_first_token_limit);
  work.between_tokens_limit =
      secondsOr(request.between_tokens_limit, settings_.default_between_tokens_limit);
  work.inverse_first_token_limit = 1.0 / work.first_token_limit;
  work.inverse_between_tokens_limit = 1.0 / work.between_tokens_limit;
  work.affinity = request.shape.pieces.empty() ? 0 : request.shape.pieces.front();
  return work;
}

const std::vector<EngineSlot>& CostRouter::candidatesFor(const RouteRequest& request) {
  const auto& exact = table_.candidates(request.model, request.version, request.adapter);
  // An answer that has begun goes on with the version that began it.
  if (!exact.empty() || request.version.empty() || request.resume_from > 0) {
    return exact;
  }
  const auto& any = table_.candidates(request.model, "", request.adapter);
  other_version_.add(any.empty() ? 0 : 1);
  return any;
}

void CostRouter::narrow(const RouteRequest& request, const std::vector<EngineSlot>& all) {
  narrowed_.clear();
  if (all.size() <= settings_.full_scan_limit) {
    narrowed_ = all;
  } else {
    for (std::uint32_t i = 0; i < settings_.sample_size; ++i) {
      narrowed_.push_back(all[context_.random.below(all.size())]);
    }
    for (const PrefixMatch& match : matches_) {
      if (std::binary_search(all.begin(), all.end(), match.engine)) {
        narrowed_.push_back(match.engine);
      }
    }
    std::sort(narrowed_.begin(), narrowed_.end());
    narrowed_.erase(std::unique(narrowed_.begin(), narrowed_.end()), narrowed_.end());
  }
  for (const common::EngineName& name : request.excluded) {
    std::erase(narrowed_, table_.slotOf(name));
  }
}

void CostRouter::notePrefixes(const RouteRequest& request) {
  prefixes_.match(request.shape.pieces, matches_);
  for (const PrefixMatch& match : matches_) {
    if (match.engine < cached_pieces_.size()) {
      const double trusted = match.pieces * prefixes_.trust(match.engine);
      cached_pieces_[match.engine] = static_cast<std::uint32_t>(std::lround(trusted));
    }
  }
}

void CostRouter::clearPrefixes() {
  for (const PrefixMatch& match : matches_) {
    if (match.engine < cached_pieces_.size()) {
      cached_pieces_[match.engine] = 0;
    }
  }
}

double CostRouter::uncachedTokens(EngineSlot slot, const Work& work) const {
  const double cached =
      static_cast<double>(cached_pieces_[slot]) * static_cast<double>(common::kTokensPerCachePiece);
  return std::max(0.0, work.prompt_tokens - cached);
}

bool CostRouter::crowdsOut(const CostInputs& engine, double uncached) const {
  return engine.role == engines::EngineRole::kDecode && uncached > settings_.prefill_chunk_tokens;
}

void CostRouter::priceEngines(const Work& work, double now) {
  whole_engines_.clear();
  prefill_engines_.clear();
  decode_engines_.clear();
  for (const EngineSlot slot : narrowed_) {
    const CostInputs& engine = estimates_.inputs(slot);
    const double uncached = uncachedTokens(slot, work);
    if (engine.role == engines::EngineRole::kPrefill) {
      prefill_engines_.push_back({model_.prefill(engine, work, uncached, now).cost, slot});
      continue;
    }
    // A decode engine computes prompts as well, only slowly; a mixed one takes computed prompts.
    const double cost = model_.whole(engine, work, uncached, now).cost;
    whole_engines_.push_back({cost, slot, crowdsOut(engine, uncached)});
  }
  if (prefill_engines_.empty()) {
    return;
  }
  for (PricedEngine& whole : whole_engines_) {
    const double cost = model_.decode(estimates_.inputs(whole.engine), work).cost;
    decode_engines_.push_back({cost, whole.engine});
    whole.cost += whole.crowds_out ? kLatePenalty : 0.0;
  }
}

EngineSlot CostRouter::cheapest(const std::vector<PricedEngine>& engines, const Work& work) {
  double least = std::numeric_limits<double>::infinity();
  for (const PricedEngine& engine : engines) {
    least = std::min(least, engine.cost);
  }
  const double limit = least + settings_.cost_tolerance;
  equals_.clear();
  std::copy_if(engines.begin(), engines.end(), std::back_inserter(equals_),
               [limit](const PricedEngine& engine) { return engine.cost <= limit; });
  return work.affinity != 0 ? preferredByHash(equals_, work.affinity) : nextInTurn(equals_);
}

EngineSlot CostRouter::preferredByHash(const std::vector<PricedEngine>& equals,
                                       common::PieceHash piece) const {
  EngineSlot best = kNoEngineSlot;
  std::uint64_t best_rank = 0;
  for (const PricedEngine& engine : equals) {
    const std::uint64_t rank = mixBits(name_hashes_[engine.engine] ^ piece);
    if (best == kNoEngineSlot || rank > best_rank) {
      best = engine.engine;
      best_rank = rank;
    }
  }
  return best;
}

EngineSlot CostRouter::nextInTurn(const std::vector<PricedEngine>& equals) const {
  const auto turn = [this](EngineSlot slot) {
    const bool full = estimates_.inputs(slot).slot_wait > 0;
    return std::tuple(full, last_attempt_[slot], mixBits(name_hashes_[slot] ^ turn_salt_));
  };
  const auto next = std::min_element(equals.begin(), equals.end(),
                                     [&turn](const PricedEngine& a, const PricedEngine& b) {
                                       return turn(a.engine) < turn(b.engine);
                                     });
  return next == equals.end() ? kNoEngineSlot : next->engine;
}

CostRouter::Selection CostRouter::select(const Work& work, double now) {
  priceEngines(work, now);
  Selection whole;
  whole.engine = cheapest(whole_engines_, work);
  if (!whole.empty()) {
    const CostInputs& engine = estimates_.inputs(whole.engine);
    const double uncached = uncachedTokens(whole.engine, work);
    whole.offer = model_.whole(engine, work, uncached, now);
    whole.offer.crowds_out = !prefill_engines_.empty() && crowdsOut(engine, uncached);
    whole.offer.cost += whole.offer.crowds_out ? kLatePenalty : 0.0;
  }
  Selection split;
  split.engine = cheapest(decode_engines_, work);
  split.prefill = cheapest(prefill_engines_, work);
  if (split.empty() || !split.split()) {
    return whole;
  }
  const CostInputs& decode = estimates_.inputs(split.engine);
  const Offer prefill = model_.prefill(estimates_.inputs(split.prefill), work,
                                       uncachedTokens(split.prefill, work), now);
  split.offer = model_.combined(prefill, model_.decode(decode, work), decode, work);
  return whole.empty() || split.offer.cost < whole.offer.cost ? split : whole;
}

Route CostRouter::makeRoute(const Selection& selection) const {
  const EngineRecord& record = table_.record(selection.engine);
  Route route;
  route.engine = record.endpoint();
  route.version = record.load.version;
  route.expected_first_token = common::fromSeconds(selection.offer.first_token);
  route.expected_between_tokens = common::fromSeconds(selection.offer.between_tokens);
  route.expected_cached_pieces = cached_pieces_[selection.computing()];
  if (selection.split()) {
    route.prefill_engine = table_.record(selection.prefill).endpoint();
  }
  return route;
}

void CostRouter::countDemand(const RouteRequest& request, const Work& work,
                             const Selection& selection) {
  // Further attempts at a request ask for nothing new.
  if (request.resume_from > 0 || !request.excluded.empty()) {
    return;
  }
  const bool refused = selection.empty() || !selection.offer.meetsLimits();
  const double uncached =
      selection.empty() ? work.prompt_tokens : uncachedTokens(selection.computing(), work);
  directory_.demand().asked(request.model, static_cast<std::uint64_t>(uncached),
                            static_cast<std::uint64_t>(work.decode_tokens), refused,
                            uncached > settings_.prefill_chunk_tokens);
}

RouteChoice CostRouter::choose(const RouteRequest& request) {
  if (directory_.catchingUp()) {
    refused_no_engine_.add();
    return refuseWithoutEngine(request.model);
  }
  const Work work = workOf(request);
  const auto& all = candidatesFor(request);
  notePrefixes(request);
  narrow(request, all);
  const Selection selection = select(work, toModelTime(context_.clock.now()));
  countDemand(request, work, selection);
  RouteChoice choice;
  if (selection.empty()) {
    choice = refuseWithoutEngine(request.model);
    refused_no_engine_.add();
  } else if (!selection.offer.meetsLimits()) {
    choice = refuse(selection, work, request.model);
    refused_overloaded_.add();
  } else {
    choice = makeRoute(selection);
    (selection.split() ? routed_disaggregated_ : routed_).add();
  }
  clearPrefixes();
  return choice;
}

common::Duration CostRouter::boundedRetry(double seconds) const {
  const double stretched = seconds * (1.0 + kRetryJitter * context_.random.unit());
  return std::clamp(common::fromSeconds(stretched), settings_.minimum_retry_after,
                    settings_.maximum_retry_after);
}

RouteRefusal CostRouter::refuse(const Selection& best, const Work& work,
                                const common::ModelName& model) {
  // Callers told earlier to come back take the next places; this one comes after them. The other
  // nodes refuse about as many as this one.
  const double now = toModelTime(context_.clock.now());
  double& promised = promised_until_[model];
  promised = std::max(promised, now);
  const double after_promised = promised - now;
  const CostInputs& engine = estimates_.inputs(best.computing());
  const double service = work.prompt_tokens * engine.seconds_per_prefill_token;
  const double relief = reliefSeconds(best.offer, work, estimates_.estimate(best.engine));
  promised += service * static_cast<double>(directory_.aliveNodes()) /
              static_cast<double>(std::max<std::size_t>(narrowed_.size(), 1));
  promised = std::min(promised, now + common::toSeconds(settings_.maximum_retry_after));
  RouteRefusal refusal;
  refusal.reason = RouteFailure::kOverloaded;
  refusal.retry_after = boundedRetry(relief + after_promised);
  refusal.message = "no engine of model " + model + " can meet the request's limits now";
  return refusal;
}

RouteRefusal CostRouter::refuseWithoutEngine(const common::ModelName& model) const {
  RouteRefusal refusal;
  if (!table_.knowsModel(model)) {
    refusal.reason = RouteFailure::kUnknownModel;
    refusal.message = "no engine of this zone serves model " + model;
    return refusal;
  }
  refusal.reason = RouteFailure::kOverloaded;
  refusal.retry_after = boundedRetry(kNoEngineRetrySeconds);
  refusal.message = "no engine of model " + model + " is available now";
  return refusal;
}

void CostRouter::attemptStarted(const RouteRequest& request, const Route& route) {
  const EngineSlot engine = table_.slotOf(route.engine.name);
  const EngineSlot prefill =
      route.prefill_engine ? table_.slotOf(route.prefill_engine->name) : kNoEngineSlot;
  const EngineSlot computing = route.prefill_engine ? prefill : engine;
  const Work work = workOf(request);
  const double cached = static_cast<double>(route.expected_cached_pieces) *
                        static_cast<double>(common::kTokensPerCachePiece);
  const double uncached = std::max(0.0, work.prompt_tokens - cached);
  std::vector<WorkShare> shares;
  ++attempts_;
  if (computing != kNoEngineSlot) {
    last_attempt_[computing] = attempts_;
    shares.push_back({computing, uncached, computing == engine ? work.decode_tokens : 0});
    for (const common::PieceHash piece : request.shape.pieces) {
      prefixes_.stored(computing, piece);
    }
  }
  if (engine != kNoEngineSlot && engine != computing) {
    last_attempt_[engine] = attempts_;
    shares.push_back({engine, 0, work.decode_tokens});
  }
  sent_.started(request.stream_id, shares, context_.clock.now());
}

void CostRouter::firstTokenReceived(const std::string& stream_id) { sent_.firstToken(stream_id); }

void CostRouter::attemptFinished(const std::string& stream_id) { sent_.ended(stream_id); }

bool CostRouter::takesWork(const engines::EngineEndpoint& engine) const {
  const EngineSlot slot = table_.slotOf(engine.name);
  return slot != kNoEngineSlot &&
         table_.record(slot).availability == EngineAvailability::kAvailable;
}

void CostRouter::attemptFailed(const std::string& stream_id, engines::StreamFailure) {
  sent_.ended(stream_id);
}

}  // namespace cypresswall::routing
