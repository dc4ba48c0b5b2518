/// What one engine would make of one request: expected times, and the cost by which engines are
/// compared. Inline, since a choice weighs every engine of the zone within microseconds.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "cypresswall/routing/cost_model.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Added to the cost of an engine that can't meet the limits, so that any that can goes first.
inline constexpr double kLatePenalty = 100.0;

/// A request in the model's numbers; times in seconds.
struct RequestWork {
  double prompt_tokens = 0;
  double decode_tokens = 0;
  double first_token_limit = 0;
  double between_tokens_limit = 0;
  double inverse_first_token_limit = 0;
  double inverse_between_tokens_limit = 0;
  /// Piece of the prompt by which equal prompts meet, or zero if it has none that is worth it.
  std::uint64_t affinity = 0;
  /// Tokens up to the end of that piece.
  double affinity_tokens = 0;
};

/// What an engine has to do before it holds the whole prompt, in tokens.
struct PromptWork {
  /// Computed by the engine itself.
  double uncached = 0;
  /// Copied from another engine that holds them.
  double copied = 0;
  /// Held by the engine already.
  double cached = 0;

  /// \return pairs of a token that is computed with one before it
  double pairs() const {
    constexpr double kHalf = 0.5;
    return uncached * (cached + copied + kHalf * uncached);
  }
};

/// What one engine, or a prefill and a decode engine together, would make of it; in seconds.
struct Offer {
  double cost = 0;
  /// Cost that others bear if prompts wait at every engine: the time for which the prompt occupies
  /// the engine, and the cached tokens that give way to copied ones. No part of `cost`.
  double occupancy = 0;
  double wait = 0;
  double first_token = 0;
  double between_tokens = 0;
  /// Time between tokens that is still accepted.
  double step_limit = 0;
  /// The wait makes the first token late; an engine without a queue is never called late.
  bool late = false;
  /// The prompt would hold up the output of a decode engine, though prefill engines exist for it.
  bool delays_decode = false;

  bool meetsLimits() const { return !late && !delays_decode && between_tokens <= step_limit; }
};

/// Formulas of offers under one router's settings.
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

  /// An engine that runs the whole request.
  Offer whole(const CostInputs& engine, const RequestWork& work, const PromptWork& prompt,
              double now) const {
    Offer offer;
    offer.wait = wait(engine, now);
    offer.between_tokens = engine.step;
    offer.first_token = offer.wait + promptSeconds(engine, prompt) + engine.step;
    offer.occupancy = occupancy(engine, work, prompt);
    setCost(offer, work, engine);
    return offer;
  }
  /// An engine that only computes the prompt.
  Offer prefill(const CostInputs& engine, const RequestWork& work, const PromptWork& prompt,
                double now) const {
    Offer offer;
    offer.wait = wait(engine, now);
    offer.first_token = offer.wait + promptSeconds(engine, prompt);
    offer.occupancy = occupancy(engine, work, prompt);
    setCost(offer, work, engine);
    return offer;
  }
  /// \return seconds from sending the prompt to an engine without a queue until it is computed
  double promptSeconds(const CostInputs& engine, const PromptWork& prompt) const {
    return engine.prefill_way + occupyingSeconds(engine, prompt);
  }
  /// \return seconds for which the prompt keeps the engine from others
  double occupyingSeconds(const CostInputs& engine, const PromptWork& prompt) const {
    return computingSeconds(engine, prompt) + copyingSeconds(engine, prompt.copied);
  }
  /// \return seconds until the engine will be through with the prompts that it has
  static double prefillWait(const CostInputs& engine, double now) {
    const double queue = std::max(0.0, engine.queue_empty_at - now) + engine.unreported_wait;
    return std::max(queue, backlogWait(engine, now));
  }
  /// \return seconds that the engine computes the prompt's uncached tokens
  static double computingSeconds(const CostInputs& engine, const PromptWork& prompt) {
    return prompt.uncached * engine.seconds_per_prefill_token +
           prompt.pairs() * engine.prefill_seconds_per_pair;
  }
  /// \return seconds that the KV cache of so many tokens takes from another engine
  double copyingSeconds(const CostInputs& engine, double tokens) const {
    if (tokens <= 0) {
      return 0;
    }
    const double per_token =
        engine.kv_seconds_per_token > 0 ? engine.kv_seconds_per_token : kv_per_token_;
    return copy_base_ + per_token * tokens;
  }
  /// An engine that takes over a computed prompt.
  Offer decode(const CostInputs& engine, const RequestWork& work, double now) const {
    Offer offer;
    offer.wait = wait(engine, now);
    offer.between_tokens = engine.step;
    offer.first_token = offer.wait + engine.step;
    setCost(offer, work, engine);
    return offer;
  }
  /// \param decode_engine the engine behind `decode`
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

  static double wait(const CostInputs& engine, double now) {
    return prefillWait(engine, now) + engine.slot_wait;
  }

  /// An engine that is late with its prompts by some time is expected to need as long again.
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
    offer.step_limit = std::max<double>(engine.slackened_lone_step, work.between_tokens_limit);
    offer.late = offer.wait > negligible_wait_ && offer.first_token > work.first_token_limit;
    offer.cost = offer.first_token * work.inverse_first_token_limit +
                 between_weight_ * offer.between_tokens * work.inverse_between_tokens_limit;
    // The cost itself ranks late engines among each other; written without branches.
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
/// \return the time until the offer's queue, and the number of streams, are short enough for the
///   limits; zero if the offer meets them.
double secondsUntilWithinLimits(const Offer& offer, const RequestWork& work,
                                const EngineEstimate& engine);

}  // namespace cypresswall::routing
