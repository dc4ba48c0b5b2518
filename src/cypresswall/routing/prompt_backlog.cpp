#include "cypresswall/routing/prompt_backlog.h"

#include <algorithm>

namespace cypresswall::routing {

void PromptBacklog::add(PromptKey key, double started_at, double seconds) {
  const auto later = std::find_if(prompts_.begin(), prompts_.end(), [&](const Prompt& prompt) {
    return prompt.started_at > started_at;
  });
  prompts_.insert(later, Prompt{key, started_at, seconds, prompts_.empty()});
}

std::optional<BusyTime> PromptBacklog::busyTimeOf(PromptKey key, double now) const {
  if (prompts_.empty() || prompts_.front().key != key) {
    return std::nullopt;
  }
  const Prompt& first = prompts_.front();
  if (first.alone) {
    return BusyTime{now - first.started_at, true};
  }
  if (last_end_known_ && last_end_ > first.started_at) {
    return BusyTime{now - last_end_, false};
  }
  return std::nullopt;
}

bool PromptBacklog::remove(PromptKey key, double now, bool computed) {
  const auto found = std::find_if(prompts_.begin(), prompts_.end(),
                                  [&](const Prompt& prompt) { return prompt.key == key; });
  if (found == prompts_.end()) {
    return false;
  }
  if (found == prompts_.begin()) {
    last_end_ = now;
    last_end_known_ = computed;
  }
  prompts_.erase(found);
  return true;
}

void PromptBacklog::expire(double now, double limit) {
  while (!prompts_.empty()) {
    const Prompt& first = prompts_.front();
    const double due = std::max(first.started_at, last_end_) + first.seconds;
    if (due + limit >= now) {
      return;
    }
    last_end_ = due;
    last_end_known_ = false;
    prompts_.erase(prompts_.begin());
  }
}

bool PromptBacklog::holds(PromptKey key) const {
  return std::any_of(prompts_.begin(), prompts_.end(),
                     [&](const Prompt& prompt) { return prompt.key == key; });
}

double PromptBacklog::emptyAt() const {
  double end = last_end_;
  for (const Prompt& prompt : prompts_) {
    end = std::max(end, prompt.started_at) + prompt.seconds;
  }
  return end;
}

}  // namespace cypresswall::routing
