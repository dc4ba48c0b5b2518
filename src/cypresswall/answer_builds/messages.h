/// Messages between the nodes of a zone about the software builds that began answers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/answer_builds/answer_records.h"
#include "cypresswall/api/envelope.h"

namespace cypresswall::answer_builds {

constexpr api::MessageType answerBuildMessage(std::uint16_t offset) {
  return api::messageType(api::MessageType::kAnswerBuildsFirst, offset);
}

/// Engines of the build gave the first token of these answers. Sent to the nodes that keep copies
/// of the records.
struct AnswersBegan {
  static constexpr auto kType = answerBuildMessage(0);
  common::ModelName model;
  common::BuildName build;
  std::vector<AnswerKey> answers;
  MSGPACK_DEFINE(model, build, answers)
};

/// Asks which build began an answer.
struct AnswerBuildQuery {
  static constexpr auto kType = answerBuildMessage(1);
  /// Returned in the reply.
  std::uint64_t number = 0;
  AnswerKey answer = 0;
  /// If the sender knows one build of the model only: the model, for AnswerBuildReply::builds.
  common::ModelName model;
  MSGPACK_DEFINE(number, answer, model)
};

/// A build that may have begun answers of a model.
struct SeenBuild {
  common::ModelName model;
  common::BuildName build;
  /// Time since its last engine left the fleet; zero if engines are in the fleet.
  std::uint32_t age_milliseconds = 0;
  MSGPACK_DEFINE(model, build, age_milliseconds)
};

struct AnswerBuildReply {
  static constexpr auto kType = answerBuildMessage(2);
  std::uint64_t number = 0;
  /// False if the sender does not know the answer; `build` is then empty.
  bool known = false;
  common::BuildName build;
  /// The builds that may have begun answers of the model that was asked for; empty from earlier
  /// builds of nodes.
  std::vector<SeenBuild> builds;
  MSGPACK_DEFINE(number, known, build, builds)
};

/// Builds of which no engine is in the fleet any more. Sent to nodes that could not see them: to a
/// node that joins the zone and does not ask with BuildHistoryQuery, and to all nodes if the sender
/// has learnt of the builds from the store.
struct DepartedBuilds {
  static constexpr auto kType = answerBuildMessage(3);
  std::vector<SeenBuild> builds;
  MSGPACK_DEFINE(builds)
};

/// Asks which builds the models had before the sender started. Answered once the receiver knows.
struct BuildHistoryQuery {
  static constexpr auto kType = answerBuildMessage(4);
  MSGPACK_DEFINE()
};

struct BuildHistoryReply {
  static constexpr auto kType = answerBuildMessage(5);
  /// All such builds, with engines in the fleet or without.
  std::vector<SeenBuild> builds;
  MSGPACK_DEFINE(builds)
};

}  // namespace cypresswall::answer_builds
