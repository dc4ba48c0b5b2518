#include "cypresswall/runtime/asio_scheduler.h"

#include <algorithm>
#include <utility>

namespace cypresswall::runtime {

AsioScheduler::AsioScheduler(asio::io_context& context)
    : context_(context), timers_(std::make_shared<Timers>()) {}

common::TimerId AsioScheduler::schedule(common::Duration delay, std::function<void()> callback) {
  const common::TimerId id = ++last_id_;
  Timer& entry = timers_->try_emplace(id, context_, std::move(callback)).first->second;
  entry.timer.expires_after(std::max(delay, common::Duration{0}));
  entry.timer.async_wait([timers = std::weak_ptr<Timers>(timers_), id](const std::error_code&) {
    if (const auto alive = timers.lock()) {
      run(*alive, id);
    }
  });
  return id;
}

void AsioScheduler::cancel(common::TimerId timer) { timers_->erase(timer); }

void AsioScheduler::run(Timers& timers, common::TimerId id) {
  auto entry = timers.extract(id);
  if (!entry.empty()) {
    entry.mapped().callback();
  }
}

}  // namespace cypresswall::runtime
