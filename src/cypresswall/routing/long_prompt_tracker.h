/// The long prompts under way on the zone's engines, sent by this node and, as far as told, by its
/// peers: how long each engine will be busy with them, which cached pieces are still being
/// computed, and the speed that engines showed.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/routing/cost_model.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/offers.h"
#include "cypresswall/routing/prompt_backlog.h"
#include "cypresswall/routing/work_exchange.h"

namespace cypresswall::routing {

/// Writes the backlogs and speeds into the estimates that the router weighs.
class LongPromptTracker final : public WorkExchange::Listener {
 public:
  /// \pre all references outlive this object, which becomes the listener of the directory's work
  ///   exchange
  LongPromptTracker(const RouterSettings& settings, const OfferModel& model,
                    const common::Clock& clock, EngineDirectory& directory,
                    EstimateTable& estimates);
  ~LongPromptTracker() override;
  LongPromptTracker(const LongPromptTracker&) = delete;
  LongPromptTracker& operator=(const LongPromptTracker&) = delete;

  /// Notes that this node sent a prompt; one that takes the engine no more than a step is left out.
  /// \param output engine that takes the KV cache over, or kNoEngineSlot
  void started(const std::string& stream_id, EngineSlot engine, EngineSlot output,
               const PromptWork& prompt, const common::PromptShape& shape);
  void computed(const std::string& stream_id) { end(stream_id, true); }
  /// The attempt ended; does nothing after computed().
  void abandoned(const std::string& stream_id) { end(stream_id, false); }

  /// \return true if the engine was sent the piece, but has not computed it yet
  bool beingComputed(EngineSlot engine, common::PieceHash piece) const;
  /// \return true if the engine is so late with a prompt that it may be gone
  bool overdue(EngineSlot engine) const;
  /// Brings an engine's estimate up to date; called at each of its reports.
  void refresh(EngineSlot engine);
  /// The engine restarted, or the slot has another engine.
  void forgetEngine(EngineSlot engine);

  void onPeerStarted(EngineSlot engine, EngineSlot output, PromptKey key,
                     const StartedPrompt& prompt) override;
  void onPeerEnded(EngineSlot engine, PromptKey key, const EndedPrompt& prompt) override;

 private:
  /// One of this node's prompts.
  struct LocalPrompt {
    EngineSlot engine = kNoEngineSlot;
    std::uint32_t number = 0;
  };
  /// Pieces that one prompt makes an engine hold.
  struct ActivePrompt {
    PromptKey key = 0;
    common::PromptShape shape;
    /// So many of them, from the first on, it held before.
    std::size_t held_pieces = 0;
    EngineSlot output = kNoEngineSlot;
    /// Seconds that the engine's declared speed promises; zero if a copy is part of it.
    double nominal = 0;
  };
  struct Engine {
    PromptBacklog backlog;
    std::vector<ActivePrompt> active_prompts;
  };

  double now() const { return toModelTime(clock_.now()); }
  Engine& engineAt(EngineSlot slot);
  bool isLong(const PromptWork& prompt) const;
  void add(EngineSlot slot, EngineSlot output, PromptKey key, const StartedPrompt& prompt);
  /// Brings the index of cached pieces up to date at the end of a prompt.
  void updatePrefixIndex(EngineSlot slot, const ActivePrompt& ended, bool computed);
  void remove(EngineSlot slot, PromptKey key, bool computed);
  void end(const std::string& stream_id, bool computed);
  /// Learns the engine's speed from a prompt that it has just computed.
  void learnSpeed(EngineSlot slot, const ActivePrompt& computed);
  /// Writes what is known of the engine's speed into its estimate.
  void publishSpeed(EngineSlot slot);
  void publishBacklog(EngineSlot slot);

  const RouterSettings& settings_;
  const OfferModel& model_;
  const common::Clock& clock_;
  const EngineTable& table_;
  WorkExchange& exchange_;
  PrefixIndex& prefixes_;
  EstimateTable& estimates_;
  PromptSpeedEstimator speeds_;
  std::vector<Engine> engines_;
  std::unordered_map<std::string, LocalPrompt> local_prompts_;
};

}  // namespace cypresswall::routing
