#include "cypresswall/routing/cost_router.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

#include "cypresswall/routing/shared_part.h"

namespace cypresswall::routing {
namespace {

/// Retry-After is extended at random by up to this share, so that callers don't retry in lockstep.
constexpr double kRetryJitter = 0.25;
/// Retry-After when no engine of a model is available.
constexpr double kNoEngineRetrySeconds = 2.0;

/// Cost added to a decode engine for a long answer if long answers are consolidated on other
/// engines. Lower than kLatePenalty, so that meeting the limits matters more.
constexpr double kNonHostPenalty = 10.0;

/// Lower bound of a divisor in seconds.
constexpr double kNegligibleSeconds = 1e-9;

/// Finalizer of splitmix64, to mix the bits of `value`.
std::uint64_t mixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31);
}

/// Counts the engines with the role "prefill" or "mixed", and those among them on which the prompt
/// would have to wait.
class Contention {
 public:
  void count(const CostInputs& engine, const Offer& offer) {
    if (engine.role != engines::EngineRole::kDecode) {
      ++computing_;
      waiting_ += offer.wait > 0 ? 1 : 0;
    }
  }
  double share() const { return waiting_ / std::max(computing_, 1.0); }

 private:
  double computing_ = 0;
  double waiting_ = 0;
};

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
      long_prompts_(settings_, model_, context.clock, directory, estimates_),
      output_speeds_(settings.output_speed),
      outputs_(settings_, context, table_, estimates_),
      connection_saving_(common::toSeconds(settings.connection_discount)),
      tie_break_salt_(context.random.next()),
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
    cached_tokens_.resize(static_cast<std::size_t>(slot) + 1);
    last_attempt_.resize(static_cast<std::size_t>(slot) + 1);
    output_hosting_.resize(static_cast<std::size_t>(slot) + 1);
  }
  const EngineRecord& record = table_.record(slot);
  name_hashes_[slot] = common::hash64(record.declaration.name);
  if (restarted) {
    sent_.forgetEngine(slot);
    long_prompts_.forgetEngine(slot);
    outputs_.forgetEngine(slot);
  }
  if (record.reported) {
    applyReport(estimates_.edit(slot), record.load, record.observed_at);
    prefixes_.setCapacity(
        slot, std::uint64_t{record.load.cache_pieces_total} * common::kTokensPerCachePiece);
    estimates_.edit(slot).step_scale = output_speeds_.scale(record.load.model);
    estimates_.edit(slot).stream_remaining = output_speeds_.remainingSeconds(record.load.model);
    sent_.reported(slot, record.observed_at);
    long_prompts_.refresh(slot);
    estimates_.refresh(slot);
    outputs_.reported(slot);
  }
}

RequestWork CostRouter::workOf(const RouteRequest& request) const {
  RequestWork work;
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
  const std::size_t pieces = affinityPieces(request.shape);
  work.affinity = sharedPartOf(request.shape);
  work.affinity_tokens = request.shape.tokensOfPieces(pieces);
  work.finish_limit = common::toSeconds(request.finish_limit);
  return work;
}

void CostRouter::prepareRisk(RequestWork& work, const common::ModelName& model) {
  if (!outputs_.enabled()) {
    return;
  }
  risk_ = outputs_.risk(model);
  risk_.stream_remaining = output_speeds_.remainingSeconds(model);
  work.log_between_limit = std::log(work.between_tokens_limit);
  work.risk = &risk_;
}

double CostRouter::hostFill(double places) const {
  if (!outputs_.enabled() || risk_.prompt_pause <= 0 || decode_order_.empty()) {
    return settings_.output_fill;
  }
  // Consolidation pays while the pauses that the additional streams cause are shorter than those
  // that prompts cause on an engine that computes them between its steps.
  const EngineEstimate& engine = estimates_.estimate(decode_order_.front());
  const double usual_pause = std::exp(risk_.pauses.meanLog() + risk_.pauses.deviationLog());
  const double added = engine.decode_step_per_stream * engine.tokens_per_delivery * usual_pause;
  const double streams = risk_.prompt_pause / std::max(added, kNegligibleSeconds);
  return std::clamp(streams / places, 1.0 / places, settings_.output_fill);
}

