/// Soak test: runs rounds with new random seeds for some minutes and prints a summary. Exits with 1
/// if an invariant was violated; add the seed of such a round to regressions.txt, with its cause.
#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <random>

#include "tests/release_soak/release_round.h"
#include "tests/soak/soak_round.h"

DEFINE_int64(minutes, 3, "minutes in which new rounds are started; ignored with --seed");
DEFINE_uint64(seed, 0, "run only the round of this seed; zero for rounds with random seeds");
DEFINE_bool(announcements, true,
            "engines also say that they leave or ask for a pause, and slow down");
DEFINE_bool(damaged_responses, true, "responses also stop early, come twice or never end");
DEFINE_uint64(kinds, 0, "number of kinds of faults, from the first, to draw from; zero for all");
DEFINE_bool(release, false, "rounds of a release of the engines' software instead");
DEFINE_uint64(faults, 8, "faults in a round; a seed gives the same plan only with the same number");

namespace {

using cypresswall::testing::kFaultKinds;
using cypresswall::testing::kFaultNames;
using cypresswall::testing::planRelease;
using cypresswall::testing::ReleaseRound;
using cypresswall::testing::SoakResult;
using cypresswall::testing::SoakRound;

/// Totals over all rounds.
struct Ledger {
  std::uint64_t rounds = 0;
  std::uint64_t whole = 0;
  std::uint64_t failed = 0;
  std::uint64_t broken = 0;
  std::uint64_t refused = 0;
  std::uint64_t booked = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lookups = 0;
  std::uint64_t lookups_failed = 0;
  std::uint64_t damaged_responses = 0;
  std::uint64_t changes = 0;
  std::uint64_t checks = 0;
  std::uint64_t violations = 0;
  std::array<std::uint64_t, kFaultKinds> faults{};

  void add(const SoakResult& result) {
    ++rounds;
    whole += result.load.whole_streams;
    failed += result.load.failed_streams;
    broken += result.load.broken_streams;
    refused += result.load.refused_streams;
    booked += result.load.bookings_done;
    not_run += result.load.bookings_not_run;
    unknown += result.load.bookings_unknown;
    lookups += result.load.lookups_whole;
    lookups_failed += result.load.lookups_failed;
    damaged_responses += result.damaged_responses;
    changes += result.changes_accepted;
    checks += result.changes_checked;
    violations += result.violations.size();
    for (std::size_t kind = 0; kind < kFaultKinds; ++kind) {
      faults[kind] += result.faults[kind];
    }
  }
  void print() const {
    std::printf(
        "soak: rounds=%lu streams_whole=%lu failed=%lu broken=%lu refused=%lu "
        "bookings_done=%lu not_run=%lu unknown=%lu lookups_whole=%lu failed=%lu changes=%lu "
        "changes_checked=%lu damaged_responses=%lu violations=%lu\n",
        rounds, whole, failed, broken, refused, booked, not_run, unknown, lookups, lookups_failed,
        changes, checks, damaged_responses, violations);
    for (std::size_t kind = 0; kind < kFaultKinds; ++kind) {
      std::printf("  %s: %lu%s\n", kFaultNames[kind], faults[kind],
                  faults[kind] == 0 ? " (never happened)" : "");
    }
  }
};

std::size_t kindsToDrawFrom() {
  if (FLAGS_kinds != 0) {
    return FLAGS_kinds;
  }
  if (!FLAGS_announcements) {
    return cypresswall::testing::kKindsWithoutAnnouncements;
  }
  return FLAGS_damaged_responses ? kFaultKinds : cypresswall::testing::kKindsWithSoundResponses;
}

void playRelease(std::uint64_t seed, Ledger& ledger) {
  const auto plan = planRelease(seed, ReleaseRound::kNodes);
  std::printf("release seed=%lu: %s\n", seed, cypresswall::testing::describe(plan).c_str());
  std::fflush(stdout);
  const auto result = ReleaseRound(plan).run();
  std::printf(
      "  answers=%lu whole=%lu taken_up=%lu in_step=%lu went_on=%lu out_of_step=%lu went_on=%lu "
      "recovered_after_ms=%ld violations=%zu\n",
      result.answers, result.whole, result.taken_up, result.counted, result.went_on,
      result.out_of_step, result.out_of_step_went_on, result.recovered_after.count(),
      result.violations.size());
  for (const std::string& violation : result.violations) {
    std::printf("VIOLATION seed=%lu: %s\n", seed, violation.c_str());
  }
  ledger.violations += result.violations.size();
}

void play(std::uint64_t seed, Ledger& ledger) {
  if (FLAGS_release) {
    playRelease(seed, ledger);
    return;
  }
  const auto plan =
      cypresswall::testing::planFaults(seed, FLAGS_faults, SoakRound::kNodes, SoakRound::kEngines,
                                       kindsToDrawFrom(), SoakRound::kBackEnds);
  std::printf("round seed=%lu faults=%lu kinds=%zu: %s\n", seed, FLAGS_faults, kindsToDrawFrom(),
              cypresswall::testing::describe(plan).c_str());
  std::fflush(stdout);
  const SoakResult result = SoakRound(plan).run();
  for (const std::string& violation : result.violations) {
    std::printf("VIOLATION seed=%lu: %s\n", seed, violation.c_str());
  }
  ledger.add(result);
}

}  // namespace

int main(int argument_count, char** arguments) {
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  Ledger ledger;
  if (FLAGS_seed != 0) {
    play(FLAGS_seed, ledger);
  } else {
    std::random_device fresh;
    const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(FLAGS_minutes);
    do {
      play(1 + fresh(), ledger);
    } while (std::chrono::steady_clock::now() < end);
  }
  if (!FLAGS_release) {
    ledger.print();
  }
  return ledger.violations == 0 ? 0 : 1;
}
