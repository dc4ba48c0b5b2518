#include "cypresswall/simulation/callback_table.h"

#include <utility>

namespace cypresswall::simulation {

CallbackTable::Handle CallbackTable::add(std::function<void()> callback) {
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t index = free_.back();
  free_.pop_back();
  Slot& slot = slots_[index];
  slot.callback = std::move(callback);
  slot.used = true;
  ++size_;
  return (static_cast<Handle>(slot.generation) << 32U) | index;
}

bool CallbackTable::contains(Handle handle) const {
  const std::uint32_t index = slotOf(handle);
  return index < slots_.size() && slots_[index].used &&
         slots_[index].generation == generationOf(handle);
}

std::function<void()> CallbackTable::release(std::uint32_t index) {
  Slot& slot = slots_[index];
  std::function<void()> callback = std::exchange(slot.callback, nullptr);
  slot.used = false;
  ++slot.generation;
  --size_;
  free_.push_back(index);
  return callback;
}

std::function<void()> CallbackTable::take(Handle handle) {
  if (!contains(handle)) {
    return nullptr;
  }
  return release(slotOf(handle));
}

void CallbackTable::remove(Handle handle) { take(handle); }

void CallbackTable::clear() {
  std::vector<std::function<void()>> dropped;
  for (std::uint32_t index = 0; index < slots_.size(); ++index) {
    if (slots_[index].used) {
      dropped.push_back(release(index));
    }
  }
}

}  // namespace cypresswall::simulation
