#include "cypresswall/simulation/virtual_time.h"

#include <algorithm>
#include <utility>

namespace cypresswall::simulation {

common::TimerId VirtualTime::schedule(common::Duration delay, std::function<void()> callback) {
  const auto handle = callbacks_.add(std::move(callback));
  queue_.push(Entry{now_ + std::max(delay, common::Duration{0}), next_order_++, handle});
  return handle;
}

void VirtualTime::cancel(common::TimerId timer) { callbacks_.remove(timer); }

void VirtualTime::dropCancelled() {
  while (!queue_.empty() && !callbacks_.contains(queue_.top().handle)) {
    queue_.pop();
  }
}

bool VirtualTime::step() {
  dropCancelled();
  if (queue_.empty()) {
    return false;
  }
  const Entry entry = queue_.top();
  queue_.pop();
  now_ = entry.when;
  ++executed_;
  const auto callback = callbacks_.take(entry.handle);
  callback();
  return true;
}

void VirtualTime::runUntil(common::MonotonicTime until) {
  dropCancelled();
  while (!queue_.empty() && queue_.top().when <= until) {
    step();
    dropCancelled();
  }
  now_ = std::max(now_, until);
}

bool VirtualTime::runUntilTrue(const std::function<bool()>& condition, common::Duration limit) {
  const auto until = now_ + limit;
  while (!condition()) {
    dropCancelled();
    if (queue_.empty() || queue_.top().when > until) {
      now_ = std::max(now_, until);
      return condition();
    }
    step();
  }
  return true;
}

}  // namespace cypresswall::simulation
