/// Destroys objects on the scheduler's next turn.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// Takes streams and calls that are over. One of them may be in the middle of a callback, from
/// which it must not be destroyed.
template <typename Object>
class DeferredDestruction {
 public:
  explicit DeferredDestruction(common::Scheduler& scheduler) : scheduler_(scheduler) {}

  void add(std::unique_ptr<Object> object) {
    if (objects_.empty()) {
      scheduler_.schedule(common::Duration{0}, [this] { objects_.clear(); });
    }
    objects_.push_back(std::move(object));
  }

 private:
  common::Scheduler& scheduler_;
  std::vector<std::unique_ptr<Object>> objects_;
};

}  // namespace cypresswall::execution
