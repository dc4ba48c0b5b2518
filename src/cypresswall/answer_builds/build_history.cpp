#include "cypresswall/answer_builds/build_history.h"

#include <algorithm>
#include <utility>

namespace cypresswall::answer_builds {

void BuildHistory::setPresent(BuildsByModel present, common::MonotonicTime now) {
  for (const auto* builds_by_model : {&present_, &present}) {
    for (const auto& [model, builds] : *builds_by_model) {
      for (const common::BuildName& build : builds) {
        last_seen_[model][build] = now;
      }
    }
  }
  present_ = std::move(present);
  for (auto& [model, builds] : last_seen_) {
    std::erase_if(builds, [&](const auto& entry) { return !counts(entry.second, now); });
  }
  std::erase_if(last_seen_, [](const auto& entry) { return entry.second.empty(); });
}

void BuildHistory::addSeen(const common::ModelName& model, const common::BuildName& build,
                           common::MonotonicTime seen_at) {
  auto& last_seen = last_seen_[model][build];
  last_seen = std::max(last_seen, seen_at);
}

bool BuildHistory::isPresent(const common::ModelName& model, const common::BuildName& build) const {
  const auto found = present_.find(model);
  return found != present_.end() && found->second.contains(build);
}

std::set<common::BuildName> BuildHistory::possible(const common::ModelName& model,
                                                   common::MonotonicTime now) const {
  auto builds = counted(model, now);
  builds.merge(counted(kAnyModel, now));
  return builds;
}

std::set<common::BuildName> BuildHistory::counted(const common::ModelName& model,
                                                  common::MonotonicTime now) const {
  std::set<common::BuildName> builds;
  const auto found = last_seen_.find(model);
  if (found == last_seen_.end()) {
    return builds;
  }
  for (const auto& [build, last_seen_at] : found->second) {
    if (isPresent(model, build) || counts(last_seen_at, now)) {
      builds.insert(build);
    }
  }
  return builds;
}

BuildsByModel BuildHistory::possible(common::MonotonicTime now) const {
  BuildsByModel all;
  for (const auto& [model, builds] : last_seen_) {
    if (auto builds_of_model = counted(model, now); !builds_of_model.empty()) {
      all[model] = std::move(builds_of_model);
    }
  }
  return all;
}

common::MonotonicTime BuildHistory::lastSeen(const common::ModelName& model,
                                             const common::BuildName& build,
                                             common::MonotonicTime now) const {
  const auto builds = last_seen_.find(model);
  if (builds == last_seen_.end() || isPresent(model, build)) {
    return now;
  }
  const auto last_seen = builds->second.find(build);
  return last_seen == builds->second.end() ? now : last_seen->second;
}

std::set<common::ModelName> BuildHistory::mixedModels(common::MonotonicTime now) const {
  std::set<common::ModelName> mixed;
  for (const auto& [model, builds] : last_seen_) {
    if (possible(model, now).size() > 1) {
      mixed.insert(model);
    }
  }
  return mixed;
}

std::vector<PastBuild> BuildHistory::past(common::MonotonicTime now) const {
  std::vector<PastBuild> past;
  for (const auto& [model, builds] : last_seen_) {
    for (const auto& [build, last_seen_at] : builds) {
      if (!isPresent(model, build) && counts(last_seen_at, now)) {
        past.push_back({model, build, last_seen_at});
      }
    }
  }
  return past;
}

std::optional<common::MonotonicTime> BuildHistory::nextExpiry(common::MonotonicTime now) const {
  std::optional<common::MonotonicTime> next;
  for (const PastBuild& build : past(now)) {
    next = std::min(next.value_or(build.last_seen_at), build.last_seen_at);
  }
  return next ? std::make_optional(*next + retention_) : std::nullopt;
}

}  // namespace cypresswall::answer_builds
