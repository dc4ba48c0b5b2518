/// The incarnation of the platform's store. The store begins a new one when it is restored from a
/// copy: changes after the copy are lost, and their revisions are given out again. A revision
/// therefore means something only together with the incarnation that it belongs to.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "cypresswall/api/process_context.h"

namespace cypresswall::store_relay {

/// The latest incarnation that this process has heard of, by answers of the store to any of its
/// calls or by messages of other nodes.
class StoreIncarnation {
 public:
  using Listener = std::function<void()>;

  explicit StoreIncarnation(const api::ProcessContext& context);
  StoreIncarnation(const StoreIncarnation&) = delete;
  StoreIncarnation& operator=(const StoreIncarnation&) = delete;

  /// \return the latest known incarnation; zero if none is known, as with stores that name none
  std::uint64_t current() const { return current_; }
  /// \return true if the incarnation has changed since this process first heard of one
  bool restored() const { return restored_; }
  /// Records an incarnation that the store or another node has named; zero names none.
  /// \param source who named it, for the log
  /// \return false if a later incarnation is known, so that what came with this one is outdated
  bool observe(std::uint64_t incarnation, const char* source);
  /// \param listener called when a later incarnation becomes known, also for the first one
  void onChange(Listener listener) { listeners_.push_back(std::move(listener)); }

 private:
  api::ProcessContext context_;
  std::uint64_t current_ = 0;
  bool restored_ = false;
  std::vector<Listener> listeners_;
  common::Counter& changes_;
  common::Counter& outdated_;
};

}  // namespace cypresswall::store_relay