const std::vector<EngineSlot>& CostRouter::candidatesFor(const RouteRequest& request) {
  const auto& exact =
      table_.candidates(request.model, request.version, request.adapter, request.build);
  // An answer that has begun must be continued by the same version.
  if (!exact.empty() || request.version.empty() || request.resume_from > 0) {
    return exact;
  }
  const auto& any = table_.candidates(request.model, "", request.adapter, request.build);
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
  // Done before `request.excluded` is applied, so that `exhausted_` also includes engines that
  // refused a permit to this request: it determines Retry-After.
  excludeExhausted();
  for (const common::EngineName& name : request.excluded) {
    std::erase(narrowed_, table_.slotOf(name));
  }
}

void CostRouter::excludeExhausted() {
  exhausted_.clear();
  if (directory_.rateLimiter() == nullptr) {
    return;
  }
  for (const common::EngineName& name : directory_.rateLimiter()->exhausted()) {
    if (std::erase(narrowed_, table_.slotOf(name)) != 0) {
      exhausted_.push_back(name);
    }
  }
}

void CostRouter::lookUpPrefixes(const RouteRequest& request) {
  prefixes_.match(request.shape.pieces, matches_);
  for (const PrefixMatch& match : matches_) {
    if (match.engine < cached_tokens_.size()) {
      const double tokens = request.shape.tokensOfPieces(match.pieces);
      cached_tokens_[match.engine] =
          static_cast<std::uint32_t>(std::lround(tokens * prefixes_.trust(match.engine)));
    }
  }
  findPrefixSource(request);
}

void CostRouter::findPrefixSource(const RouteRequest& request) {
  prefix_source_ = kNoEngineSlot;
  source_tokens_ = 0;
  if (!settings_.copies_prefixes) {
    return;
  }
  for (const PrefixMatch& match : matches_) {
    const std::uint32_t tokens =
        match.engine < cached_tokens_.size() ? cached_tokens_[match.engine] : 0;
    const EngineRecord& record = table_.record(match.engine);
    const bool usable =
        tokens > source_tokens_ && record.availability == EngineAvailability::kAvailable &&
        (!request.build || record.declaration.build == *request.build) &&
        !long_prompts_.overdue(match.engine) &&
        !long_prompts_.beingComputed(match.engine, request.shape.pieces[match.pieces - 1]);
    if (usable) {
      prefix_source_ = match.engine;
      source_tokens_ = tokens;
    }
  }
}

void CostRouter::clearPrefixes() {
  for (const PrefixMatch& match : matches_) {
    if (match.engine < cached_tokens_.size()) {
      cached_tokens_[match.engine] = 0;
    }
  }
}

PromptWork CostRouter::promptWork(EngineSlot slot, const RequestWork& work) const {
  PromptWork prompt;
  const std::uint32_t cached = cached_tokens_[slot];
  prompt.cached = cached;
  prompt.uncached = std::max(0.0, work.prompt_tokens - cached);
  if (prefix_source_ != kNoEngineSlot && prefix_source_ != slot &&
      source_tokens_ >= cached + settings_.minimum_copied_tokens) {
    prompt.copied = source_tokens_ - cached;
    prompt.uncached = std::max(0.0, prompt.uncached - prompt.copied);
  }
  return prompt;
}

