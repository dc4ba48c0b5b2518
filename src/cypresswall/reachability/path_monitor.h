/// Detects that this node has lost its links to all servers while it is otherwise connected.
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_connections.h"
#include "cypresswall/api/server_path.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/reachability/reachability_settings.h"

namespace cypresswall::reachability {

/// Follows the connections that this node opens. If those to several hosts fail in a row, a few
/// other servers are probed; if none of these can be reached either, the path counts as lost. A
/// single server that ended is thus not mistaken for a lost path, nor is a lost path found out
/// server by server. While the path is lost, probes are repeated until they succeed.
class PathMonitor final : public api::ServerPath {
 public:
  /// \pre all references outlive this object
  PathMonitor(const ReachabilitySettings& settings, const api::ProcessContext& context,
              const configuration::ConfigurationView& configuration,
              api::ServerConnections& connections);
  PathMonitor(const PathMonitor&) = delete;
  PathMonitor& operator=(const PathMonitor&) = delete;

  bool lost() const override { return lost_; }
  void check(std::function<void(bool works)> callback) override;
  /// \param listener called after the path was lost or works again
  void onChange(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }
  /// Records that a connection was opened for a request, or could not be.
  void onConnection(const common::Address& server, bool established);

 private:
  /// Probes a few servers, unless a round is in progress.
  void startRound();
  /// Probes up to `count` servers; their results end the round or, if none is reached and fewer
  /// than ReachabilitySettings::probed_servers were probed, lead to further probes.
  void probe(std::size_t count);
  /// \return up to `count` servers at random, on different hosts
  std::vector<common::Address> chooseServers(std::size_t count);
  void onProbe(bool established);
  /// \param works true if a probe of the round succeeded, or there are no servers to probe
  void endRound(bool works);
  void setLost(bool lost);

  const ReachabilitySettings settings_;
  const api::ProcessContext& context_;
  const configuration::ConfigurationView& configuration_;
  api::ServerConnections& connections_;
  bool lost_ = false;
  /// Hosts to which connections failed since the last one that was established.
  std::set<std::string> failed_hosts_;
  /// Probes of the current round without a result; zero if no round is in progress.
  std::size_t pending_probes_ = 0;
  std::size_t established_probes_ = 0;
  bool probing_all_ = false;
  std::size_t good_rounds_ = 0;
  common::TimerId next_round_ = 0;
  /// Waiting for the result of the current round.
  std::vector<std::function<void(bool works)>> waiting_;
  std::vector<std::function<void()>> listeners_;
  common::Counter& probes_;
  common::Counter& losses_;
  common::Counter& lost_gauge_;
};

}  // namespace cypresswall::reachability
