/// A fleet of real daemons on loopback before engines of two software builds, on the platform of
/// platform/wire.h. The store and the engines are stand-ins in this process.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/program.h"
#include "tests/process/tcp_proxy.h"
#include "tests/release_soak/objects_store_standin.h"
#include "tests/release_soak/runner_standin.h"
#include "tests/release_soak/stream_caller.h"

namespace cypresswall::testing {

class ReleaseFleet {
 public:
  /// Starts the daemons and engines of the first build, and waits until all nodes serve.
  ReleaseFleet(std::size_t nodes, std::size_t engines, const std::string& build);
  ~ReleaseFleet();
  ReleaseFleet(const ReleaseFleet&) = delete;
  ReleaseFleet& operator=(const ReleaseFleet&) = delete;

  std::size_t nodes() const { return daemons_.size(); }
  const std::string& gateway(std::size_t node) const { return gateways_[node]; }
  Program& daemon(std::size_t node) { return *daemons_[node]; }
  bool ready(std::size_t node) const;
  /// \return true if a new answer, asked for by the path, comes whole
  bool serves(std::size_t node, const std::string& path) const;
  /// \return a request for a new answer
  StreamCall newCall(const std::string& request_id, const std::string& path) const;

  /// Starts one more engine.
  void startEngine(const std::string& build);
  /// Takes an engine out of the store; it serves on.
  void withdrawEngine(std::size_t engine);
  void breakAnswers(std::size_t engine);
  /// Cuts one node off from the store, or connects it again.
  void cutFromStore(std::size_t node, bool cut);
  /// Declares the routes of all paths so far, and one more; the store acknowledges it.
  void declareRoute(const std::string& path_prefix);

  /// Kills all daemons; the store goes down at the same moment.
  void losePower();
  void startDaemons();
  void startDaemon(std::size_t node);
  void startStore();

 private:
  std::string host(std::size_t number) const;
  /// Runs `action` on the thread of the stand-ins, and waits until it is done.
  void onStandins(const std::function<void()>& action) const;

  /// Loopback prefix "127.a.b", different in each test process.
  std::string network_;
  std::string folder_;
  std::string store_address_;
  std::vector<std::string> gateways_;
  std::vector<std::string> routes_;
  std::uint64_t version_ = 0;
  mutable asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::unique_ptr<ObjectsStoreStandin> store_;
  std::vector<std::unique_ptr<RunnerStandin>> engines_;
  std::thread thread_;
  /// The store as each node reaches it.
  std::vector<std::unique_ptr<TcpProxy>> store_proxies_;
  std::vector<std::unique_ptr<Program>> daemons_;
};

}  // namespace cypresswall::testing
