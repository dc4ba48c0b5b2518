#include "cypresswall/quarantine/crash_detector.h"

#include <utility>

namespace cypresswall::quarantine {
namespace {

common::Counter& answers(const api::ProcessContext& context, const char* engine) {
  return context.counters.counter("cypresswall_quarantine_engines_asked_total",
                                  "Engines asked whether they still run after a stream broke there",
                                  "engine", engine);
}

}  // namespace

CrashDetector::CrashDetector(const QuarantineSettings& settings, const api::ProcessContext& context,
                             engines::EngineClient& client)
    : settings_(settings),
      context_(context),
      client_(client),
      ended_(answers(context, "ended")),
      alive_(answers(context, "alive")) {}

void CrashDetector::ask(const engines::EngineEndpoint& engine, Answer answer) {
  forgetOld();
  const auto [found, is_new] = questions_.try_emplace(engine.name);
  Question& question = found->second;
  if (question.answered) {
    answer(question.ended);
    return;
  }
  question.waiting.push_back(std::move(answer));
  if (!is_new) {
    return;
  }
  question.asked_at = context_.clock.now();
  client_.fetchLoad(engine,
                    [this, name = engine.name](const auto& load) { onAnswer(name, !load.ok()); });
}

void CrashDetector::onAnswer(const common::EngineName& engine, bool ended) {
  (ended ? ended_ : alive_).add();
  Question& question = questions_[engine];
  question.answered = true;
  question.ended = ended;
  for (const Answer& answer : std::exchange(question.waiting, {})) {
    answer(ended);
  }
}

void CrashDetector::forgetOld() {
  const auto now = context_.clock.now();
  std::erase_if(questions_, [&](const auto& entry) {
    const Question& question = entry.second;
    return question.answered && now - question.asked_at > settings_.same_answer;
  });
}

}  // namespace cypresswall::quarantine
