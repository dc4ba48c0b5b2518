/// Notifies the other nodes that route to an engine, immediately, of the start and end of each long
/// prompt that this node sends to the engine. Load reports are too slow for that: a long prompt
/// occupies an engine for a tenth of a second or more, and reports are a few tenths of a second
/// old.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/routing/engine_groups.h"
#include "cypresswall/routing/engine_table.h"
#include "cypresswall/routing/prompt_backlog.h"

namespace cypresswall::routing {

/// A long prompt that was sent to an engine.
struct StartedPrompt {
  common::EngineName engine;
  /// Increases by one for each prompt of a sender.
  std::uint32_t number = 0;
  std::uint32_t uncached_tokens = 0;
  /// Tokens whose KV cache the engine first copies from another engine.
  std::uint32_t copied_tokens = 0;
  std::uint32_t cached_tokens = 0;
  /// The pieces that the engine will hold when it has computed the prompt.
  std::vector<common::PieceHash> pieces;
  /// Number of leading `pieces` that the engine already held.
  std::uint32_t held_pieces = 0;
  /// Tokens up to the end of each piece; empty if all pieces have the default length.
  std::vector<std::uint32_t> piece_ends;
  /// Engine that receives the KV cache to generate the output, and then also holds the pieces;
  /// empty if `engine` generates the output.
  common::EngineName output_engine;

  /// \return the shape of the pieces, without the length of the whole prompt
  common::PromptShape shape() const {
    common::PromptShape shape;
    shape.pieces = pieces;
    shape.piece_ends = piece_ends;
    return shape;
  }

  MSGPACK_DEFINE(engine, number, uncached_tokens, copied_tokens, cached_tokens, pieces, held_pieces,
                 piece_ends, output_engine)
};

/// The end of a long prompt.
struct EndedPrompt {
  common::EngineName engine;
  /// As in StartedPrompt.
  std::uint32_t number = 0;
  /// False if the engine did not compute the prompt and so does not hold its pieces.
  bool computed = true;

  MSGPACK_DEFINE(engine, number, computed)
};

/// Prompts that one node started or ended. The message is never retransmitted. If a start is lost,
/// other nodes only choose with less information; if an end is lost, they drop the prompt after
/// RouterSettings::backlog_expiry.
struct WorkNotice {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 2);

  std::vector<StartedPrompt> started;
  std::vector<EndedPrompt> ended;

  MSGPACK_DEFINE(started, ended)
};

class WorkExchange {
 public:
  /// Receives the notices of other nodes.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void onPeerStarted(EngineSlot engine, EngineSlot output, PromptKey key,
                               const StartedPrompt& prompt) = 0;
    virtual void onPeerEnded(EngineSlot engine, PromptKey key, const EndedPrompt& prompt) = 0;
  };

  /// Registers the handler of WorkNotice.
  WorkExchange(const api::ProcessContext& context, const EngineGroups& groups,
               const EngineTable& table);

  /// \param listener must outlive its registration; nullptr removes the listener
  void setListener(Listener* listener) { listener_ = listener; }

  /// Notifies the other nodes that this node sent a prompt to an engine. Fills in the names of the
  /// engines and `prompt.number`.
  /// \param output engine that generates the output; kNoEngineSlot if `engine` generates it
  /// \return the number to pass to ended()
  std::uint32_t started(EngineSlot engine, EngineSlot output, StartedPrompt prompt);
  /// Notifies the other nodes of the end of a prompt. Fills in `prompt.engine`.
  void ended(EngineSlot engine, EndedPrompt prompt);
  /// \return the key of this node's prompt with that number
  PromptKey keyOf(std::uint32_t number) const { return keyOf(context_.self, number); }

 private:
  static PromptKey keyOf(const common::NodeId& node, std::uint32_t number);
  void send(EngineSlot engine, const WorkNotice& notice);
  void onNotice(const common::NodeId& sender, const WorkNotice& notice);

  const api::ProcessContext& context_;
  const EngineGroups& groups_;
  const EngineTable& table_;
  Listener* listener_ = nullptr;
  std::uint32_t next_number_ = 1;
  common::Counter& sent_;
  common::Counter& received_;
  common::Counter& unknown_engine_;
};

}  // namespace cypresswall::routing
