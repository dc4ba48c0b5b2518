#include "cypresswall/quarantine/part_examinations.h"

#include <utility>

namespace cypresswall::quarantine {

PartExaminations::PartExaminations(const QuarantineSettings& settings,
                                   const api::ProcessContext& context,
                                   const membership::MembershipView& membership,
                                   const membership::DisseminationPeers& peers,
                                   AnsweredParts& answers, Done done)
    : settings_(settings),
      context_(context),
      membership_(membership),
      peers_(peers),
      answers_(answers),
      done_(std::move(done)) {
  context_.dispatcher.handle<PartAnswersRequest>(
      [this](const common::NodeId& sender, const PartAnswersRequest& request) {
        onRequest(sender, request);
      });
  context_.dispatcher.handle<PartAnswers>(
      [this](const common::NodeId& sender, const PartAnswers& message) {
        onAnswers(sender, message);
      });
}

void PartExaminations::begin(common::RequestFingerprint part, const common::NodeId& reporter,
                             const std::vector<common::RequestFingerprint>& parts) {
  const auto [entry, is_new] = examinations_.try_emplace(part);
  Examination& examination = entry->second;
  examination.reporters.insert(reporter);
  if (!is_new) {
    return;
  }
  examination.awaited = nodesToAsk(reporter);
  context_.sendToAll({examination.awaited.begin(), examination.awaited.end()},
                     PartAnswersRequest{part, parts});
  const auto time = examination.awaited.empty() ? common::Duration{0} : settings_.examination_time;
  examination.timer = context_.scheduler.schedule(time, [this, part] { end(part); });
}

std::set<common::NodeId> PartExaminations::nodesToAsk(const common::NodeId& reporter) const {
  const auto receivers = peers_.updateReceivers();
  std::set<common::NodeId> nodes(receivers.begin(), receivers.end());
  nodes.insert(reporter);
  std::erase_if(nodes, [this](const common::NodeId& node) {
    return node == context_.self || !membership_.handles(node, api::MessageSet::kPartAnswers);
  });
  return nodes;
}

void PartExaminations::end(common::RequestFingerprint part) {
  const auto examination = examinations_.extract(part);
  done_(part, examination.mapped().reporters);
}

void PartExaminations::onRequest(const common::NodeId& sender, const PartAnswersRequest& request) {
  const auto now = context_.clock.now();
  PartAnswers reply;
  reply.examined = request.examined;
  for (const common::RequestFingerprint part : request.parts) {
    const auto last = answers_.lastAnswer(part);
    if (last && now - *last < settings_.answer_validity) {
      reply.answers.push_back({part, common::millisecondsOf(now - *last)});
    }
  }
  context_.sendTo(sender, reply);
}

void PartExaminations::onAnswers(const common::NodeId& sender, const PartAnswers& message) {
  const auto now = context_.clock.now();
  for (const PartAnswerAge& answer : message.answers) {
    answers_.add(answer.part, now - std::chrono::milliseconds(answer.age_milliseconds));
  }
  const auto found = examinations_.find(message.examined);
  if (found == examinations_.end()) {
    return;
  }
  found->second.awaited.erase(sender);
  if (found->second.awaited.empty()) {
    context_.scheduler.cancel(found->second.timer);
    end(message.examined);
  }
}

}  // namespace cypresswall::quarantine
