/// One release round: engines of a second software build join a fleet of real processes while one
/// node is out of step; then all machines of the system lose power.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/release_soak/release_callers.h"
#include "tests/release_soak/release_fleet.h"
#include "tests/release_soak/release_plan.h"

namespace cypresswall::testing {

struct ReleaseResult {
  std::uint64_t answers = 0;
  std::uint64_t whole = 0;
  /// Requests that took an answer up.
  std::uint64_t taken_up = 0;
  /// Of these, the ones at nodes in step while at least two engines of the build served, and those
  /// that went on.
  std::uint64_t counted = 0;
  std::uint64_t went_on = 0;
  /// Requests that took an answer up at the node that was out of step, and those that went on.
  std::uint64_t out_of_step = 0;
  std::uint64_t out_of_step_went_on = 0;
  /// Of `counted` and `went_on`, those at the node that had been out of step before.
  std::uint64_t returned = 0;
  std::uint64_t returned_went_on = 0;
  /// From the moment at which all machines ran again until all nodes served.
  std::chrono::milliseconds recovered_after{0};
  std::vector<std::string> violations;
};

class ReleaseRound {
 public:
  static constexpr std::size_t kNodes = 4;
  static constexpr std::size_t kEngines = 3;

  explicit ReleaseRound(const ReleasePlan& plan) : plan_(plan) {}

  ReleaseResult run();

 private:
  using Time = std::chrono::steady_clock::time_point;

  void release(ReleaseFleet& fleet, ReleaseCallers& callers);
  void putOutOfStep(ReleaseFleet& fleet);
  void putInStep(ReleaseFleet& fleet);
  /// Freezes the other nodes and cuts the store off for a while.
  void leaveAlone(ReleaseFleet& fleet);
  void signalOthers(ReleaseFleet& fleet, int number) const;
  void losePower(ReleaseFleet& fleet);
  void check(const CallerAnswer& answer);
  void checkShares();
  void checkDaemons(ReleaseFleet& fleet);
  void checkTakenUp(const CallerAnswer& answer, const AnswerAttempt& attempt);
  /// \return true if at least two engines of the build that began an answer serve until then
  bool twoEnginesServeUntil(Time time, const std::string& build) const;
  void addViolation(const std::string& text) { result_.violations.push_back(text); }

  const ReleasePlan plan_;
  Time out_of_step_at_{};
  Time in_step_at_{};
  /// When the other nodes were frozen.
  Time alone_at_ = Time::max();
  Time first_build_left_at_ = Time::max();
  ReleaseResult result_;
};

}  // namespace cypresswall::testing
