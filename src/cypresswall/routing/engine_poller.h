/// Reads load reports and cache events from the engines that this node watches: often while what is
/// read would alter a choice, seldom while it stands still.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "cypresswall/api/process_context.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/routing/engine_deltas.h"
#include "cypresswall/routing/engine_table.h"

namespace cypresswall::routing {

class EnginePoller {
 public:
  /// Receives each change of a watched engine's cache, for the zone's peers.
  using CacheEventListener =
      std::function<void(EngineSlot slot, bool stored, common::PieceHash piece)>;

  EnginePoller(const DirectorySettings& settings, const api::ProcessContext& context,
               engines::EngineClient& client, EngineTable& table, PrefixIndex& prefixes,
               CacheEventListener listener);

  /// Begins to poll; called once.
  void start();
  /// Replaces the set of watched engines.
  void watch(const std::set<EngineSlot>& slots);
  const std::set<EngineSlot>& watched() const { return watched_; }
  /// Forgets where an engine's cache events were read up to.
  void engineRestarted(EngineSlot slot) { states_.erase(slot); }

 private:
  struct PollState {
    bool load_pending = false;
    bool cache_pending = false;
    std::uint32_t failures = 0;
    /// Sequence number of the last cache event read; zero if none was read in this life.
    std::uint64_t last_cache_event = 0;
    common::MonotonicTime cache_polled_at{};
    /// Cache events are read every so many cache poll periods.
    std::uint32_t cache_poll_factor = 1;
    /// The last report that would alter a choice; later ones are compared with it.
    std::optional<EngineDelta> reference;
    std::uint32_t cache_pieces_used = 0;
    /// The newest report would not alter a choice, and the engine is at rest.
    bool steady = false;
  };

  void tick();
  /// Notes whether a report moved so far that the next must be read soon.
  static void updateSteadiness(PollState& state, const engines::EngineLoad& load);
  void pollLoad(EngineSlot slot);
  void pollCache(EngineSlot slot);
  void onLoad(EngineSlot slot, const common::Result<engines::EngineLoad, engines::EngineFailure>&);
  void applyCacheEvent(EngineSlot slot, const engines::CacheEvent& event);
  void onCacheEvents(EngineSlot slot, const engines::CacheEvents& events);
  bool stillDeclared(EngineSlot slot, const common::EngineName& name) const;

  DirectorySettings settings_;
  const api::ProcessContext& context_;
  engines::EngineClient& client_;
  EngineTable& table_;
  PrefixIndex& prefixes_;
  CacheEventListener cache_listener_;
  std::set<EngineSlot> watched_;
  std::map<EngineSlot, PollState> states_;
  std::uint32_t phase_ = 0;
  /// Poll periods begun.
  std::uint64_t turn_ = 0;
  common::Counter& polls_;
  common::Counter& cache_polls_;
  common::Counter& poll_failures_;
  common::Counter& cache_gaps_;
};

}  // namespace cypresswall::routing
