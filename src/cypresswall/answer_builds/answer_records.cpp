#include "cypresswall/answer_builds/answer_records.h"

#include <algorithm>

#include "cypresswall/common/prompt.h"

namespace cypresswall::answer_builds {

AnswerKey answerKey(const std::string& request_id) { return common::hash64(request_id); }

std::uint32_t AnswerRecords::indexOf(const common::ModelName& model,
                                     const common::BuildName& build) {
  const auto found = std::find_if(
      model_builds_.begin(), model_builds_.end(),
      [&](const ModelBuild& each) { return each.model == model && each.build == build; });
  const auto index = static_cast<std::uint32_t>(found - model_builds_.begin());
  if (found == model_builds_.end()) {
    model_builds_.push_back({model, build});
  }
  return index;
}

void AnswerRecords::add(AnswerKey answer, const common::ModelName& model,
                        const common::BuildName& build, bool own, common::MonotonicTime now) {
  evict(now);
  const std::uint32_t index = indexOf(model, build);
  if (by_answer_.try_emplace(answer, index, now).second) {
    records_.push_back({answer, now, index, own});
  }
}

void AnswerRecords::evict(common::MonotonicTime now) {
  while (!records_.empty() && (records_.size() >= settings_.maximum_records ||
                               now - records_.front().began_at > settings_.retention)) {
    by_answer_.erase(records_.front().answer);
    records_.pop_front();
  }
}

std::optional<common::BuildName> AnswerRecords::find(AnswerKey answer,
                                                     common::MonotonicTime now) const {
  const auto found = by_answer_.find(answer);
  if (found == by_answer_.end() || now - found->second.second > settings_.retention) {
    return std::nullopt;
  }
  return model_builds_[found->second.first].build;
}

std::unordered_map<common::BuildName, std::vector<AnswerKey>> AnswerRecords::ownSince(
    const common::ModelName& model, common::MonotonicTime since) const {
  std::unordered_map<common::BuildName, std::vector<AnswerKey>> answers;
  for (auto record = records_.rbegin(); record != records_.rend() && record->began_at >= since;
       ++record) {
    const ModelBuild& began = model_builds_[record->model_build];
    if (record->own && began.model == model) {
      answers[began.build].push_back(record->answer);
    }
  }
  return answers;
}

}  // namespace cypresswall::answer_builds
