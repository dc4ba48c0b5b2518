#include "cypresswall/runtime/asio_scheduler.h"

#include <cxxabi.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

namespace cypresswall::runtime {
namespace {

/// \return the name of the code that a callback runs; it contains the function that made it.
std::string nameOf(const std::function<void()>& callback) {
  const char* const name = callback.target_type().name();
  const std::unique_ptr<char, void (*)(void*)> readable(
      abi::__cxa_demangle(name, nullptr, nullptr, nullptr), &std::free);
  return readable ? readable.get() : name;
}

}  // namespace

AsioScheduler::AsioScheduler(asio::io_context& context, common::HandlerGuard* guard)
    : context_(context), guard_(guard), timers_(std::make_shared<Timers>()) {}

common::TimerId AsioScheduler::schedule(common::Duration delay, std::function<void()> callback) {
  const common::TimerId id = ++last_id_;
  Timer& entry = timers_->try_emplace(id, context_, std::move(callback)).first->second;
  entry.timer.expires_after(std::max(delay, common::Duration{0}));
  entry.timer.async_wait(
      [timers = std::weak_ptr<Timers>(timers_), id, guard = guard_](const std::error_code&) {
        if (const auto alive = timers.lock()) {
          run(*alive, id, guard);
        }
      });
  return id;
}

void AsioScheduler::cancel(common::TimerId timer) { timers_->erase(timer); }

void AsioScheduler::run(Timers& timers, common::TimerId id, common::HandlerGuard* guard) {
  auto entry = timers.extract(id);
  if (!entry.empty()) {
    common::runGuarded(
        guard, common::EventSource::kTimer, [&] { return nameOf(entry.mapped().callback); },
        entry.mapped().callback);
  }
}

}  // namespace cypresswall::runtime
