#include "tests/release_soak/release_callers.h"

#include <utility>

namespace cypresswall::testing {
namespace {

constexpr std::size_t kAttempts = 6;
constexpr double kBreaksOffShare = 0.8;
constexpr double kAtOnceShare = 0.5;
constexpr double kPreferredShare = 0.5;
constexpr std::uint64_t kLongestPauseMilliseconds = 1500;
/// Longest part of an answer after which a caller breaks it off.
constexpr std::uint64_t kLongestPart = 8;
constexpr const char* kPath = "/first/answer";

std::string nameOf(std::size_t thread, std::uint64_t number) {
  std::string name = std::to_string(thread);
  name.append("-").append(std::to_string(number));
  return name;
}

}  // namespace

ReleaseCallers::ReleaseCallers(const ReleaseFleet& fleet, std::size_t threads, std::uint64_t seed)
    : fleet_(fleet), preferred_(fleet.nodes()) {
  for (std::size_t thread = 0; thread < threads; ++thread) {
    threads_.emplace_back([this, thread, seed] { run(thread, seed); });
  }
}

ReleaseCallers::~ReleaseCallers() { finish(); }

std::vector<CallerAnswer> ReleaseCallers::finish() {
  stop_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return std::exchange(answers_, {});
}

void ReleaseCallers::run(std::size_t thread, std::uint64_t seed) {
  common::SeededRandom random(seed + thread);
  for (std::uint64_t number = 0; !stop_; ++number) {
    CallerAnswer answer = askFor(nameOf(thread, number), random);
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(answer));
  }
}

CallerAnswer ReleaseCallers::askFor(const std::string& name, common::RandomSource& random) {
  StreamCall call = fleet_.newCall(name + "-0", kPath);
  CallerAnswer answer{name, call.events, {}};
  call.prompt = name;
  std::size_t node = random.below(fleet_.nodes());
  while (answer.attempts.size() < kAttempts) {
    call.close_after = random.unit() < kBreaksOffShare
                           ? 1 + static_cast<std::size_t>(random.below(kLongestPart))
                           : 0;
    AnswerAttempt attempt{node, std::chrono::steady_clock::now(), {}, call.after_event, {}};
    attempt.result = callStream(fleet_.gateway(node), call);
    attempt.ended = std::chrono::steady_clock::now();
    answer.attempts.push_back(attempt);
    const StreamResult& result = attempt.result;
    if (!result.events.empty()) {
      call.resumes = call.resumes.empty() ? call.request_id : call.resumes;
      call.after_event = result.events.back().number;
    }
    if (result.complete || call.after_event == 0 || call.after_event >= call.events) {
      break;
    }
    pause(random);
    call.request_id = name + "-" + std::to_string(answer.attempts.size());
    node = nodeToTakeUpAt(random);
  }
  return answer;
}

void ReleaseCallers::pause(common::RandomSource& random) const {
  if (random.unit() >= kAtOnceShare) {
    std::this_thread::sleep_for(std::chrono::milliseconds(random.below(kLongestPauseMilliseconds)));
  }
}

std::size_t ReleaseCallers::nodeToTakeUpAt(common::RandomSource& random) const {
  const std::size_t preferred = preferred_;
  const std::size_t any = random.below(fleet_.nodes());
  return preferred < fleet_.nodes() && random.unit() < kPreferredShare ? preferred : any;
}

}  // namespace cypresswall::testing
