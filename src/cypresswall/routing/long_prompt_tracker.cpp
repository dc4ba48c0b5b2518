#include "cypresswall/routing/long_prompt_tracker.h"

#include <algorithm>
#include <utility>

namespace cypresswall::routing {
namespace {

/// An engine that should have computed its long prompts longer ago than this may have failed, so
/// nothing is copied from its cache.
constexpr double kOverdueSeconds = 0.4;

}  // namespace

LongPromptTracker::LongPromptTracker(const RouterSettings& settings, const OfferModel& model,
                                     const common::Clock& clock, EngineDirectory& directory,
                                     EstimateTable& estimates)
    : settings_(settings),
      model_(model),
      clock_(clock),
      table_(directory.table()),
      exchange_(directory.work()),
      prefixes_(directory.prefixes()),
      estimates_(estimates),
      speeds_(settings.prompt_speed) {
  exchange_.setListener(this);
}

LongPromptTracker::~LongPromptTracker() { exchange_.setListener(nullptr); }

LongPromptTracker::Engine& LongPromptTracker::engineAt(EngineSlot slot) {
  if (slot >= engines_.size()) {
    engines_.resize(static_cast<std::size_t>(slot) + 1);
  }
  estimates_.reserve(slot);
  return engines_[slot];
}

bool LongPromptTracker::isLong(const PromptWork& prompt) const {
  return prompt.uncached > settings_.prefill_chunk_tokens || prompt.copied > 0;
}

void LongPromptTracker::started(const std::string& stream_id, EngineSlot engine, EngineSlot output,
                                const PromptWork& prompt, const common::PromptShape& shape) {
  abandoned(stream_id);
  if (!isLong(prompt)) {
    return;
  }
  LocalPrompt local;
  local.engine = engine;
  StartedPrompt notice;
  notice.uncached_tokens = static_cast<std::uint32_t>(prompt.uncached);
  notice.copied_tokens = static_cast<std::uint32_t>(prompt.copied);
  notice.cached_tokens = static_cast<std::uint32_t>(prompt.cached);
  notice.pieces = shape.pieces;
  notice.piece_ends = shape.piece_ends;
  while (notice.held_pieces < shape.pieces.size() &&
         shape.tokensOfPieces(notice.held_pieces + std::size_t{1}) <= prompt.cached) {
    ++notice.held_pieces;
  }
  local.number = exchange_.started(engine, output, notice);
  add(engine, output, exchange_.keyOf(local.number), notice);
  local_prompts_[stream_id] = local;
}

void LongPromptTracker::add(EngineSlot slot, EngineSlot output, PromptKey key,
                            const StartedPrompt& prompt) {
  PromptWork work;
  work.uncached = prompt.uncached_tokens;
  work.copied = prompt.copied_tokens;
  work.cached = prompt.cached_tokens;
  Engine& engine = engineAt(slot);
  const CostInputs& inputs = estimates_.inputs(slot);
  engine.backlog.add(key, now(), model_.occupyingSeconds(inputs, work));
  const auto held = std::min<std::size_t>(prompt.held_pieces, prompt.pieces.size());
  const double nominal = work.copied > 0 ? 0
                                         : OfferModel::computingSeconds(inputs, work) /
                                               estimates_.estimate(slot).prompt_speed.scale;
  engine.active_prompts.push_back({key, prompt.shape(), held, output, nominal});
  publishBacklog(slot);
}

void LongPromptTracker::remove(EngineSlot slot, PromptKey key, bool computed) {
  Engine& engine = engineAt(slot);
  const auto found = std::find_if(engine.active_prompts.begin(), engine.active_prompts.end(),
                                  [&](const ActivePrompt& entry) { return entry.key == key; });
  if (found == engine.active_prompts.end()) {
    return;
  }
  const ActivePrompt ended = std::move(*found);
  engine.active_prompts.erase(found);
  if (computed) {
    learnSpeed(slot, ended);
  }
  engine.backlog.remove(key, now(), computed);
  updatePrefixIndex(slot, ended, computed);
  publishBacklog(slot);
}

void LongPromptTracker::updatePrefixIndex(EngineSlot slot, const ActivePrompt& ended,
                                          bool computed) {
  if (!computed) {
    for (std::size_t i = ended.held_pieces; i < ended.shape.pieces.size(); ++i) {
      // Keep pieces that another prompt is still computing.
      if (!beingComputed(slot, ended.shape.pieces[i])) {
        prefixes_.removed(slot, ended.shape.pieces[i]);
      }
    }
    return;
  }
  // Record the pieces again: another prompt with the same pieces may have been abandoned, which
  // removed them from the index.
  prefixes_.usedBy(slot, ended.shape, clock_.now());
  if (ended.output != kNoEngineSlot) {
    prefixes_.usedBy(ended.output, ended.shape, clock_.now());
  }
}

void LongPromptTracker::end(const std::string& stream_id, bool computed) {
  const auto found = local_prompts_.find(stream_id);
  if (found == local_prompts_.end()) {
    return;
  }
  const LocalPrompt prompt = found->second;
  local_prompts_.erase(found);
  EndedPrompt notice;
  notice.number = prompt.number;
  notice.computed = computed;
  remove(prompt.engine, exchange_.keyOf(prompt.number), computed);
  exchange_.ended(prompt.engine, std::move(notice));
}

void LongPromptTracker::learnSpeed(EngineSlot slot, const ActivePrompt& computed) {
  const auto busy = engineAt(slot).backlog.busyTimeOf(computed.key, now());
  if (!busy || computed.nominal <= 0) {
    return;
  }
  const PromptSample sample{computed.nominal, busy->seconds, busy->includes_latency};
  speeds_.add(table_.record(slot).load.model, slot, sample, estimates_.estimate(slot).prefill_base,
              now());
  publishSpeed(slot);
}

void LongPromptTracker::publishSpeed(EngineSlot slot) {
  EngineEstimate& estimate = estimates_.edit(slot);
  estimate.prompt_speed =
      speeds_.speed(table_.record(slot).load.model, slot, estimate.prefill_base, now());
  estimates_.refresh(slot);
}

bool LongPromptTracker::beingComputed(EngineSlot engine, common::PieceHash piece) const {
  if (engine >= engines_.size()) {
    return false;
  }
  const auto& active_prompts = engines_[engine].active_prompts;
  return std::any_of(active_prompts.begin(), active_prompts.end(), [&](const ActivePrompt& entry) {
    const auto first_new =
        entry.shape.pieces.begin() + static_cast<std::ptrdiff_t>(entry.held_pieces);
    return std::find(first_new, entry.shape.pieces.end(), piece) != entry.shape.pieces.end();
  });
}

bool LongPromptTracker::overdue(EngineSlot engine) const {
  const EngineEstimate& estimate = estimates_.estimate(engine);
  return estimate.has_backlog && now() > estimate.backlog_empty_at + kOverdueSeconds;
}

void LongPromptTracker::refresh(EngineSlot engine) {
  Engine& state = engineAt(engine);
  publishSpeed(engine);
  if (state.backlog.empty()) {
    return;
  }
  state.backlog.expire(now(), common::toSeconds(settings_.backlog_expiry));
  std::erase_if(state.active_prompts,
                [&](const ActivePrompt& entry) { return !state.backlog.holds(entry.key); });
  publishBacklog(engine);
}

void LongPromptTracker::forgetEngine(EngineSlot engine) {
  engineAt(engine) = Engine{};
  speeds_.forget(engine);
  publishSpeed(engine);
  publishBacklog(engine);
}

void LongPromptTracker::publishBacklog(EngineSlot slot) {
  const PromptBacklog& backlog = engines_[slot].backlog;
  EngineEstimate& estimate = estimates_.edit(slot);
  estimate.has_backlog = !backlog.empty();
  estimate.backlog_empty_at = backlog.emptyAt();
  estimates_.refresh(slot);
}

void LongPromptTracker::onPeerStarted(EngineSlot engine, EngineSlot output, PromptKey key,
                                      const StartedPrompt& prompt) {
  add(engine, output, key, prompt);
  prefixes_.expectStored(engine, prompt.shape(), clock_.now());
}

void LongPromptTracker::onPeerEnded(EngineSlot engine, PromptKey key, const EndedPrompt& prompt) {
  remove(engine, key, prompt.computed);
}

}  // namespace cypresswall::routing