void CostRouter::chooseOutputHosts() {
  if (!settings_.consolidates_long_answers) {
    return;
  }
  decode_order_.clear();
  double outputs = 0;
  double places = 1;
  for (const EngineSlot slot : narrowed_) {
    const EngineEstimate& engine = estimates_.estimate(slot);
    output_hosting_[slot] = OutputHosting::kNonHost;
    if (engine.role == engines::EngineRole::kDecode) {
      decode_order_.push_back(slot);
      outputs += engine.output_streams;
      places = std::max<double>(places, engine.maximum_streams);
    }
  }
  const double needed = std::ceil(outputs / (hostFill(places) * places)) + 1;
  const double least =
      std::ceil(settings_.minimum_host_share * static_cast<double>(decode_order_.size()));
  const auto hosts =
      std::min(decode_order_.size(), static_cast<std::size_t>(std::max(needed, least)));
  // Selects the fastest engines, and among equally fast ones in order of their name hashes, so that
  // nodes with the same candidates select the same hosts without communication.
  std::partial_sort(decode_order_.begin(),
                    decode_order_.begin() + static_cast<std::ptrdiff_t>(hosts), decode_order_.end(),
                    [this](EngineSlot left, EngineSlot right) {
                      return std::pair(outputs_.speedClass(left), name_hashes_[left]) <
                             std::pair(outputs_.speedClass(right), name_hashes_[right]);
                    });
  for (std::size_t i = 0; i < hosts; ++i) {
    output_hosting_[decode_order_[i]] = OutputHosting::kHost;
  }
}

bool CostRouter::offOutputHost(EngineSlot slot, const RequestWork& work) const {
  return output_hosting_[slot] == OutputHosting::kNonHost &&
         work.decode_tokens >= settings_.output_speed.minimum_tokens;
}

bool CostRouter::delaysDecoding(EngineSlot slot, const RequestWork& work, const PromptWork& prompt,
                                double now) const {
  const CostInputs& engine = estimates_.inputs(slot);
  if (engine.role != engines::EngineRole::kDecode ||
      prompt.uncached <= settings_.prefill_chunk_tokens) {
    return false;
  }
  const double computing = OfferModel::computingSeconds(engine, prompt);
  if (hostsOutput(slot)) {
    return OfferModel::prefillWait(engine, now) + computing >
           work.between_tokens_limit * settings_.host_decode_delay_share;
  }
  return computing > work.between_tokens_limit * settings_.decode_delay_share;
}

void CostRouter::chargeOccupancy() {
  for (auto* const priced : {&prefill_engines_, &whole_engines_}) {
    for (PricedEngine& engine : *priced) {
      engine.cost += contention_ * engine.occupancy;
    }
  }
}

void CostRouter::priceEngines(const RequestWork& work, double now) {
  whole_engines_.clear();
  prefill_engines_.clear();
  decode_engines_.clear();
  chooseOutputHosts();
  Contention contention;
  for (const EngineSlot slot : narrowed_) {
    const CostInputs& engine = estimates_.inputs(slot);
    const PromptWork prompt = promptWork(slot, work);
    if (engine.role == engines::EngineRole::kPrefill) {
      const Offer offer = model_.prefill(engine, work, prompt, now);
      prefill_engines_.push_back({offer.cost, slot, false, offer.occupancy});
      contention.count(engine, offer);
      continue;
    }
    // Decode engines can also compute prompts, but slowly. Mixed engines can also generate the
    // output for prompts that prefill engines computed.
    const Offer offer = model_.whole(engine, work, prompt, now);
    const double output = OfferModel::outputCost(engine, work, offer.first_token,
                                                 OfferModel::computingSeconds(engine, prompt));
    whole_engines_.push_back(
        {offer.cost + output, slot, delaysDecoding(slot, work, prompt, now), offer.occupancy});
    contention.count(engine, offer);
  }
  contention_ = contention.share();
  chargeOccupancy();
  if (prefill_engines_.empty()) {
    return;
  }
  for (PricedEngine& whole : whole_engines_) {
    const Offer offer = model_.decode(estimates_.inputs(whole.engine), work, now);
    const double penalty = offOutputHost(whole.engine, work) ? kNonHostPenalty : 0.0;
    const double output =
        OfferModel::outputCost(estimates_.inputs(whole.engine), work, offer.first_token, 0);
    decode_engines_.push_back({offer.cost + output + penalty, whole.engine});
    whole.cost += (whole.delays_decoding ? kLatePenalty : 0.0) + penalty;
  }
}

