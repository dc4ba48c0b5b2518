/// Finds out which software build of the engines began an answer. The outputs of different builds
/// must not be joined in one answer, so an answer that a caller takes up again has to go on at the
/// build that began it.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::answer_builds {

/// What is known about the build that began an answer.
struct AnswerOrigin {
  /// False if several builds may have begun the answer, or this node does not know all that may
  /// have, and no node in reach knows which one did.
  bool known = false;
  /// Empty if the model has no engines.
  std::optional<common::BuildName> build;
};

using OriginCallback = std::function<void(const AnswerOrigin& origin)>;

class AnswerBuilds {
 public:
  virtual ~AnswerBuilds() = default;
  /// Records that an engine of the build gave the first token of the answer. To be called before
  /// the caller receives the token.
  /// \param request_id identifier of the caller's request
  virtual void began(const common::ModelName& model, const std::string& request_id,
                     const common::BuildName& build) = 0;
  /// \param began_as identifier of the request that brought the answer's first token; empty if the
  ///   caller names none
  /// \param found called once, synchronously or later
  virtual void find(const common::ModelName& model, const std::string& began_as,
                    OriginCallback found) = 0;
};

}  // namespace cypresswall::answer_builds
