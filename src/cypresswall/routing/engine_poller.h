/// Polls load reports and cache events of the engines that this node watches; engines whose state
/// is steady are polled less often.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "cypresswall/api/process_context.h"
#include "cypresswall/common/log_interval.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/routing/engine_deltas.h"
#include "cypresswall/routing/engine_table.h"

namespace cypresswall::routing {

class EnginePoller {
 public:
  /// Receives each cache change of a watched engine, for publication to peers.
  using CacheEventListener =
      std::function<void(EngineSlot slot, bool stored, common::PieceHash piece)>;

  EnginePoller(const DirectorySettings& settings, const api::ProcessContext& context,
               engines::EngineClient& client, EngineTable& table, PrefixIndex& prefixes,
               CacheEventListener listener);

  /// Starts polling; called once.
  void start();
  /// Replaces the set of watched engines.
  void watch(const std::set<EngineSlot>& slots);
  const std::set<EngineSlot>& watched() const { return watched_; }
  /// Polls a watched engine that was never polled now rather than in its turn.
  void pollFirst(EngineSlot slot);
  /// Marks all watched engines as unreachable until the next poll that reaches them.
  void markUnreachable();
  /// Resets the poll state of an engine, including its position in the cache events.
  void engineRestarted(EngineSlot slot) { states_.erase(slot); }

 private:
  struct PollState {
    bool load_pending = false;
    bool cache_pending = false;
    std::uint32_t failures = 0;
    /// Sequence number of the last cache event read from the engine's current incarnation; zero if
    /// none was read.
    std::uint64_t last_cache_event = 0;
    common::MonotonicTime cache_polled_at{};
    /// Interval between polls of cache events, in units of DirectorySettings::cache_poll_period.
    std::uint32_t cache_poll_factor = 1;
    /// The last report with a significant change, with which later reports are compared; empty
    /// before the first report.
    std::optional<EngineDelta> reference;
    std::uint32_t cache_pieces_used = 0;
    /// The newest report has no significant change, and the engine is ready and executes no order
    /// (such as a role change).
    bool steady = false;
    common::LogInterval unreadable_lines;
  };

  void tick();
  /// Determines from a report how soon the engine must be polled again.
  static void updateSteadiness(PollState& state, const engines::EngineLoad& load);
  void pollLoad(EngineSlot slot);
  void pollCache(EngineSlot slot);
  void onLoad(EngineSlot slot, const common::Result<engines::EngineLoad, engines::EngineFailure>&);
  /// Logs what this node's polls show, if the engine's record says otherwise.
  void logReachability(EngineSlot slot, bool reachable) const;
  /// Counts and logs parts of an engine's answers that could not be read.
  void countUnreadable(EngineSlot slot, const char* part, std::uint64_t count);
  void applyCacheEvent(EngineSlot slot, const engines::CacheEvent& event);
  void onCacheEvents(EngineSlot slot, const engines::CacheEvents& events);
  /// \return true if the engine asked for a time without requests and its last report is recent
  ///   enough for routing to do without another one
  bool isPaused(EngineSlot slot, common::MonotonicTime now) const;
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
  /// Number of poll periods started.
  std::uint64_t turn_ = 0;
  common::Counter& polls_;
  common::Counter& cache_polls_;
  common::Counter& poll_failures_;
  common::Counter& cache_gaps_;
};

}  // namespace cypresswall::routing
