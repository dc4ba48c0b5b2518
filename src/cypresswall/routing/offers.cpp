#include "cypresswall/routing/offers.h"

namespace cypresswall::routing {

double secondsUntilWithinLimits(const Offer& offer, const RequestWork& work,
                                const EngineEstimate& engine) {
  double relief = 0;
  if (offer.late) {
    relief = std::min(offer.wait, offer.first_token - work.first_token_limit);
  }
  if (offer.between_tokens > offer.step_limit && engine.decode_step_per_stream > 0) {
    const double streams = streamsOn(engine) + 1.0;
    const double excess =
        (offer.between_tokens - offer.step_limit) /
        (engine.decode_step_per_stream * engine.step_scale * engine.tokens_per_delivery);
    const double tokens = engine.queued_decode_tokens + engine.unreported_decode_tokens;
    const double stream_seconds = tokens / streams * offer.between_tokens;
    relief = std::max(relief, stream_seconds * excess / streams);
  }
  return relief;
}

}  // namespace cypresswall::routing
