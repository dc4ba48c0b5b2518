#include "cypresswall/routing/cost_router.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cypresswall::routing {
namespace {

/// Added to the cost of an engine that can't meet the limits, so that any that can goes first.
constexpr double kLatePenalty = 100.0;
/// The between-tokens limit is never taken as less than this many lone decode steps.
constexpr double kLoneStepSlack = 1.25;
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
      context_(context),
      directory_(directory),
      table_(directory.table()),
      prefixes_(directory.prefixes()),
      sent_(settings.report_slack, estimates_),
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
  if (slot >= estimates_.size()) {
    estimates_.resize(static_cast<std::size_t>(slot) + 1);
  }
  if (slot >= name_hashes_.size()) {
    name_hashes_.resize(static_cast<std::size_t>(slot) + 1);
    cached_pieces_.resize(static_cast<std::size_t>(slot) + 1);
  }
  const EngineRecord& record = table_.record(slot);
  name_hashes_[slot] = common::hash64(record.declaration.name);
  if (restarted) {
    sent_.forgetEngine(slot);
  }
  if (record.reported) {
    applyReport(estimates_[slot], record.load, record.observed_at);
    sent_.reported(slot, record.observed_at);
  }
}

CostRouter::Work CostRouter::workOf(const RouteRequest& request) const {
  Work work;
  work.prompt_tokens = request.shape.tokens + request.resume_from;
  work.decode_tokens = request.maximum_tokens > request.resume_from
                           ? request.maximum_tokens - request.resume_from
                           : 0;
  work.first_token_limit =
      secondsOr(request.first_token_limit, settings_.default_first_token_limit);
  work.between_tokens_limit =
      secondsOr(request.between_tokens_limit, settings_.default_between_tokens_limit);
  work.has_affinity = !request.shape.pieces.empty();
  work.affinity = work.has_affinity ? request.shape.pieces.front() : 0;
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

void CostRouter::price(Offer& offer, const Work& work, const EngineEstimate& engine) const {
  const double lone_step = engine.decode_step_base + engine.decode_step_per_stream;
  const double step_limit = std::max(work.between_tokens_limit, lone_step * kLoneStepSlack);
  offer.cost = offer.first_token / work.first_token_limit +
               settings_.between_tokens_weight * offer.between_tokens / step_limit;
  const bool waits = offer.wait > common::toSeconds(settings_.negligible_wait);
  double relief = 0;
  if (waits && offer.first_token > work.first_token_limit) {
    relief = std::min(offer.wait, offer.first_token - work.first_token_limit);
  }
  if (offer.between_tokens > step_limit) {
    const double streams = streamsOn(engine) + 1.0;
    const double excess = (offer.between_tokens - step_limit) / engine.decode_step_per_stream;
    const double tokens = engine.queued_decode_tokens + engine.unreported_decode_tokens;
    relief = std::max(relief, tokens / streams * offer.between_tokens * excess / streams);
  }
  offer.relief = relief;
  offer.cost += relief > 0 ? kLatePenalty + relief : 0;
}

CostRouter::Offer CostRouter::offerWhole(EngineSlot slot, const Work& work, double now) const {
  const EngineEstimate& engine = estimates_[slot];
  Offer offer;
  offer.engine = slot;
  const double per_token = wholeSecondsPerPrefillToken(engine, settings_.prefill_chunk_tokens);
  offer.wait = queueSeconds(engine, per_token, now) + slotSeconds(engine);
  offer.between_tokens = stepSeconds(engine);
  offer.first_token = offer.wait + uncachedTokens(slot, work) * per_token + offer.between_tokens;
  price(offer, work, engine);
  return offer;
}

CostRouter::Offer CostRouter::offerPrefill(EngineSlot slot, const Work& work, double now) const {
  const EngineEstimate& engine = estimates_[slot];
  Offer offer;
  offer.engine = slot;
  const double per_token = engine.seconds_per_prefill_token;
  offer.wait = queueSeconds(engine, per_token, now) + slotSeconds(engine);
  offer.first_token = offer.wait + uncachedTokens(slot, work) * per_token;
  price(offer, work, engine);
  return offer;
}

CostRouter::Offer CostRouter::offerDecode(EngineSlot slot, const Work& work) const {
  const EngineEstimate& engine = estimates_[slot];
  Offer offer;
  offer.engine = slot;
  offer.wait = slotSeconds(engine);
  offer.between_tokens = stepSeconds(engine);
  offer.first_token = offer.wait + offer.between_tokens;
  price(offer, work, engine);
  return offer;
}

CostRouter::Offer CostRouter::combine(const Offer& prefill, const Offer& decode,
                                      const Work& work) const {
  Offer offer = decode;
  offer.wait += prefill.wait;
  offer.first_token += prefill.first_token + common::toSeconds(settings_.kv_transfer_base) +
                       settings_.kv_transfer_seconds_per_token * work.prompt_tokens;
  price(offer, work, estimates_[decode.engine]);
  return offer;
}

std::optional<CostRouter::Offer> CostRouter::cheapest(std::vector<Offer>& offers,
                                                      const Work& work) {
  if (offers.empty()) {
    return std::nullopt;
  }
  double least = std::numeric_limits<double>::infinity();
  for (const Offer& offer : offers) {
    least = std::min(least, offer.cost);
  }
  const std::uint64_t salt = work.has_affinity ? work.affinity : context_.random.next();
  const Offer* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const Offer& offer : offers) {
    if (offer.cost > least + settings_.cost_tolerance) {
      continue;
    }
    const std::uint64_t rank = mixBits(name_hashes_[offer.engine] ^ salt);
    if (best == nullptr || rank > best_rank) {
      best = &offer;
      best_rank = rank;
    }
  }
  return *best;
}

