/// The daemon's timers, run on an asio::io_context.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

#include "cypresswall/common/handler_guard.h"
#include "cypresswall/common/time.h"

namespace cypresswall::runtime {

/// Runs callbacks on the thread that runs `context`. Destroying the scheduler drops all pending
/// callbacks.
class AsioScheduler final : public common::Scheduler {
 public:
  /// \param guard runs the callbacks; if null, their exceptions leave the event loop. It must
  ///   outlive this object.
  explicit AsioScheduler(asio::io_context& context, common::HandlerGuard* guard = nullptr);
  common::TimerId schedule(common::Duration delay, std::function<void()> callback) override;
  void cancel(common::TimerId timer) override;
  /// \return number of callbacks that have not run yet.
  std::size_t pending() const { return timers_->size(); }

 private:
  struct Timer {
    Timer(asio::io_context& context, std::function<void()> action)
        : timer(context), callback(std::move(action)) {}
    asio::steady_timer timer;
    std::function<void()> callback;
  };
  using Timers = std::unordered_map<common::TimerId, Timer>;

  static void run(Timers& timers, common::TimerId id, common::HandlerGuard* guard);

  asio::io_context& context_;
  common::HandlerGuard* guard_;
  /// Shared with the handlers queued in `context_`, which may outlive this object.
  std::shared_ptr<Timers> timers_;
  common::TimerId last_id_ = 0;
};

}  // namespace cypresswall::runtime
