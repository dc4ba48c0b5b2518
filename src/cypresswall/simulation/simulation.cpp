#include "cypresswall/simulation/simulation.h"

#include <string>

#include "cypresswall/common/prompt.h"

namespace cypresswall::simulation {
namespace {

std::uint64_t hashPurpose(std::uint64_t seed, std::string_view purpose, std::uint64_t number) {
  return common::hash64(std::string(purpose) + "/" + std::to_string(number), seed);
}

}  // namespace

Simulation::Simulation(std::uint64_t seed, NetworkSettings network)
    : seed_(seed),
      random_(hashPurpose(seed, "driver", 0)),
      network_(network, hashPurpose(seed, "network", 0), time_, faults_, digest_) {}

Simulation::~Simulation() {
  for (const auto& process : processes_) {
    process->kill();
  }
}

std::uint64_t Simulation::deriveSeed(std::string_view purpose, std::uint64_t number) const {
  return hashPurpose(seed_, purpose, number);
}

SimulatedProcess& Simulation::start(const common::Address& address, const common::ZoneName& zone,
                                    ClockSettings clock, common::LogSink* log) {
  for (const auto& process : processes_) {
    if (process->alive() && process->id().address == address) {
      kill(*process);
    }
  }
  const std::uint64_t seed = deriveSeed("process", processes_.size());
  // A later process at the same address has a higher incarnation, as in the daemon, which derives
  // incarnations from the time.
  const std::uint64_t incarnation =
      ((processes_.size() + 1) << 32U) | (deriveSeed("incarnation", processes_.size()) >> 32U);
  ProcessSettings settings{common::NodeId{address, incarnation}, zone, clock, seed, log};
  processes_.push_back(
      std::make_unique<SimulatedProcess>(std::move(settings), time_, network_, faults_));
  network_.attach(*processes_.back());
  digest_.add(time_.now(), "start", incarnation, address);
  return *processes_.back();
}

void Simulation::kill(SimulatedProcess& process) {
  if (!process.alive()) {
    return;
  }
  digest_.add(time_.now(), "kill", process.id().incarnation);
  faults_.add(FaultKind::kKill);
  process.kill();
}

void Simulation::pauseFor(SimulatedProcess& process, common::Duration duration) {
  if (!process.alive() || process.paused()) {
    return;
  }
  digest_.add(time_.now(), "pause", process.id().incarnation);
  process.pause();
  time_.schedule(duration, [this, &process] {
    if (process.paused()) {
      process.resume();
      if (resume_listener_) {
        resume_listener_(process);
      }
    }
  });
}

}  // namespace cypresswall::simulation
