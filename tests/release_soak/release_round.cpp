#include "tests/release_soak/release_round.h"

#include <cppunit/Exception.h>
#include <csignal>
#include <set>
#include <sstream>
#include <thread>

namespace cypresswall::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kThreads = 12;
constexpr const char* kFirstBuild = "b1";
constexpr const char* kSecondBuild = "b2";
constexpr const char* kLastRoute = "/last/";
constexpr milliseconds kCalm{2000};
constexpr milliseconds kAfterwards{3000};
/// A frozen node runs this long between two stops.
constexpr milliseconds kMoment{30};
/// The platform's `contact_ms`: a node counts as in step so long after it was put in step.
constexpr milliseconds kContact{3000};
/// The platform's `recover_s`.
constexpr milliseconds kRecovery{12000};
/// Least number of answers taken up in a round, by which the share that goes on is judged.
constexpr std::uint64_t kEnough = 12;

void sleepFor(milliseconds time) { std::this_thread::sleep_for(time); }

std::string textOf(const CallerAnswer& answer) {
  std::ostringstream text;
  text << ' ' << answer.name;
  for (const AnswerAttempt& attempt : answer.attempts) {
    text << ", node " << attempt.node << " status " << attempt.result.status << " after "
         << attempt.after_event << ":";
    for (const ReceivedEvent& event : attempt.result.events) {
      text << ' ' << event.number << '/' << event.engine;
    }
  }
  return text.str();
}

}  // namespace

ReleaseResult ReleaseRound::run() {
  try {
    ReleaseFleet fleet(kNodes, kEngines, kFirstBuild);
    ReleaseCallers callers(fleet, kThreads, plan_.callers_seed);
    sleepFor(kCalm);
    release(fleet, callers);
    sleepFor(kAfterwards);
    for (const CallerAnswer& answer : callers.finish()) {
      check(answer);
    }
    checkShares();
    checkDaemons(fleet);
    losePower(fleet);
  } catch (const CppUnit::Exception& failure) {
    addViolation(failure.what());
  }
  return result_;
}

void ReleaseRound::release(ReleaseFleet& fleet, ReleaseCallers& callers) {
  callers.prefer(plan_.node);
  putOutOfStep(fleet);
  sleepFor(plan_.until_joined);
  for (std::size_t engine = 0; engine < plan_.joining; ++engine) {
    fleet.startEngine(kSecondBuild);
  }
  if (plan_.first_build_leaves) {
    first_build_left_at_ = steady_clock::now();
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      fleet.withdrawEngine(engine);
    }
  }
  sleepFor(plan_.until_in_step);
  putInStep(fleet);
  sleepFor(kContact);
  callers.preferNone();
}

void ReleaseRound::putOutOfStep(ReleaseFleet& fleet) {
  out_of_step_at_ = steady_clock::now();
  if (plan_.kind == OutOfStep::kStoreCut) {
    fleet.cutFromStore(plan_.node, true);
    return;
  }
  fleet.daemon(plan_.node).signal(SIGSTOP);
}

void ReleaseRound::putInStep(ReleaseFleet& fleet) {
  if (plan_.kind == OutOfStep::kAlone) {
    leaveAlone(fleet);
  } else if (plan_.kind == OutOfStep::kStoreCut) {
    fleet.cutFromStore(plan_.node, false);
  } else {
    fleet.daemon(plan_.node).signal(SIGCONT);
  }
  if (plan_.kind == OutOfStep::kFrozenTwice) {
    sleepFor(kMoment);
    fleet.daemon(plan_.node).signal(SIGSTOP);
    sleepFor(plan_.until_joined);
    fleet.daemon(plan_.node).signal(SIGCONT);
  }
  in_step_at_ = steady_clock::now();
}

void ReleaseRound::leaveAlone(ReleaseFleet& fleet) {
  fleet.cutFromStore(plan_.node, true);
  signalOthers(fleet, SIGSTOP);
  alone_at_ = steady_clock::now();
  fleet.daemon(plan_.node).signal(SIGCONT);
  sleepFor(plan_.alone);
  signalOthers(fleet, SIGCONT);
  fleet.cutFromStore(plan_.node, false);
}

