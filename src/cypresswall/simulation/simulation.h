/// One simulated run: time, network, processes and fault counts. It is deterministic: the same seed
/// and the same calls give the same event digest.
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
  /// Destroys all processes before the objects that they use.
  ~Simulation();
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  /// Starts a process with a new incarnation. A process still alive at the address is killed first.
  /// \return the process, valid until the run ends, even after its death.
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
  /// Random numbers for the driver of the run; processes have their own.
  common::RandomSource& random() { return random_; }
  /// \return every process ever started, in order.
  const std::vector<std::unique_ptr<SimulatedProcess>>& processes() const { return processes_; }
  /// \return a seed for `purpose` derived from the run's seed.
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
