/// Tracks the long prompts in progress on the zone's engines, which this node sent or peers
/// announced. A prompt is long if its computation takes more than one engine step or includes a
/// copy from another engine's cache. Determines until when each engine is busy with long prompts,
/// which cache pieces are still being computed, and the engines' actual prompt speed.
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

/// Writes the backlogs and speeds into the router's estimates.
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

  /// Records that this node sent a prompt. Prompts that are not long are ignored.
  /// \param output engine that receives the KV cache to generate the output; kNoEngineSlot if
  ///   `engine` generates the output
  void started(const std::string& stream_id, EngineSlot engine, EngineSlot output,
               const PromptWork& prompt, const common::PromptShape& shape);
  void computed(const std::string& stream_id) { end(stream_id, true); }
  /// Records that the attempt ended. Does nothing if computed() was called before.
  void abandoned(const std::string& stream_id) { end(stream_id, false); }

  /// \return true if the engine is still computing a long prompt that includes the piece, and did
  ///   not hold the piece before
  bool beingComputed(EngineSlot engine, common::PieceHash piece) const;
  /// \return true if the engine is so late with its long prompts that it may have failed
  bool overdue(EngineSlot engine) const;
  /// Updates an engine's estimate; called at each of its reports.
  void refresh(EngineSlot engine);
  /// Drops the state of an engine that restarted or whose slot was reassigned.
  void forgetEngine(EngineSlot engine);

  void onPeerStarted(EngineSlot engine, EngineSlot output, PromptKey key,
                     const StartedPrompt& prompt) override;
  void onPeerEnded(EngineSlot engine, PromptKey key, const EndedPrompt& prompt) override;

 private:
  /// A prompt sent by this node.
  struct LocalPrompt {
    EngineSlot engine = kNoEngineSlot;
    std::uint32_t number = 0;
  };
  /// A prompt being computed, and the pieces that the engine will hold afterwards.
  struct ActivePrompt {
    PromptKey key = 0;
    common::PromptShape shape;
    /// Number of leading pieces that the engine already held.
    std::size_t held_pieces = 0;
    EngineSlot output = kNoEngineSlot;
    /// Expected seconds of computation at the engine's declared or assumed speed; zero if tokens
    /// are copied too, since the speed can't be measured then.
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
  /// Updates the prefix index at the end of a prompt.
  void updatePrefixIndex(EngineSlot slot, const ActivePrompt& ended, bool computed);
  void remove(EngineSlot slot, PromptKey key, bool computed);
  void end(const std::string& stream_id, bool computed);
  /// Updates the engine's learned speed from a prompt that it has just computed.
  void learnSpeed(EngineSlot slot, const ActivePrompt& computed);
  /// Writes the engine's learned speed into its estimate.
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
