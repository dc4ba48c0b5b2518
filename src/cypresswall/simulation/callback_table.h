/// Callbacks by handle, with constant-time removal. Handles are never reused.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace cypresswall::simulation {

class CallbackTable {
 public:
  /// Identifies one callback; never zero.
  using Handle = std::uint64_t;

  /// Stores `callback` until take(), remove() or clear().
  Handle add(std::function<void()> callback);
  /// \return the callback, which is removed from the table; empty if the handle is unknown.
  std::function<void()> take(Handle handle);
  bool contains(Handle handle) const;
  /// Removes a callback; unknown handles are ignored.
  void remove(Handle handle);
  /// Removes all callbacks.
  void clear();
  /// \return number of stored callbacks.
  std::size_t size() const { return size_; }

 private:
  struct Slot {
    std::function<void()> callback;
    std::uint32_t generation = 1;
    bool used = false;
  };

  static std::uint32_t slotOf(Handle handle) { return static_cast<std::uint32_t>(handle); }
  static std::uint32_t generationOf(Handle handle) {
    return static_cast<std::uint32_t>(handle >> 32U);
  }
  std::function<void()> release(std::uint32_t index);

  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::size_t size_ = 0;
};

}  // namespace cypresswall::simulation