double CostRouter::computingTolerance(const RequestWork& work) const {
  if (work.affinity == 0 || !settings_.copies_prefixes || !matches_.empty()) {
    return settings_.cost_tolerance;
  }
  // No engine holds the shared part yet. Each additional engine that receives prompts with it would
  // have to compute all of it again, so a higher cost is accepted to keep them on one engine.
  double least = std::numeric_limits<double>::infinity();
  for (const EngineSlot slot : narrowed_) {
    least = std::min<double>(least, estimates_.inputs(slot).seconds_per_prefill_token);
  }
  return settings_.cost_tolerance +
         settings_.affinity_share * work.affinity_tokens * least * work.inverse_first_token_limit;
}

EngineSlot CostRouter::cheapest(const std::vector<PricedEngine>& engines, const RequestWork& work,
                                double tolerance) {
  double least = std::numeric_limits<double>::infinity();
  for (const PricedEngine& engine : engines) {
    least = std::min(least, engine.cost);
  }
  const double limit = least + tolerance;
  equals_.clear();
  std::copy_if(engines.begin(), engines.end(), std::back_inserter(equals_),
               [limit](const PricedEngine& engine) { return engine.cost <= limit; });
  if (!connected_.empty() && (work.affinity == 0 || &engines == &decode_engines_)) {
    preferConnected(least + connection_saving_ * work.inverse_first_token_limit);
  }
  return work.affinity != 0 ? preferredByHash(equals_, work.affinity) : leastRecentlyUsed(equals_);
}

void CostRouter::preferConnected(double limit) {
  const auto preferred = [this, limit](const PricedEngine& engine) {
    return engine.cost <= limit && connected_.contains(engine.engine);
  };
  if (std::any_of(equals_.begin(), equals_.end(), preferred)) {
    std::erase_if(equals_, [&preferred](const auto& engine) { return !preferred(engine); });
  }
}

