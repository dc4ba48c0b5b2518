/// Expected times of one request on one engine, and the cost by which engines are compared. The
/// functions are inline because each choice evaluates every candidate engine, within microseconds
/// in total.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "cypresswall/engine_speed/ratio_distribution.h"
#include "cypresswall/routing/cost_model.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Added to the cost of an engine that can't meet the limits, so that any engine that can is
/// preferred.
inline constexpr double kLatePenalty = 100.0;
/// Added to the cost of an engine whose stream slots are all in use. Lower than kLatePenalty, so
/// that meeting the limits matters more.
inline constexpr double kFullPenalty = 30.0;

/// How the output of a model's streams deviates from what is expected, and what that costs.
struct OutputRisk {
  engine_speed::RatioDistribution pauses;
  engine_speed::RatioDistribution durations;
  /// Mean remaining seconds of a running stream.
  double stream_remaining = 0;
  /// Mean pause that a prompt computed between steps causes.
  double prompt_pause = 0;
  /// RouterSettings::late_output_weight.
  double weight = 0;
};

/// The work and the limits of a request; times in seconds.
struct RequestWork {
  double prompt_tokens = 0;
  double decode_tokens = 0;
  double first_token_limit = 0;
  double between_tokens_limit = 0;
  double inverse_first_token_limit = 0;
  double inverse_between_tokens_limit = 0;
  /// Hash of the last piece of the prefix shared with other prompts. Prompts with the same hash are
  /// routed to the same engine if costs are about equal. Zero if there is no shared prefix or it is
  /// too short.
  std::uint64_t affinity = 0;
  /// Number of prompt tokens up to the end of that piece.
  double affinity_tokens = 0;
  /// Time until the answer must be complete; zero if there is no limit.
  double finish_limit = 0;
  double log_between_limit = 0;
  /// Null if the output of other streams is not weighed.
  const OutputRisk* risk = nullptr;
};

/// How an engine obtains the KV cache of a whole prompt, in prompt tokens.
struct PromptWork {
  /// Tokens that the engine computes.
  double uncached = 0;
  /// Tokens that the engine copies from another engine's cache.
  double copied = 0;
  /// Tokens that the engine's cache already holds.
  double cached = 0;

  /// \return number of pairs of a computed token and an earlier one, for the cost of attention
  double pairs() const {
    constexpr double kHalf = 0.5;
    return uncached * (cached + copied + kHalf * uncached);
  }
};

/// Expected times of a request on one engine, or on a prefill and a decode engine together; in
/// seconds.
struct Offer {
  double cost = 0;
  /// Cost of the delay of other requests, for the case that prompts are queued on every engine: the
  /// time for which the prompt occupies the engine, plus the time to recompute the cached tokens
  /// that are evicted for copied ones. Not included in `cost`.
  double occupancy = 0;
  double wait = 0;
  double first_token = 0;
  double between_tokens = 0;
  /// Largest acceptable time between tokens of this request on this engine.
  double step_limit = 0;
  /// The first token would be late, and the request would have to wait in a queue. Never set if the
  /// wait is negligible.
  bool late = false;
  /// The prompt would delay the output of a decode engine too much, although there are prefill
  /// engines that could compute it.
  bool delays_decoding = false;

  bool meetsLimits() const { return !late && !delays_decoding && between_tokens <= step_limit; }
};

/// Computes offers with one router's settings.
class OfferModel {
 public:
  explicit OfferModel(const RouterSettings& settings)
      : between_weight_(settings.between_tokens_weight),
        occupancy_weight_(settings.occupancy_weight),
        displacement_share_(settings.displacement_share),
        negligible_wait_(common::toSeconds(settings.negligible_wait)),
        kv_base_(common::toSeconds(settings.kv_transfer_base)),
        copy_base_(common::toSeconds(settings.prefix_copy_base)),
        kv_per_token_(common::toSeconds(settings.kv_transfer_per_thousand_tokens) / kThousand) {}

