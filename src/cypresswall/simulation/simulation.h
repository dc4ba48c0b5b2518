/// One simulated run: time, network, processes and fault counts. A run is deterministic: the same
/// seed and the same calls give the same event digest.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "cypresswall/common/random.h"
#include "cypresswall/simulation/event_digest.h"
#include "cypresswall/simulation/fault_counters.h"
#include "cypresswall/simulation/simulated_network.h"
#include "cypresswall/simulation/simulated_process.h"
#include "cypresswall/simulation/virtual_time.h"

namespace cypresswall::simulation {

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed, NetworkSettings network = {});
  /// Destroys all processes before the other members, which the processes use.
  ~Simulation();
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  /// Starts a process with a new incarnation. If a process at the address is still alive, it is
  /// killed first.
  /// \return the process, valid until the run ends, even after the process was killed.
  SimulatedProcess& start(const common::Address& address, const common::ZoneName& zone,
                          ClockSettings clock = {}, common::LogSink* log = nullptr);
  /// Kills a process and counts the fault.
  void kill(SimulatedProcess& process);
  /// Pauses a process and resumes it after `duration` of true time.
  void pauseFor(SimulatedProcess& process, common::Duration duration);
  /// Calls `listener` when a process resumes from a pause, before any of its events run.
  void onResume(std::function<void(SimulatedProcess&)> listener) {
    resume_listener_ = std::move(listener);
  }

  VirtualTime& time() { return time_; }
  SimulatedNetwork& network() { return network_; }
  FaultCounters& faults() { return faults_; }
  EventDigest& digest() { return digest_; }
  /// Random numbers for the code that drives the run; each process has its own random numbers.
  common::RandomSource& random() { return random_; }
  /// \return all processes started so far, dead ones included, in the order of their start.
  const std::vector<std::unique_ptr<SimulatedProcess>>& processes() const { return processes_; }
  /// \return a seed derived from the run's seed; different for each `purpose` and `number`.
  std::uint64_t deriveSeed(std::string_view purpose, std::uint64_t number = 0) const;

 private:
  std::uint64_t seed_;
  VirtualTime time_;
  FaultCounters faults_;
  EventDigest digest_;
  common::SeededRandom random_;
  SimulatedNetwork network_;
  std::vector<std::unique_ptr<SimulatedProcess>> processes_;
  std::function<void(SimulatedProcess&)> resume_listener_;
};

}  // namespace cypresswall::simulation
