#include "cypresswall/quarantine/crash_detector.h"

#include <utility>

namespace cypresswall::quarantine {
namespace {

constexpr std::uint32_t kQuestions = 2;

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
  Question& asked = found->second;
  if (asked.answered) {
    answer(asked.ended);
    return;
  }
  asked.waiting.push_back(std::move(answer));
  if (is_new) {
    asked.asked_at = context_.clock.now();
    question(engine, 1);
  }
}

void CrashDetector::question(const engines::EngineEndpoint& engine, std::uint32_t number) {
  client_.fetchLoad(engine, [this, engine, number](const auto& load) {
    if (!load.ok() && number < kQuestions) {
      question(engine, number + 1);
    } else {
      onAnswer(engine.name, !load.ok());
    }
  });
}

void CrashDetector::onAnswer(const common::EngineName& engine, bool ended) {
  (ended ? ended_ : alive_).add();
  Question& asked = questions_[engine];
  asked.answered = true;
  asked.ended = ended;
  for (const Answer& answer : std::exchange(asked.waiting, {})) {
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
