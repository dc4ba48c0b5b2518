/// Counts how often a model request was sent to engines again after the first time.
#pragma once

#include <cstdint>

namespace cypresswall::execution {

/// Every delivery of the request to an engine after the first is a repeat, whether the engine ran
/// it or not. A prefill-only delivery (one that asks only for computing the prompt) counts as well.
/// If the prompt is computed by one engine and the answer by another, the first prefill-only
/// delivery that computed the prompt is not a repeat. If prefill-only deliveries did not count, a
/// request whose prompt is computed a second time would be charged for one repeat but make two.
class RepeatCounter {
 public:
  void promptSent() { ++prompts_; }
  void promptComputed() { computed_ = true; }
  void outputSent() { ++outputs_; }
  /// Removes the last prefill-only delivery from the count because it did not reach its engine.
  void promptNotDelivered() { --prompts_; }
  /// Removes the last delivery that asked for output from the count because it did not reach its
  /// engine.
  void outputNotDelivered() { --outputs_; }

  /// \return the total number of repeats if the request is sent to one more engine, which is asked
  ///   for output
  std::uint32_t repeatsWithSingleEngine() const { return computed_ ? all() - 1 : all(); }
  /// \return the total number of repeats if the request is sent to two more engines: one that
  ///   computes the prompt and one that generates the output
  std::uint32_t repeatsWithSeparatePrefill() const { return all(); }

 private:
  std::uint32_t all() const { return prompts_ + outputs_; }

  std::uint32_t prompts_ = 0;
  std::uint32_t outputs_ = 0;
  bool computed_ = false;
};

}  // namespace cypresswall::execution