void CostRouter::collectOffers(const Work& work, double now) {
  whole_offers_.clear();
  prefill_offers_.clear();
  decode_offers_.clear();
  for (const EngineSlot slot : narrowed_) {
    switch (estimates_[slot].role) {
      case engines::EngineRole::kMixed:
        whole_offers_.push_back(offerWhole(slot, work, now));
        break;
      case engines::EngineRole::kPrefill:
        prefill_offers_.push_back(offerPrefill(slot, work, now));
        break;
      case engines::EngineRole::kDecode:
        // A decode engine computes prompts as well, only slowly.
        decode_offers_.push_back(offerDecode(slot, work));
        whole_offers_.push_back(offerWhole(slot, work, now));
        break;
    }
  }
}

Route CostRouter::makeRoute(const Offer& offer, EngineSlot prefill) const {
  const EngineRecord& record = table_.record(offer.engine);
  Route route;
  route.engine = record.endpoint();
  route.version = record.load.version;
  route.expected_first_token = common::fromSeconds(offer.first_token);
  route.expected_between_tokens = common::fromSeconds(offer.between_tokens);
  const EngineSlot computing = prefill == kNoEngineSlot ? offer.engine : prefill;
  route.expected_cached_pieces = cached_pieces_[computing];
  if (prefill != kNoEngineSlot) {
    route.prefill_engine = table_.record(prefill).endpoint();
  }
  return route;
}

RouteChoice CostRouter::choose(const RouteRequest& request) {
  const Work work = workOf(request);
  const double now = toModelTime(context_.clock.now());
  const auto& all = candidatesFor(request);
  notePrefixes(request);
  narrow(request, all);
  collectOffers(work, now);
  const auto whole = cheapest(whole_offers_, work);
  const auto prefill = cheapest(prefill_offers_, work);
  const auto decode = cheapest(decode_offers_, work);
  std::optional<Offer> split;
  if (prefill && decode) {
    split = combine(*prefill, *decode, work);
  }
  const bool disaggregate = split && (!whole || split->cost < whole->cost);
  const std::optional<Offer> best = disaggregate ? split : whole;
  const bool refused = !best || best->relief > 0;
  if (request.resume_from == 0 && request.excluded.empty()) {
    const double uncached =
        best && !disaggregate ? uncachedTokens(best->engine, work) : work.prompt_tokens;
    demand_.asked(request.model, static_cast<std::uint64_t>(uncached),
                  static_cast<std::uint64_t>(work.decode_tokens), refused);
  }
  RouteChoice choice;
  if (!best) {
    choice = refuseWithoutEngine(request.model);
    refused_no_engine_.add();
  } else if (refused) {
    choice = refuse(*best, work, request.model);
    refused_overloaded_.add();
  } else {
    choice = makeRoute(*best, disaggregate ? prefill->engine : kNoEngineSlot);
    (disaggregate ? routed_disaggregated_ : routed_).add();
  }
  clearPrefixes();
  return choice;
}

common::Duration CostRouter::boundedRetry(double seconds) const {
  const double stretched = seconds * (1.0 + kRetryJitter * context_.random.unit());
  return std::clamp(common::fromSeconds(stretched), settings_.minimum_retry_after,
                    settings_.maximum_retry_after);
}

RouteRefusal CostRouter::refuse(const Offer& best, const Work& work,
                                const common::ModelName& model) {
  // Callers told earlier to come back take the next places; this one comes after them. The other
  // nodes refuse about as many as this one.
  const double now = toModelTime(context_.clock.now());
  double& promised = promised_until_[model];
  promised = std::max(promised, now);
  const double after_promised = promised - now;
  const EngineEstimate& engine = estimates_[best.engine];
  const double service = work.prompt_tokens * engine.seconds_per_prefill_token;
  promised += service * static_cast<double>(directory_.aliveNodes()) /
              static_cast<double>(std::max<std::size_t>(narrowed_.size(), 1));
  promised = std::min(promised, now + common::toSeconds(settings_.maximum_retry_after));
  RouteRefusal refusal;
  refusal.reason = RouteFailure::kOverloaded;
  refusal.retry_after = boundedRetry(best.relief + after_promised);
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
  if (computing != kNoEngineSlot) {
    shares.push_back({computing, uncached, computing == engine ? work.decode_tokens : 0});
    for (const common::PieceHash piece : request.shape.pieces) {
      prefixes_.stored(computing, piece);
    }
  }
  if (engine != kNoEngineSlot && engine != computing) {
    shares.push_back({engine, 0, work.decode_tokens});
  }
  sent_.started(request.stream_id, shares, context_.clock.now());
}

void CostRouter::firstTokenReceived(const std::string& stream_id) { sent_.firstToken(stream_id); }

void CostRouter::attemptFinished(const std::string& stream_id) { sent_.ended(stream_id); }

void CostRouter::attemptFailed(const std::string& stream_id, engines::StreamFailure) {
  sent_.ended(stream_id);
}

}  // namespace cypresswall::routing
