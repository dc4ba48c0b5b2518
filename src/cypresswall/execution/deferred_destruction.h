/// Destruction of objects in the next scheduler callback.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// Takes ownership of finished streams and calls and destroys them in the next scheduler callback,
/// because an object must not be destroyed from within its own callback.
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