void ReleaseRound::signalOthers(ReleaseFleet& fleet, int number) const {
  for (std::size_t node = 0; node < kNodes; ++node) {
    if (node != plan_.node) {
      fleet.daemon(node).signal(number);
    }
  }
}

/// The store is back some time after the nodes have started, and acknowledged a route before.
void ReleaseRound::losePower(ReleaseFleet& fleet) {
  fleet.declareRoute(kLastRoute);
  fleet.losePower();
  fleet.startDaemons();
  sleepFor(plan_.store_back_after);
  fleet.startStore();
  const auto returned = steady_clock::now();
  std::set<std::size_t> waiting;
  for (std::size_t node = 0; node < kNodes; ++node) {
    waiting.insert(node);
  }
  while (!waiting.empty() && steady_clock::now() - returned < kRecovery) {
    std::erase_if(waiting, [&](std::size_t node) {
      return fleet.ready(node) && fleet.serves(node, kLastRoute);
    });
    sleepFor(milliseconds(20));
  }
  result_.recovered_after =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - returned);
  for (const std::size_t node : waiting) {
    addViolation("node " + std::to_string(node) +
                 " doesn't serve the route acknowledged before the loss of power");
  }
}

void ReleaseRound::check(const CallerAnswer& answer) {
  ++result_.answers;
  std::set<std::string> builds;
  std::uint64_t last = 0;
  for (const AnswerAttempt& attempt : answer.attempts) {
    if (attempt.after_event > 0) {
      checkTakenUp(answer, attempt);
    }
    for (const ReceivedEvent& event : attempt.result.events) {
      builds.insert(event.build);
      if (event.number != last + 1) {
        addViolation("events of an answer aren't in order:" + textOf(answer));
      }
      last = event.number;
    }
    result_.whole += attempt.result.complete ? 1 : 0;
    if (attempt.result.complete && last != answer.events) {
      addViolation("an answer ends as complete ahead of event " + std::to_string(answer.events) +
                   ":" + textOf(answer));
    }
  }
  if (builds.size() > 1) {
    addViolation("an answer holds events of two builds:" + textOf(answer));
  }
}

/// Half of what is taken up at nodes in touch has to go on, and so at the node that is back.
void ReleaseRound::checkShares() {
  const std::string counted = std::to_string(result_.counted);
  if (result_.counted < kEnough) {
    addViolation("only " + counted + " answers were taken up at nodes in step");
  }
  if (2 * result_.went_on < result_.counted) {
    addViolation(std::to_string(result_.went_on) + " of " + counted +
                 " answers taken up at nodes in step went on");
  }
  if (result_.returned == 0 || 2 * result_.returned_went_on < result_.returned) {
    addViolation(std::to_string(result_.returned_went_on) + " of " +
                 std::to_string(result_.returned) +
                 " answers taken up at the node that is back in step went on");
  }
}

void ReleaseRound::checkDaemons(ReleaseFleet& fleet) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    const std::string ending = fleet.daemon(node).ending();
    if (!ending.empty()) {
      addViolation("node " + std::to_string(node) + " ended by itself: " + ending);
    }
  }
}

void ReleaseRound::checkTakenUp(const CallerAnswer& answer, const AnswerAttempt& attempt) {
  ++result_.taken_up;
  const bool went_on = !attempt.result.events.empty() || attempt.result.complete;
  const auto left_step_at = attempt.node == plan_.node ? out_of_step_at_ : alone_at_;
  if (attempt.ended >= left_step_at && attempt.began <= in_step_at_ + kContact) {
    ++result_.out_of_step;
    result_.out_of_step_went_on += went_on ? 1 : 0;
    return;
  }
  const std::string& build = answer.attempts.front().result.events.front().build;
  if (twoEnginesServeUntil(attempt.ended, build)) {
    ++result_.counted;
    result_.went_on += went_on ? 1 : 0;
    if (attempt.node == plan_.node && attempt.began > in_step_at_) {
      ++result_.returned;
      result_.returned_went_on += went_on ? 1 : 0;
    }
  }
}

bool ReleaseRound::twoEnginesServeUntil(Time time, const std::string& build) const {
  return build == kSecondBuild || time < first_build_left_at_;
}

}  // namespace cypresswall::testing
