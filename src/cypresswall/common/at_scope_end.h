/// Runs code when a scope ends, also if an exception ends it.
#pragma once

#include <utility>

namespace cypresswall::common {

/// The action of a periodic task that has to be scheduled again although a round of it failed. The
/// action must not throw.
template <typename Action>
class AtScopeEnd {
 public:
  explicit AtScopeEnd(Action action) : action_(std::move(action)) {}
  ~AtScopeEnd() { action_(); }
  AtScopeEnd(const AtScopeEnd&) = delete;
  AtScopeEnd& operator=(const AtScopeEnd&) = delete;

 private:
  Action action_;
};

}  // namespace cypresswall::common
