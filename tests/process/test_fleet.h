/// A fleet of real processes on loopback for one test: platform, engines, an HTTP service with a
/// ledger of executions, and one zone of daemons.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/process/http_call.h"
#include "tests/process/program.h"

namespace cypresswall::testing {

inline constexpr const char* kModel = "model";
inline constexpr const char* kModelVersion = "1";
inline constexpr const char* kModelService = "chat";
inline constexpr const char* kHttpService = "booking";

/// Polls until `condition` holds; fails the test after a generous time limit.
void waitUntil(const std::string& what, const std::function<bool()>& condition);

class TestFleet {
 public:
  /// \return the address at which the daemons reach the process at `target`, such as a proxy
  using AddressMapping = std::function<std::string(const std::string& target)>;

  /// Starts all processes, declares the fleet, and waits until it serves.
  /// \param engine_builds software builds that the engines have in turn
  /// \param daemon_address_of called for the platform, then for each engine, then for each back end
  ///   of the service; without it, daemons use the addresses themselves
  /// \param back_ends of the service; they share one ledger
  TestFleet(std::size_t nodes, std::size_t engines, const AddressMapping& daemon_address_of = {},
            std::vector<std::string> engine_builds = {""}, std::size_t back_ends = 1);
  ~TestFleet();

  std::size_t nodes() const { return daemons_.size(); }
  const std::string& gateway(std::size_t node) const { return gateways_[node]; }
  Program& daemon(std::size_t node) { return *daemons_[node]; }
  /// Adds flags to the command lines of daemons that are started from now on.
  void addDaemonFlags(std::vector<std::string> flags) { more_flags_ = std::move(flags); }
  /// Restarts a daemon that has ended, and waits until it is ready.
  void restart(std::size_t node);
  /// Kills all daemons at the same moment.
  void killAll();
  /// Kills all daemons as the store goes down.
  void losePower();
  /// Starts all daemons after killAll() or losePower(); doesn't wait.
  void startAll();
  void waitUntilAllAreReady() const;
  bool ready(std::size_t node) const;
  /// \return true if the node answers a short request to the model
  bool serves(std::size_t node) const;

  /// Runs an operator command at a node. \return the JSON of the answer
  nlohmann::json command(std::size_t node, const std::string& text) const;
  /// \return the number of the node among `asked` that reports holding the lease; nodes() if none.
  std::size_t leaseHolder(const std::vector<std::size_t>& asked) const;
  std::size_t leaseHolder() const;

  std::string engineName(std::size_t engine) const { return "runner-" + std::to_string(engine); }
  void engineFault(std::size_t engine, const nlohmann::json& fault) const;
  nlohmann::json engineLoad(std::size_t engine) const;
  nlohmann::json engineLedger(std::size_t engine) const;
  void platformFault(const nlohmann::json& fault) const;
  void serviceFault(const nlohmann::json& fault) const;
  nlohmann::json serviceLedger() const;
  std::size_t engines() const { return engines_.size(); }
  const std::vector<std::string>& engineBuilds() const { return engine_builds_; }

 private:
  void startDaemon(std::size_t node);
  void declare();
  std::string peerAddress(std::size_t node) const;
  std::string host(int part, std::size_t number) const;

  /// Loopback prefix "127.a.b", different in each test process.
  std::string network_;
  std::string folder_;
  std::string platform_;
  /// Addresses at which daemons reach the platform and the engines.
  std::string platform_address_for_daemons_;
  std::vector<std::string> engine_addresses_for_daemons_;
  std::vector<std::string> back_ends_;
  std::vector<std::string> back_end_addresses_for_daemons_;
  std::vector<std::string> engine_builds_;
  std::vector<std::string> engines_;
  std::vector<std::string> gateways_;
  std::unique_ptr<Program> platform_program_;
  std::unique_ptr<Program> engine_program_;
  std::unique_ptr<Program> service_program_;
  std::vector<std::string> more_flags_;
  std::vector<std::unique_ptr<Program>> daemons_;
};

}  // namespace cypresswall::testing
