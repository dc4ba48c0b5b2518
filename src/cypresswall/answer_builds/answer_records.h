/// Bounded table of which software build began an answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cypresswall/answer_builds/settings.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::answer_builds {

/// Hash by which nodes recognize an answer.
using AnswerKey = std::uint64_t;

/// \param request_id identifier of the request that brought the answer's first token
AnswerKey answerKey(const std::string& request_id);

class AnswerRecords {
 public:
  explicit AnswerRecords(const AnswerBuildSettings& settings) : settings_(settings) {}

  /// Does nothing if the answer is known: its first token was given once.
  /// \param own true if this node passed the first token on
  void add(AnswerKey answer, const common::ModelName& model, const common::BuildName& build,
           bool own, common::MonotonicTime now);
  std::optional<common::BuildName> find(AnswerKey answer, common::MonotonicTime now) const;
  /// \return the answers of the model, by build, that this node itself recorded as begun since a
  ///   time
  std::unordered_map<common::BuildName, std::vector<AnswerKey>> ownSince(
      const common::ModelName& model, common::MonotonicTime since) const;
  std::size_t size() const { return by_answer_.size(); }

 private:
  struct ModelBuild {
    common::ModelName model;
    common::BuildName build;
  };
  struct Record {
    AnswerKey answer = 0;
    common::MonotonicTime began_at{};
    /// Position in `model_builds_`.
    std::uint32_t model_build = 0;
    bool own = false;
  };

  std::uint32_t indexOf(const common::ModelName& model, const common::BuildName& build);
  void evict(common::MonotonicTime now);

  AnswerBuildSettings settings_;
  /// The few pairs that occur. Records refer to them, since there are many.
  std::vector<ModelBuild> model_builds_;
  /// In the order in which they were added.
  std::deque<Record> records_;
  /// Positions in `model_builds_` and times of the records.
  std::unordered_map<AnswerKey, std::pair<std::uint32_t, common::MonotonicTime>> by_answer_;
};

}  // namespace cypresswall::answer_builds
