/// Decides which slow streams of this node are moved to other engines, and limits their number.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "cypresswall/api/process_context.h"
#include "cypresswall/common/counters.h"
#include "cypresswall/execution/answer_lengths.h"
#include "cypresswall/execution/execution_settings.h"
#include "cypresswall/execution/output_pace.h"
#include "cypresswall/fleet_limits/retry_budgets.h"
#include "cypresswall/fleet_limits/sliding_window_counter.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::execution {

/// Why a slow stream was not moved.
enum class MoveRefusal : std::uint8_t {
  kNotResumable,
  kNoBudget,
  kAllSlow,
  /// No engine was granted that would complete the answer in time.
  kNoBetterEngine,
};
inline constexpr std::size_t kMoveRefusals = 4;

const char* toString(MoveRefusal refusal);

/// What this node learns from all of its streams about the pace of a model's engines.
class ModelPace {
 public:
  /// \param expected expected time between two tokens at the sample's engine; zero if not known
  /// \param too_slow whether the stream was too slow when the sample was taken
  void record(const routing::OutputSample& sample, common::Duration expected, bool too_slow,
              common::MonotonicTime now);
  /// \return the time between two delivered tokens at an engine for which the router expects
  ///   `expected` between two generated ones; empty if no output was recorded. The router's
  ///   estimate may be off for all engines alike, and a delivered event may hold several tokens.
  std::optional<common::Duration> gapFor(common::Duration expected) const;
  /// \return the share, from 0 to 1, of the output time of the last seconds that was too slow
  double slowShare() const;

 private:
  double tokens_ = 0;
  double seconds_ = 0;
  double expected_seconds_ = 0;
  /// Output time with a known expectation.
  double compared_seconds_ = 0;
  double slow_seconds_ = 0;
  double recent_seconds_ = 0;
  common::MonotonicTime recorded_at_{};
};

class StreamMoves {
 public:
  StreamMoves(const StreamMoveSettings& settings, const api::ProcessContext& context);

  const StreamMoveSettings& settings() const { return settings_; }
  AnswerLengths& lengths() { return lengths_; }
  ModelPace& pace(const common::ModelName& model) { return models_[model]; }

  /// \param budget the retry budget that pays for the move
  /// \return why a stream that is too slow may not be moved now; empty if it may
  std::optional<MoveRefusal> refusal(const common::ModelName& model,
                                     const fleet_limits::RetryBudget& budget);
  /// Withdraws the repeats of a move from the budget, as part of the share for moves.
  /// \return false, without taking anything, if the budget or that share is exhausted
  bool pay(fleet_limits::RetryBudget& budget, std::uint32_t repeats);

  void countTooSlow() { too_slow_.add(); }
  void countMoved() { moved_.add(); }
  void countRefused(MoveRefusal refusal) { refused_[static_cast<std::size_t>(refusal)]->add(); }

 private:
  bool shareLeft(const fleet_limits::RetryBudget& budget, std::uint32_t repeats) const;

  const StreamMoveSettings settings_;
  const api::ProcessContext& context_;
  AnswerLengths lengths_;
  std::map<common::ModelName, ModelPace> models_;
  /// Repeats paid for moves, by the service of the budget.
  std::map<common::ServiceName, fleet_limits::SlidingWindowCounter> paid_;
  common::Counter& too_slow_;
  common::Counter& moved_;
  std::array<common::Counter*, kMoveRefusals> refused_;
};

}  // namespace cypresswall::execution