void CostRouter::lookUpConnections(const RouteRequest& request) {
  connected_.clear();
  if (connection_saving_ <= 0) {
    return;
  }
  for (const common::EngineName& name : request.connected) {
    connected_.insert(table_.slotOf(name));
  }
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

EngineSlot CostRouter::leastRecentlyUsed(const std::vector<PricedEngine>& equals) const {
  const auto turn = [this](EngineSlot slot) {
    const bool full = estimates_.inputs(slot).slot_wait > 0;
    return std::tuple(full, last_attempt_[slot], mixBits(name_hashes_[slot] ^ tie_break_salt_));
  };
  const auto next = std::min_element(equals.begin(), equals.end(),
                                     [&turn](const PricedEngine& a, const PricedEngine& b) {
                                       return turn(a.engine) < turn(b.engine);
                                     });
  return next == equals.end() ? kNoEngineSlot : next->engine;
}

CostRouter::Selection CostRouter::select(const RequestWork& work, double now) {
  priceEngines(work, now);
  const double tolerance = computingTolerance(work);
  Selection whole;
  whole.engine = cheapest(whole_engines_, work, tolerance);
  if (!whole.empty()) {
    const CostInputs& engine = estimates_.inputs(whole.engine);
    const PromptWork prompt = promptWork(whole.engine, work);
    whole.offer = model_.whole(engine, work, prompt, now);
    whole.offer.delays_decoding =
        !prefill_engines_.empty() && delaysDecoding(whole.engine, work, prompt, now);
    whole.offer.cost += whole.offer.delays_decoding ? kLatePenalty : 0.0;
    whole.offer.cost += contention_ * whole.offer.occupancy;
    whole.offer.cost += OfferModel::outputCost(engine, work, whole.offer.first_token,
                                               OfferModel::computingSeconds(engine, prompt));
  }
  Selection split;
  split.engine = cheapest(decode_engines_, work, settings_.cost_tolerance);
  split.prefill = cheapest(prefill_engines_, work, tolerance);
  if (split.empty() || !split.split()) {
    return whole;
  }
  const CostInputs& decode = estimates_.inputs(split.engine);
  const Offer prefill =
      model_.prefill(estimates_.inputs(split.prefill), work, promptWork(split.prefill, work), now);
  split.offer = model_.combined(prefill, model_.decode(decode, work, now), decode, work);
  split.offer.cost += contention_ * split.offer.occupancy;
  split.offer.cost += OfferModel::outputCost(decode, work, split.offer.first_token, 0);
  return whole.empty() || split.offer.cost < whole.offer.cost ? split : whole;
}

Route CostRouter::makeRoute(const Selection& selection, const RequestWork& work) const {
  const EngineRecord& record = table_.record(selection.engine);
  Route route;
  route.engine = record.endpoint();
  route.version = record.load.version;
  route.build = record.declaration.build;
  route.expected_first_token = common::fromSeconds(selection.offer.first_token);
  route.expected_between_tokens = common::fromSeconds(selection.offer.between_tokens);
  const PromptWork prompt = promptWork(selection.computing(), work);
  const CostInputs& computing = estimates_.inputs(selection.computing());
  route.expected_cached_tokens = cached_tokens_[selection.computing()];
  route.expected_copied_tokens = static_cast<std::uint32_t>(prompt.copied);
  route.expected_prompt = common::fromSeconds(model_.promptSeconds(computing, prompt));
  route.known_holders = static_cast<std::uint32_t>(matches_.size());
  route.shared_part = work.affinity;
  route.expected_wait = common::fromSeconds(selection.offer.wait);
  if (prompt.copied > 0) {
    route.prefix_source = table_.record(prefix_source_).endpoint();
  }
  if (selection.split()) {
    route.prefill_engine = table_.record(selection.prefill).endpoint();
  }
  return route;
}

void CostRouter::countDemand(const RouteRequest& request, const RequestWork& work,
                             const Selection& selection) {
  // Retries and continuations of a request are no new demand.
  if (request.resume_from > 0 || !request.excluded.empty()) {
    return;
  }
  const bool refused = selection.empty() || !selection.offer.meetsLimits();
  planning::RequestDemand demand;
  double uncached = work.prompt_tokens;
  if (!selection.empty()) {
    const PromptWork prompt = promptWork(selection.computing(), work);
    const CostInputs& engine = estimates_.inputs(selection.computing());
    uncached = prompt.uncached;
    demand.split = selection.split();
    const EngineEstimate& output = estimates_.estimate(selection.engine);
    const double places = std::max<double>(output.maximum_streams, 1.0);
    demand.output_time =
        common::fromSeconds(work.decode_tokens * stepSeconds(output, places) / places);
    const CostInputs& decode_engine = estimates_.inputs(selection.engine);
    demand.flexible = uncached > settings_.prefill_chunk_tokens &&
                      uncached * decode_engine.seconds_per_prefill_token <
                          work.between_tokens_limit * settings_.decode_delay_share;
    demand.prompt_time = common::fromSeconds(model_.occupyingSeconds(engine, prompt));
  }
  demand.prefill_tokens = static_cast<std::uint64_t>(uncached);
  demand.decode_tokens = static_cast<std::uint64_t>(work.decode_tokens);
  demand.refused = refused;
  demand.is_long = uncached > settings_.prefill_chunk_tokens;
  directory_.demand().record(request.model, demand);
}

RouteChoice CostRouter::choose(const RouteRequest& request) {
  if (directory_.catchingUp()) {
    refused_no_engine_.add();
    // The list of engines may be outdated as well: that a model or a build has none isn't known.
    RouteRefusal refusal;
    refusal.retry_after = boundedRetry(kNoEngineRetrySeconds);
    refusal.message = "this node was paused and learns the state of the engines anew";
    return refusal;
  }
  RequestWork work = workOf(request);
  prepareRisk(work, request.model);
  const auto& all = candidatesFor(request);
  lookUpPrefixes(request);
  lookUpConnections(request);
  narrow(request, all);
  const Selection selection = select(work, toModelTime(context_.clock.now()));
  countDemand(request, work, selection);
  RouteChoice choice;
  if (selection.empty()) {
    choice = exhausted_.empty() ? refuseWithoutEngine(request) : refuseExhausted(request.model);
    refused_no_engine_.add();
  } else if (!selection.offer.meetsLimits()) {
    choice = refuse(selection, work, request.model);
    refused_overloaded_.add();
  } else {
    choice = makeRoute(selection, work);
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

RouteRefusal CostRouter::refuse(const Selection& best, const RequestWork& work,
                                const common::ModelName& model) {
  // The retries of callers refused earlier use capacity first, so this caller is told to retry
  // after them. The other nodes that route to these engines are assumed to refuse as many callers
  // as this node.
  const double now = toModelTime(context_.clock.now());
  double& promised = promised_until_[model];
  promised = std::max(promised, now);
  const double after_promised = promised - now;
  const CostInputs& engine = estimates_.inputs(best.computing());
  const double service = work.prompt_tokens * engine.seconds_per_prefill_token;
  const double relief =
      secondsUntilWithinLimits(best.offer, work, estimates_.estimate(best.engine));
  promised += service * static_cast<double>(directory_.groups().routingNodesPerEngine()) /
              static_cast<double>(std::max<std::size_t>(narrowed_.size(), 1));
  promised = std::min(promised, now + common::toSeconds(settings_.maximum_retry_after));
  RouteRefusal refusal;
  refusal.reason = RouteFailure::kOverloaded;
  refusal.retry_after = boundedRetry(relief + after_promised);
  refusal.message = "no engine of model " + model + " can meet the request's limits now";
  const EngineRecord& record = table_.record(best.computing());
  refusal.best = RefusedOffer{record.declaration.name, common::fromSeconds(best.offer.wait),
                              common::fromSeconds(best.offer.first_token),
                              common::fromSeconds(work.first_token_limit),
                              context_.clock.now() - record.observed_at};
  return refusal;
}

RouteRefusal CostRouter::refuseWithoutEngine(const RouteRequest& request) const {
  const common::ModelName& model = request.model;
  RouteRefusal refusal;
  if (!table_.knowsModel(model)) {
    refusal.reason = RouteFailure::kUnknownModel;
    refusal.message = "no engine of this zone serves model " + model;
    return refusal;
  }
  if (request.build && !table_.hasEngineOfBuild(model, *request.build)) {
    refusal.reason = RouteFailure::kNoEngineOfBuild;
    refusal.message = noEngineOfBuild(model, *request.build);
    return refusal;
  }
  const auto pause_end = table_.earliestPauseEnd(model);
  refusal.reason = RouteFailure::kOverloaded;
  refusal.retry_after = boundedRetry(
      pause_end ? common::toSeconds(*pause_end - context_.clock.now()) : kNoEngineRetrySeconds);
  refusal.message = "no engine of model " + model + " is available now";
  return refusal;
}

RouteRefusal CostRouter::refuseExhausted(const common::ModelName& model) const {
  RouteRefusal refusal;
  refusal.retry_after = directory_.rateLimiter()->retryAfter(
      model, exhausted_, directory_.groups().routingNodesPerEngine());
  refusal.message = "engines of model " + model + " take no more requests for now";
  return refusal;
}

void CostRouter::attemptStarted(const RouteRequest& request, const Route& route) {
  const EngineSlot engine = table_.slotOf(route.engine.name);
  const EngineSlot prefill =
      route.prefill_engine ? table_.slotOf(route.prefill_engine->name) : kNoEngineSlot;
  const EngineSlot computing = route.prefill_engine ? prefill : engine;
  const RequestWork work = workOf(request);
  PromptWork prompt;
  prompt.copied = route.expected_copied_tokens;
  prompt.cached = route.expected_cached_tokens;
  prompt.uncached =
      std::max(0.0, work.prompt_tokens - route.expected_cached_tokens - prompt.copied);
  std::vector<WorkShare> shares;
  ++attempts_;
  if (computing != kNoEngineSlot) {
    last_attempt_[computing] = attempts_;
    shares.push_back({computing, prompt.uncached, computing == engine ? work.decode_tokens : 0});
    long_prompts_.started(request.stream_id, computing,
                          engine == computing ? kNoEngineSlot : engine, prompt, request.shape);
    prefixes_.expectStored(computing, request.shape, context_.clock.now());
  }
  if (engine != kNoEngineSlot && engine != computing) {
    last_attempt_[engine] = attempts_;
    shares.push_back({engine, 0, work.decode_tokens});
  }
  sent_.started(request.stream_id, shares, context_.clock.now());
  if (engine != kNoEngineSlot) {
    outputs_.started(request.stream_id, engine, work.decode_tokens);
    if (computing == engine) {
      outputs_.promptSent(engine, model_.occupyingSeconds(estimates_.inputs(engine), prompt));
    }
    awaited_outputs_[request.stream_id] = {engine, work.decode_tokens - 1};
  }
}

void CostRouter::promptComputed(const std::string& stream_id) {
  long_prompts_.computed(stream_id);
  sent_.firstToken(stream_id);
}

void CostRouter::firstTokenReceived(const std::string& stream_id) {
  promptComputed(stream_id);
  outputs_.firstToken(stream_id);
  const auto awaited = awaited_outputs_.extract(stream_id);
  if (awaited.empty()) {
    return;
  }
  const EngineSlot slot = awaited.mapped().engine;
  const EngineEstimate& engine = estimates_.estimate(slot);
  // On an engine with long prompts, the time to compute them between steps would be counted as step
  // time.
  const bool measurable = !outputs_.enabled() && !engine.has_backlog &&
                          awaited.mapped().tokens >= settings_.output_speed.minimum_tokens;
  const double step = stepSeconds(engine, streamsOn(engine)) / engine.step_scale;
  output_speeds_.begin(stream_id, table_.record(slot).load.model,
                       measurable ? awaited.mapped().tokens * step : 0,
                       toModelTime(context_.clock.now()));
}

void CostRouter::outputReceived(const std::string& stream_id, const OutputSample& sample) {
  outputs_.received(stream_id, sample);
}

void CostRouter::answerCompleted(const std::string& stream_id) {
  outputs_.completed(stream_id);
  output_speeds_.complete(stream_id, toModelTime(context_.clock.now()));
}

void CostRouter::attemptFinished(const std::string& stream_id) {
  awaited_outputs_.erase(stream_id);
  output_speeds_.forget(stream_id);
  outputs_.ended(stream_id);
  long_prompts_.abandoned(stream_id);
  sent_.ended(stream_id);
}

bool CostRouter::takesWork(const engines::EngineEndpoint& engine) const {
  const EngineSlot slot = table_.slotOf(engine.name);
  return slot != kNoEngineSlot &&
         table_.record(slot).availability == EngineAvailability::kAvailable;
}

void CostRouter::attemptFailed(const std::string& stream_id, const common::EngineName& engine,
                               engines::StreamFailure failure) {
  attemptFinished(stream_id);
  directory_.ejection().attemptFailed(table_.slotOf(engine), failure);
}

}  // namespace cypresswall::routing
