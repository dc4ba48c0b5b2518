/// What one request has sent to back ends, counted as repeats of it.
#pragma once

#include <cstdint>

namespace cypresswall::execution {

/// Each arrival beyond the first is a repeat, whether it ran or not. A prompt that an engine
/// computes for another one is an arrival too, but for the first that was computed: without this a
/// request whose prompt is computed a second time would pay for one repeat and make two.
class RequestArrivals {
 public:
  void promptSent() { ++prompts_; }
  void promptComputed() { computed_ = true; }
  void outputSent() { ++outputs_; }
  /// The prompt that was sent last did not arrive.
  void promptNotArrived() { --prompts_; }
  /// The last request for output did not arrive.
  void outputNotArrived() { --outputs_; }

  /// \return repeats in all once another engine was asked for the whole answer
  std::uint32_t repeatsWithWhole() const { return computed_ ? all() - 1 : all(); }
  /// \return repeats in all once an engine computed the prompt, and another gave the answer
  std::uint32_t repeatsWithPromptApart() const { return all(); }

 private:
  std::uint32_t all() const { return prompts_ + outputs_; }

  std::uint32_t prompts_ = 0;
  std::uint32_t outputs_ = 0;
  bool computed_ = false;
};

}  // namespace cypresswall::execution