  /// \return the offer of an engine that runs the whole request
  Offer whole(const CostInputs& engine, const RequestWork& work, const PromptWork& prompt,
              double now) const {
    Offer offer;
    offer.wait = wait(engine, now);
    offer.between_tokens = engine.between_tokens;
    offer.first_token = offer.wait + promptSeconds(engine, prompt) + engine.step;
    offer.occupancy = occupancy(engine, work, prompt);
    setCost(offer, work, engine);
    return offer;
  }
  /// \return the offer of an engine that only computes the prompt
  Offer prefill(const CostInputs& engine, const RequestWork& work, const PromptWork& prompt,
                double now) const {
    Offer offer;
    offer.wait = wait(engine, now);
    offer.first_token = offer.wait + promptSeconds(engine, prompt);
    offer.occupancy = occupancy(engine, work, prompt);
    setCost(offer, work, engine);
    return offer;
  }
  /// \return seconds from sending the prompt until it is computed, without queueing
  double promptSeconds(const CostInputs& engine, const PromptWork& prompt) const {
    return engine.prefill_fixed_latency + occupyingSeconds(engine, prompt);
  }
  /// \return seconds for which the prompt occupies the engine
  double occupyingSeconds(const CostInputs& engine, const PromptWork& prompt) const {
    return computingSeconds(engine, prompt) + copyingSeconds(engine, prompt.copied);
  }
  /// \return seconds until the engine will have computed the prompts that were sent to it before
  static double prefillWait(const CostInputs& engine, double now) {
    const double queue = std::max(0.0, engine.queue_empty_at - now) + engine.unreported_wait;
    return std::max(queue, backlogWait(engine, now));
  }
  /// \return seconds to compute the prompt's uncached tokens
  static double computingSeconds(const CostInputs& engine, const PromptWork& prompt) {
    return prompt.uncached * engine.seconds_per_prefill_token +
           prompt.pairs() * engine.prefill_seconds_per_pair;
  }
  /// \return seconds to copy the KV cache of `tokens` tokens from another engine
  double copyingSeconds(const CostInputs& engine, double tokens) const {
    if (tokens <= 0) {
      return 0;
    }
    const double per_token =
        engine.kv_seconds_per_token > 0 ? engine.kv_seconds_per_token : kv_per_token_;
    return copy_base_ + per_token * tokens;
  }
  /// \return the offer of an engine that generates the output after a prefill engine has computed
  ///   the prompt
  Offer decode(const CostInputs& engine, const RequestWork& work, double now) const {
    Offer offer;
    offer.wait = wait(engine, now);
    offer.between_tokens = engine.between_tokens;
    offer.first_token = offer.wait + engine.step;
    setCost(offer, work, engine);
    return offer;
  }
  /// \return the cost of one more stream of output on an engine: the probability that the stream
  ///   has a pause over its limit or ends too late, and the increase of the probability of such
  ///   pauses in the engine's other streams, for the time for which they run together
  /// \param first_token expected seconds until the first token
  /// \param prompt_seconds time to compute the prompt, if the engine computes it between the steps
  ///   of these streams
  static double outputCost(const CostInputs& engine, const RequestWork& work, double first_token,
                           double prompt_seconds) {
    if (work.risk == nullptr) {
      return 0;
    }
    const OutputRisk& risk = *work.risk;
    const double duration = work.decode_tokens * engine.step;
    const double together = duration / std::max(duration + risk.stream_remaining, kTinySeconds);
    const double with = risk.pauses.exceeds(work.log_between_limit - engine.log_between_next);
    const double without = risk.pauses.exceeds(work.log_between_limit - engine.log_between_now);
    double late = together * (with + engine.streams * (with - without));
    if (prompt_seconds > 0 && risk.stream_remaining > 0) {
      const double pause = engine.between_tokens + prompt_seconds;
      const double share = pause / (pause + risk.stream_remaining);
      const double delayed = risk.pauses.exceeds(work.log_between_limit - std::log(pause));
      late += share * engine.streams * std::max(0.0, delayed - with);
    }
    if (work.finish_limit > 0) {
      const double left = std::max(work.finish_limit - first_token, kTinySeconds);
      late += risk.durations.exceeds(std::log(left / std::max(duration, kTinySeconds)));
    }
    return risk.weight * late + (engine.full ? kFullPenalty : 0.0);
  }
  /// \return the offer of a prefill engine and a decode engine that share the request
  /// \param decode_engine the engine that made the offer `decode`
  Offer combined(const Offer& prefill, const Offer& decode, const CostInputs& decode_engine,
                 const RequestWork& work) const {
    Offer offer = decode;
    offer.wait += prefill.wait;
    offer.first_token +=
        prefill.first_token + kv_base_ + copyingSeconds(decode_engine, work.prompt_tokens);
    offer.occupancy = prefill.occupancy;
    setCost(offer, work, decode_engine);
    return offer;
  }

 private:
  static constexpr double kThousand = 1000;
  static constexpr double kTinySeconds = 1e-6;

  static double wait(const CostInputs& engine, double now) {
    return prefillWait(engine, now) + engine.slot_wait;
  }

  /// \return seconds until the engine will have computed its long prompts. If the engine is late
  ///   with them, it is expected to need as much more time as it is already late.
  static double backlogWait(const CostInputs& engine, double now) {
    return engine.has_backlog ? std::abs(engine.backlog_empty_at - now) : 0.0;
  }

  double occupancy(const CostInputs& engine, const RequestWork& work,
                   const PromptWork& prompt) const {
    const double displaced = displacement_share_ * prompt.copied * engine.seconds_per_prefill_token;
    return occupancy_weight_ * (occupyingSeconds(engine, prompt) + displaced) *
           work.inverse_first_token_limit;
  }

  void setCost(Offer& offer, const RequestWork& work, const CostInputs& engine) const {
    offer.step_limit =
        std::max<double>(engine.relaxed_single_stream_step, work.between_tokens_limit);
    offer.late = offer.wait > negligible_wait_ && offer.first_token > work.first_token_limit;
    offer.cost = offer.first_token * work.inverse_first_token_limit +
                 between_weight_ * offer.between_tokens * work.inverse_between_tokens_limit;
    // Engines that miss the limits get a penalty but are still ranked by cost. The expression
    // avoids branches for speed.
    const bool misses = offer.late | (offer.between_tokens > offer.step_limit);
    offer.cost += misses ? kLatePenalty : 0.0;
  }

  double between_weight_;
  double occupancy_weight_;
  double displacement_share_;
  double negligible_wait_;
  double kv_base_;
  double copy_base_;
  double kv_per_token_;
};

/// \param engine the engine that generates the output
/// \return estimated seconds until the queue and the number of streams have shrunk so far that the
///   offer would meet the limits; zero if the offer meets the limits now.
double secondsUntilWithinLimits(const Offer& offer, const RequestWork& work,
                                const EngineEstimate& engine);

}  // namespace cypresswall::routing
