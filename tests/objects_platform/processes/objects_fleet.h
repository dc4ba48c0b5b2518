/// Real daemons with the deployed settings, before stand-ins of the users' platform: a store, and
/// runners of a plain service and of a language model.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/objects_platform/processes/runner_standin.h"
#include "tests/objects_platform/processes/standin_loop.h"
#include "tests/objects_platform/processes/store_standin.h"
#include "tests/process/http_call.h"
#include "tests/process/link_cut.h"
#include "tests/process/program.h"

namespace cypresswall::objects_platform::testing {

using cypresswall::testing::HttpAnswer;
using cypresswall::testing::LinkCut;
using cypresswall::testing::Program;

inline constexpr const char* kPlainService = "booking-api";
inline constexpr const char* kModelService = "assistant-llm";

/// A request of a streaming route.
struct ModelCall {
  /// Identifier of the request; a new one if it is empty.
  std::string request = {};
  std::uint64_t events = 1;
  /// Time that the caller waits, in ms.
  std::uint64_t deadline = 6000;
  /// Number of the last event that an earlier try gave, and the identifier of that try's request.
  std::string last_event = {};
  std::string resumed_request = {};
};

/// \param prefix name and first part of the path of the route of the plain service
/// \return the operator's configuration as the store holds it
std::string operatorConfiguration(std::uint64_t version, const std::string& prefix = "slots");

/// Polls until `condition` holds. \return false if it doesn't within the limit
bool holdsWithin(common::Duration limit, const std::function<bool()>& condition);

/// What a daemon may take of its machine, and from callers.
struct DaemonLimits {
  std::size_t memory_megabytes = 260;
  /// Connections of callers; zero leaves it to the deployed settings.
  std::size_t connections = 0;
};

class ObjectsFleet {
 public:
  /// Starts the store with a configuration and two runners of each service, but no daemon.
  explicit ObjectsFleet(std::size_t nodes, const DaemonLimits& limits = {});
  ~ObjectsFleet();
  ObjectsFleet(const ObjectsFleet&) = delete;
  ObjectsFleet& operator=(const ObjectsFleet&) = delete;

  std::size_t nodes() const { return programs_.size(); }
  Program& daemon(std::size_t node) { return *programs_[node]; }
  void startDaemons();
  /// Starts a daemon that has ended, or was killed.
  void restart(std::size_t node) { start(node); }
  bool ready(std::size_t node) const;
  bool allAreReady() const;

  /// Runs `change` on the thread of the stand-ins.
  void atStore(const std::function<void(StoreStandin&)>& change);
  /// Starts a runner, and puts its entry into the store.
  RunnerStandin& addRunner(RunnerSettings settings);
  /// Removes the runner's entry; the runner goes on serving.
  void removeEntry(const RunnerStandin& runner);
  const std::vector<std::unique_ptr<RunnerStandin>>& runners() const { return runners_; }
  /// \return an unused address for a runner
  std::string runnerAddress();

  /// A plain call, or a stream, through a node. No repeats. May be called on any thread.
  HttpAnswer callPlain(std::size_t node, const std::string& prefix = "slots");
  /// \return the head of a request of the plain route, up to its empty line
  std::string plainHead(const std::string& target, const std::string& more_fields = "");
  HttpAnswer callModel(std::size_t node, const ModelCall& call);
  std::string newRequest();
  /// \return where a node takes callers' requests, "IP:port"
  std::string frontAddress(std::size_t node) const;
  /// \return where a node takes management requests, "IP:port"
  std::string readinessAddress(std::size_t node) const;

  /// Cuts a node off from the other nodes and from the store, but not from callers and runners.
  void isolate(std::size_t node);
  /// Ends isolate().
  void heal();

  /// \return how each daemon that is no longer running has ended, such as "node 1: signal 11"
  std::vector<std::string> endings() const;
  /// \return true if a daemon wrote a line that contains both texts
  bool logged(const std::string& first, const std::string& second) const;

 private:
  std::string host(int part, std::size_t number) const;
  std::string peerAddress(std::size_t node) const;
  std::string settingsOf(std::size_t node) const;
  std::string storeAddress(std::size_t node) const;
  std::string logOf(std::size_t node) const;
  void openStore(std::size_t node);
  void start(std::size_t node);

  /// Loopback prefix "127.a.b", different in each test process.
  std::string network_;
  std::string folder_;
  std::size_t nodes_;
  DaemonLimits limits_;
  std::size_t addresses_ = 0;
  std::atomic<std::size_t> requests_{0};
  StandinLoop loop_;
  std::vector<std::unique_ptr<RunnerStandin>> runners_;
  std::unique_ptr<StoreStandin> store_;
  std::vector<std::unique_ptr<Program>> programs_;
  LinkCut cut_;
  std::size_t isolated_node_ = 0;
};

}  // namespace cypresswall::objects_platform::testing
