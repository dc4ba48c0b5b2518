/// Counts how often one request was sent to back ends beyond the first time.
#pragma once

#include <cstdint>

namespace cypresswall::execution {

/// Each request delivered to an engine after the first is a repeat, whether it ran or not. A
/// prefill-only request counts too, except for the first computed prompt. Otherwise a request whose
/// prompt is computed a second time would be charged for one repeat but make two.
class RepeatCounter {
 public:
  void promptSent() { ++prompts_; }
  void promptComputed() { computed_ = true; }
  void outputSent() { ++outputs_; }
  /// The last prefill-only request did not reach its engine.
  void promptNotDelivered() { --prompts_; }
  /// The last request for output did not reach its engine.
  void outputNotDelivered() { --outputs_; }

  /// \return total repeats if one more engine is asked for the complete answer
  std::uint32_t repeatsWithSingleEngine() const { return computed_ ? all() - 1 : all(); }
  /// \return total repeats if one more engine computes the prompt and another one the answer
  std::uint32_t repeatsWithSeparatePrefill() const { return all(); }

 private:
  std::uint32_t all() const { return prompts_ + outputs_; }

  std::uint32_t prompts_ = 0;
  std::uint32_t outputs_ = 0;
  bool computed_ = false;
};

}  // namespace cypresswall::execution
