/// Tells the other nodes that decide about an engine at once of each long prompt that this node
/// sends to it, and of its end. Load reports come too late for that: such a prompt holds an engine
/// for a tenth of a second and more, and reports are a few tenths old.
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
  /// Counts up per sender.
  std::uint32_t number = 0;
  std::uint32_t uncached_tokens = 0;
  /// Tokens whose KV cache the engine copies from another one first.
  std::uint32_t copied_tokens = 0;
  std::uint32_t cached_tokens = 0;
  /// The pieces that the engine will hold afterwards, and how many of them it held before.
  std::vector<common::PieceHash> pieces;
  std::uint32_t held_pieces = 0;
  /// Tokens up to the end of each piece; empty if all have the usual length.
  std::vector<std::uint32_t> piece_ends;
  /// Engine that takes the KV cache over for the output and then holds the pieces too; empty if the
  /// prompt stays where it is.
  common::EngineName output_engine;

  /// \return the pieces as a shape, without the length of the whole prompt
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
  std::uint32_t number = 0;
  /// False if the engine did not compute it, so that it does not hold its pieces.
  bool computed = true;

  MSGPACK_DEFINE(engine, number, computed)
};

/// What one node did. Nothing is sent again: a lost start costs a worse choice, and a prompt whose
/// end was lost is forgotten when it is long overdue.
struct WorkNotice {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 2);

  std::vector<StartedPrompt> started;
  std::vector<EndedPrompt> ended;

  MSGPACK_DEFINE(started, ended)
};

class WorkExchange {
 public:
  /// Is told what other nodes did.
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

  /// \param listener outlives this object, or nullptr
  void setListener(Listener* listener) { listener_ = listener; }

  /// Tells them that this node sent a prompt to an engine. The names of the engines and
  /// `prompt.number` are filled in here.
  /// \param output kNoEngineSlot if the prompt stays where it is
  /// \return the number to end it with
  std::uint32_t started(EngineSlot engine, EngineSlot output, StartedPrompt prompt);
  /// `prompt.engine` is filled in here.
  void ended(EngineSlot engine, EndedPrompt prompt);
  /// \return the key of this node's prompt of that number
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
