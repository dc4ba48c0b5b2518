#include "cypresswall/reachability/path_monitor.h"

#include <utility>

namespace cypresswall::reachability {
namespace {

/// A random server is drawn at most this many times for each one that is probed, since several
/// servers may share a host.
constexpr std::size_t kDrawsPerServer = 4;

std::string hostOf(const common::Address& address) { return address.substr(0, address.rfind(':')); }

std::vector<common::Address> serversOf(const configuration::FleetConfiguration& fleet,
                                       const common::ZoneName& zone) {
  std::vector<common::Address> servers;
  for (const auto& [name, engine] : fleet.engines) {
    if (engine.zone == zone) {
      servers.push_back(engine.address);
    }
  }
  for (const auto& [name, service] : fleet.http_services) {
    for (const auto& backend : service.backends) {
      servers.push_back(backend.address);
    }
  }
  return servers;
}

}  // namespace

PathMonitor::PathMonitor(const ReachabilitySettings& settings, const api::ProcessContext& context,
                         const configuration::ConfigurationView& configuration,
                         api::ServerConnections& connections)
    : settings_(settings),
      context_(context),
      configuration_(configuration),
      connections_(connections),
      probes_(context.counters.counter("cypresswall_server_probes_total",
                                       "Connections opened to find out whether servers can be "
                                       "reached")),
      losses_(context.counters.counter("cypresswall_server_path_losses_total",
                                       "Times that this node lost its links to all servers")),
      lost_gauge_(context.counters.gauge("cypresswall_server_path_lost",
                                         "1 while this node can't reach any server")) {}

void PathMonitor::onConnection(const common::Address& server, bool established) {
  if (!settings_.enabled) {
    return;
  }
  if (established) {
    failed_hosts_.clear();
    return;
  }
  failed_hosts_.insert(hostOf(server));
  if (!lost_ && failed_hosts_.size() >= settings_.suspicious_hosts) {
    startRound();
  }
}

void PathMonitor::check(std::function<void(bool works)> callback) {
  if (!settings_.enabled) {
    callback(true);
    return;
  }
  waiting_.push_back(std::move(callback));
  startRound();
}

std::vector<common::Address> PathMonitor::chooseServers(std::size_t count) {
  const auto all = serversOf(*configuration_.current(), context_.zone);
  std::vector<common::Address> chosen;
  std::set<std::string> hosts;
  for (std::size_t draw = 0; draw < count * kDrawsPerServer && !all.empty(); ++draw) {
    const common::Address& server = all[context_.random.below(all.size())];
    if (chosen.size() < count && hosts.insert(hostOf(server)).second) {
      chosen.push_back(server);
    }
  }
  return chosen;
}

void PathMonitor::startRound() {
  if (pending_probes_ > 0) {
    return;
  }
  context_.scheduler.cancel(std::exchange(next_round_, 0));
  probe(lost_ ? settings_.probed_servers : settings_.first_probes);
}

void PathMonitor::probe(std::size_t count) {
  const auto servers = chooseServers(count);
  if (servers.empty()) {
    endRound(true);
    return;
  }
  probing_all_ = count >= settings_.probed_servers;
  established_probes_ = 0;
  pending_probes_ = servers.size();
  probes_.add(servers.size());
  for (const common::Address& server : servers) {
    connections_.probe(server, [this](bool established) { onProbe(established); });
  }
}

void PathMonitor::onProbe(bool established) {
  established_probes_ += established ? 1 : 0;
  if (--pending_probes_ > 0) {
    return;
  }
  if (established_probes_ == 0 && !probing_all_) {
    probe(settings_.probed_servers);
  } else {
    endRound(established_probes_ > 0);
  }
}

void PathMonitor::endRound(bool works) {
  failed_hosts_.clear();
  if (!works) {
    good_rounds_ = 0;
    setLost(true);
  } else if (lost_ && ++good_rounds_ >= settings_.rounds_to_return) {
    setLost(false);
  }
  if (lost_) {
    next_round_ = context_.scheduler.schedule(settings_.probe_interval, [this] {
      next_round_ = 0;
      startRound();
    });
  }
  for (const auto& callback : std::exchange(waiting_, {})) {
    callback(works);
  }
}

void PathMonitor::setLost(bool lost) {
  if (std::exchange(lost_, lost) == lost) {
    return;
  }
  lost_gauge_.set(lost ? 1 : 0);
  losses_.add(lost ? 1 : 0);
  common::LogEvent(context_.log, common::LogLevel::kWarning,
                   lost ? "server_path_lost" : "server_path_regained")
      .field("probed", settings_.probed_servers);
  for (const auto& listener : listeners_) {
    listener();
  }
}

}  // namespace cypresswall::reachability
