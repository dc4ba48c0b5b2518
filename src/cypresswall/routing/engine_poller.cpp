#include "cypresswall/routing/engine_poller.h"

#include <algorithm>
#include <utility>

#include "cypresswall/common/at_scope_end.h"

namespace cypresswall::routing {
namespace {

/// Number of ticks per poll period; each tick polls a part of the engines, to spread the load.
constexpr std::uint32_t kPhases = 5;

}  // namespace

EnginePoller::EnginePoller(const DirectorySettings& settings, const api::ProcessContext& context,
                           engines::EngineClient& client, EngineTable& table, PrefixIndex& prefixes,
                           CacheEventListener listener)
    : settings_(settings),
      context_(context),
      client_(client),
      table_(table),
      prefixes_(prefixes),
      cache_listener_(std::move(listener)),
      polls_(context.counters.counter("cypresswall_engine_polls_total",
                                      "Load reports asked of watched engines")),
      cache_polls_(context.counters.counter("cypresswall_engine_cache_polls_total",
                                            "Cache events asked of watched engines")),
      poll_failures_(context.counters.counter("cypresswall_engine_poll_failures_total",
                                              "Load reports that could not be read")),
      cache_gaps_(context.counters.counter("cypresswall_cache_event_gaps_total",
                                           "Batches of cache events with a gap")) {}

void EnginePoller::start() { tick(); }

void EnginePoller::watch(const std::set<EngineSlot>& slots) {
  for (const EngineSlot slot : watched_) {
    if (slots.count(slot) == 0) {
      states_.erase(slot);
      table_.setWatched(slot, false);
    }
  }
  watched_ = slots;
  for (const EngineSlot slot : watched_) {
    table_.setWatched(slot, true);
  }
}

void EnginePoller::markUnreachable() {
  for (const EngineSlot slot : watched_) {
    logReachability(slot, false);
    table_.setReachable(slot, false, context_.clock.now());
  }
}

void EnginePoller::tick() {
  const common::AtScopeEnd again(
      [this] { context_.scheduler.schedule(settings_.poll_period / kPhases, [this] { tick(); }); });
  phase_ = (phase_ + 1) % kPhases;
  turn_ += phase_ == 0 ? 1 : 0;
  // Steady engines are polled in the same periods, so that one publication confirms all of them.
  const bool steady_turn = turn_ % std::max(settings_.steady_poll_factor, 1U) == 0;
  const common::MonotonicTime now = context_.clock.now();
  for (const EngineSlot slot : watched_) {
    if (slot % kPhases != phase_ || isPaused(slot, now)) {
      continue;
    }
    PollState& state = states_[slot];
    if (!state.load_pending && (steady_turn || !state.steady)) {
      pollLoad(slot);
    }
    const auto cache_period = settings_.cache_poll_period * state.cache_poll_factor;
    if (!state.cache_pending && now - state.cache_polled_at >= cache_period) {
      state.cache_polled_at = now;
      pollCache(slot);
    }
  }
}

void EnginePoller::pollFirst(EngineSlot slot) {
  if (watched_.contains(slot) && !states_.contains(slot)) {
    pollLoad(slot);
  }
}

bool EnginePoller::isPaused(EngineSlot slot, common::MonotonicTime now) const {
  const auto report_age = now - table_.record(slot).last_contact_at;
  return now < table_.pausedUntil(slot) && report_age < settings_.maximum_report_age / 2;
}

bool EnginePoller::stillDeclared(EngineSlot slot, const common::EngineName& name) const {
  return table_.slotOf(name) == slot && watched_.count(slot) != 0;
}

void EnginePoller::pollLoad(EngineSlot slot) {
  states_[slot].load_pending = true;
  polls_.add();
  const engines::EngineEndpoint endpoint = table_.record(slot).endpoint();
  client_.fetchLoad(endpoint, [this, slot, name = endpoint.name](const auto& result) {
    if (stillDeclared(slot, name)) {
      states_[slot].load_pending = false;
      onLoad(slot, result);
    }
  });
}

void EnginePoller::onLoad(
    EngineSlot slot, const common::Result<engines::EngineLoad, engines::EngineFailure>& result) {
  PollState& state = states_[slot];
  const common::MonotonicTime now = context_.clock.now();
  if (!result.ok()) {
    poll_failures_.add();
    if (result.failure().kind == engines::EngineFailure::kMalformed) {
      countUnreadable(slot, "report", 1);
    }
    ++state.failures;
    state.steady = false;
    if (state.failures >= settings_.unreachable_after_failures) {
      logReachability(slot, false);
      table_.setReachable(slot, false, now);
    }
    return;
  }
  state.failures = 0;
  logReachability(slot, true);
  updateSteadiness(state, result.value());
  table_.observe(slot, EngineObservation{result.value(), now - result.value().age, true}, now);
}

void EnginePoller::logReachability(EngineSlot slot, bool reachable) const {
  const EngineRecord& record = table_.record(slot);
  if (record.reachable != reachable) {
    common::LogEvent(context_.log, common::LogLevel::kInfo, "engine_reachability_changed")
        .field("engine", record.declaration.name)
        .field("reachable", reachable)
        .field("source", "own polls");
  }
}

void EnginePoller::countUnreadable(EngineSlot slot, const char* part, std::uint64_t count) {
  if (count == 0) {
    return;
  }
  context_.counters
      .counter("cypresswall_engine_unreadable_total",
               "Reports, and events of caches, that engines sent and that could not be read",
               "part", part)
      .add(count);
  if (const auto left_out = states_[slot].unreadable_lines.record(context_.clock.now(), count)) {
    common::LogEvent(context_.log, common::LogLevel::kWarning, "engine_answer_unreadable")
        .field("engine", table_.record(slot).declaration.name)
        .field("part", part)
        .field("left_out", *left_out);
  }
}

void EnginePoller::updateSteadiness(PollState& state, const engines::EngineLoad& load) {
  const EngineDelta delta = makeDelta(0, load, true, common::Duration{0});
  const bool moved = !state.reference || changeSignificance(*state.reference, delta, load) > 0;
  if (moved) {
    state.reference = delta;
  }
  if (moved || load.cache_pieces_used != state.cache_pieces_used) {
    state.cache_poll_factor = 1;
    state.cache_pieces_used = load.cache_pieces_used;
  }
  state.steady = !moved && load.state == engines::EngineState::kReady && !load.order_in_progress;
}

void EnginePoller::pollCache(EngineSlot slot) {
  PollState& state = states_[slot];
  state.cache_pending = true;
  cache_polls_.add();
  const engines::EngineEndpoint endpoint = table_.record(slot).endpoint();
  client_.fetchCacheEvents(
      endpoint, state.last_cache_event, [this, slot, name = endpoint.name](const auto& result) {
        if (!stillDeclared(slot, name)) {
          return;
        }
        states_[slot].cache_pending = false;
        if (result.ok()) {
          onCacheEvents(slot, result.value());
        } else if (result.failure().kind == engines::EngineFailure::kMalformed) {
          countUnreadable(slot, "cache_events", 1);
        }
      });
}

void EnginePoller::applyCacheEvent(EngineSlot slot, const engines::CacheEvent& event) {
  const bool stored = event.kind == engines::CacheEventKind::kStored;
  if (stored) {
    prefixes_.stored(slot, event.piece, event.tokens, context_.clock.now());
  } else if (!prefixes_.evictionReported(slot, event.piece, context_.clock.now())) {
    return;
  }
  cache_listener_(slot, stored, event.piece);
}

void EnginePoller::onCacheEvents(EngineSlot slot, const engines::CacheEvents& events) {
  const EngineRecord& record = table_.record(slot);
  if (!record.reported || record.load.incarnation != events.incarnation) {
    return;
  }
  countUnreadable(slot, "cache_event", events.unreadable);
  PollState& state = states_[slot];
  state.cache_poll_factor =
      events.events.empty()
          ? std::min(2 * state.cache_poll_factor, std::max(settings_.quiet_cache_poll_factor, 1U))
          : 1;
  bool gap = events.gap.value_or(false);
  for (const engines::CacheEvent& event : events.events) {
    // If one change affects several pieces, the events of these pieces have the same sequence
    // number.
    const bool follows =
        event.sequence == state.last_cache_event || event.sequence == state.last_cache_event + 1;
    gap = gap || (state.last_cache_event != 0 && !events.gap && !events.snapshot && !follows);
    state.last_cache_event = event.sequence;
    applyCacheEvent(slot, event);
  }
  if (events.snapshot || events.gap) {
    state.last_cache_event = events.last_sequence;
  }
  if (gap) {
    cache_gaps_.add();
    prefixes_.gapSeen(slot);
  } else if (!events.events.empty()) {
    prefixes_.batchWithoutGap(slot);
  }
}

}  // namespace cypresswall::routing
