#include "cypresswall/node/node.h"

#include <utility>

namespace cypresswall::node {
namespace {

std::unique_ptr<routing::Router> makeRouter(const NodeSettings& settings,
                                            const api::ProcessContext& context,
                                            routing::EngineDirectory& directory) {
  if (settings.make_router) {
    return settings.make_router(context, directory);
  }
  return std::make_unique<routing::CostRouter>(settings.router, context, directory);
}

/// Stands in where the platform adapter has no probes; the path monitor is then disabled.
class NoServerConnections final : public api::ServerConnections {
 public:
  void probe(const common::Address&, ProbeCallback) override {}
};

api::ServerConnections& connectionsOf(const NodeClients& clients) {
  static NoServerConnections none;
  return clients.connections == nullptr ? none : *clients.connections;
}

/// \return the settings with those that follow from others
NodeSettings completed(NodeSettings settings, bool probes_servers) {
  settings.membership.neighbours.mesh_limit = settings.shared_zone_nodes;
  settings.directory.groups.shared_zone_node_limit = settings.shared_zone_nodes;
  settings.reachability.enabled = settings.reachability.enabled && probes_servers;
  settings.fair_share_accounts.enabled =
      settings.fair_shares.divides_engines || settings.fair_shares.limits_services;
  return settings;
}

}  // namespace

Node::Node(NodeSettings settings, const api::ProcessContext& context, const NodeClients& clients)
    : settings_(completed(std::move(settings), clients.connections != nullptr)),
      context_(context),
      clients_(clients),
      membership_(settings_.membership, context_, clients.machine_list),
      gossip_(settings_.membership, context_, membership_),
      authority_(settings_.lease, context_, membership_, clients.object_store),
      orders_authority_(makeOrdersAuthority(clients.object_store)),
      configuration_(settings_.configuration, context_, membership_, gossip_, clients.object_store),
      declared_(clients.declared),
      configuration_view_(declared_ != nullptr ? *declared_ : configuration_),
      announced_(settings_.announced, context_),
      server_path_(settings_.reachability, context_, configuration_view_, connectionsOf(clients)),
      engines_(settings_.directory, context_, clients.engines, configuration_view_, membership_),
      router_(makeRouter(settings_, context_, engines_)),
      rate_limits_(settings_.rate_limits, settings_.membership.neighbours, context_, membership_),
      permit_router_(context_, *router_, rate_limits_),
      placement_service_(settings_.placement, context_, engines_, permit_router_),
      placement_router_(settings_.placement, settings_.router, context_, engines_, permit_router_),
      controller_(settings_.controller, context_, orders_authority_, engines_, clients.engines,
                  configuration_view_, membership_,
                  settings_.make_planner ? settings_.make_planner() : nullptr),
      fair_shares_(settings_.fair_shares, context_.clock, context_.random, context_.counters),
      fair_share_accounts_(settings_.fair_share_accounts, settings_.membership.neighbours, context_,
                           membership_, fair_shares_),
      demand_part_(context_, controller_),
      checkpoint_reader_(settings_.checkpoint, context_, membership_, clients.object_store,
                         clients.time_of_day,
                         [this] { return orders_authority_.believedHolder(); }),
      checkpoint_writer_(
          settings_.checkpoint, context_, clients.object_store, clients.time_of_day,
          [this] { return orders_authority_.believedHolder(); }, checkpoint_reader_),
      observed_router_(placement_router_, context_.clock, settings_.shedding),
      admission_(context_, configuration_view_, membership_, observed_router_, settings_.admission),
      key_claims_(settings_.claims, context_,
                  idempotency::ClaimInterfaces{authority_, authority_, membership_, gossip_,
                                               configuration_view_}),
      tenant_accounts_(settings_.tenant_accounts, settings_.membership.neighbours, context_,
                       membership_),
      local_share_(settings_.local_share, context_, membership_),
      retries_(settings_.retries, context_, [this] { return local_share_.fraction(); }),
      connection_part_(settings_.connection_share, context_, membership_),
      connection_shares_(settings_.connections, context_.counters,
                         [this] { return connection_part_.fraction(); }),
      quarantine_(settings_.quarantine, settings_.membership.neighbours, context_, membership_,
                  clients.engines, clients.object_store, clients.time_of_day),
      answer_builds_(settings_.answer_builds, context_, membership_, clients.object_store),
      duties_(settings_.duties, context_, membership_, settings_.membership.machine,
              clients.object_store, clients.duties, clients.time_of_day),
      autoscaling_(settings_.autoscaling, context_, membership_, configuration_view_, duties_,
                   [this] { return controller_.demand(); }),
      model_executor_(context_, configuration_view_, admission_, observed_router_, clients.engines,
                      retries_, rate_limits_, quarantine_, duties_.usage(), settings_.execution),
      service_executor_(context_,
                        execution::ServiceInterfaces{configuration_view_, membership_, admission_,
                                                     clients.services, key_claims_, retries_,
                                                     rate_limits_, quarantine_, duties_.usage(),
                                                     announced_, &fair_shares_, &server_path_},
                        settings_.execution),
      forwarder_(settings_.forwarding, context_, membership_, server_path_),
      forwarding_models_(forwarder_, configuration_view_, model_executor_),
      forwarding_services_(forwarder_, configuration_view_, service_executor_),
      forwarding_server_(settings_.forwarding, context_, membership_, server_path_, model_executor_,
                         service_executor_, [this] { return !draining_; }),
      state_(NodeStateSources{context_.clock, membership_, orders_authority_, configuration_view_,
                              engines_, *router_, controller_, model_executor_.journal(),
                              service_executor_.journal(), retries_, fair_shares_, local_share_,
                              rate_limits_, quarantine_, duties_, autoscaling_}),
      commands_(context_, configuration_, state_, declared_) {
  placement_router_.setIdleConnectionCheck([this](const engines::EngineEndpoint& engine) {
    return clients_.engines.hasIdleConnection(engine);
  });
  engines_.setPlanningNode([this] { return orders_authority_.believedHolder(); });
  admission_.setTenantAccounts(tenant_accounts_);
  fair_shares_.onShortage(
      [this](const std::string& pool) { fair_share_accounts_.onShortage(pool); });
  if (settings_.fair_share_accounts.enabled) {
    admission_.setFairShares(fair_shares_);
    observed_router_.setFairShares(fair_shares_);
  }
  engines_.setRateLimiter(rate_limits_);
  engines_.setAnnounced(announced_);
  const auto record = [this](const std::string& server,
                             const common::ServerAnnouncement& announcement) {
    announced_.answered(server, announcement);
  };
  clients_.engines.observeAnnouncements(record);
  clients_.services.observeAnnouncements(record);
  watchServerPath();
  recordAnswerBuilds();
  rate_limits_.setOwnerLookup([this](const std::string& server) {
    const routing::EngineSlot slot = engines_.table().slotOf(server);
    return slot == routing::kNoEngineSlot ? common::NodeId{}
                                          : engines_.groups().primaryOwnerOf(slot);
  });
  membership_.onChange([this] {
    if (membership_.leaving()) {
      drain();
    }
  });
}

Node::~Node() {
  clients_.engines.observeAnnouncements({});
  clients_.services.observeAnnouncements({});
  connectionsOf(clients_).observe({});
}

void Node::watchServerPath() {
  api::ServerConnections& connections = connectionsOf(clients_);
  connections.observe([this](const common::Address& server, bool established) {
    server_path_.onConnection(server, established);
  });
  clients_.engines.reportConnectionsTo(&connections);
  clients_.services.reportConnectionsTo(&connections);
  server_path_.onChange([this] {
    if (server_path_.lost()) {
      engines_.onServerPathLost();
    }
    membership_.setDigest(membership::DigestTopic::kServersUnreached, server_path_.lost() ? 1 : 0);
  });
  engines_.setServerPath(server_path_, connections);
  quarantine_.setServerPath(server_path_);
  model_executor_.setServerPath(server_path_);
}

void Node::recordAnswerBuilds() {
  const auto update = [this](const configuration::FleetConfiguration& fleet) {
    answer_builds::BuildsByModel builds;
    for (const auto& [name, engine] : fleet.engines) {
      if (engine.zone == context_.zone) {
        builds[engine.model].insert(engine.build);
      }
    }
    answer_builds_.enginesChanged(std::move(builds));
  };
  configuration_view_.onChange(update);
  update(*configuration_view_.current());
  answer_builds_.setListRefresh([this](std::function<void(bool current)> done) {
    if (declared_ == nullptr) {
      done(false);
    } else {
      declared_->refresh(std::move(done));
    }
  });
  model_executor_.setAnswerBuilds(answer_builds_);
}

void Node::start() {
  membership_.start();
  if (declared_ == nullptr) {
    gossip_.start();
  }
  startAuthority();
  if (declared_ == nullptr) {
    configuration_.start();
  } else {
    publishDeclaredVersion();
  }
  engines_.start();
  rate_limits_.start();
  quarantine_.start();
  answer_builds_.start();
  duties_.start();
  autoscaling_.start();
  controller_.start();
  startCheckpoint();
}

lease::AuthorityView& Node::makeOrdersAuthority(object_store::ObjectStore& store) {
  if (!settings_.lease_in_store) {
    return authority_;
  }
  return store_lease_.emplace(settings_.store_lease, lease::leaseKey(context_.zone), context_,
                              membership_, store);
}

void Node::startAuthority() {
  if (store_lease_) {
    store_lease_->start();
    return;
  }
  authority_.start();
  key_claims_.start();
}

void Node::startCheckpoint() {
  if (!settings_.checkpoint.enabled || !clients_.time_of_day) {
    return;
  }
  checkpoint_reader_.addPart(demand_part_);
  checkpoint_reader_.start();
  checkpoint_writer_.start();
}

bool Node::hasConfiguration() const {
  return declared_ != nullptr ? declared_->current()->version > 0 : configuration_.ready();
}

void Node::publishDeclaredVersion() {
  const auto publish = [this](const configuration::FleetConfiguration& fleet) {
    membership_.setDigest(membership::DigestTopic::kConfigurationVersion, fleet.version);
  };
  declared_->onChange(publish);
  publish(*declared_->current());
}

void Node::drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  common::LogEvent(context_.log, common::LogLevel::kInfo, "drain_started")
      .field("in_flight", admission_.inFlight());
  admission_.setDraining(true);
  authority_.resign();
  if (store_lease_) {
    store_lease_->resign();
  }
  duties_.resign();
}

void Node::beginStop(std::function<void()> done) {
  const bool first = !on_stopped_;
  on_stopped_ = std::move(done);
  if (!first) {
    return;
  }
  stop_deadline_ = context_.clock.now() + settings_.stop_limit;
  membership_.announceLeaving();
  drain();
  checkStop();
}

bool Node::mayStop() const {
  return admission_.inFlight() == 0 && service_executor_.running() == 0 &&
         !key_claims_.reportsPending() && authority_.mayStop();
}

void Node::checkStop() {
  const bool late = context_.clock.now() >= stop_deadline_;
  const auto next_check =
      context_.scheduler.schedule(settings_.stop_check_interval, [this] { checkStop(); });
  if (!late && !mayStop()) {
    return;
  }
  context_.scheduler.cancel(next_check);
  // Ends the node also if its last messages can't be sent.
  const auto end =
      context_.scheduler.schedule(settings_.stop_check_interval, [this] { on_stopped_(); });
  common::LogEvent(context_.log, common::LogLevel::kInfo, "drain_finished")
      .field("in_flight", admission_.inFlight())
      .field("limit_reached", late);
  duties_.flushUsage();
  membership_.announceStopped();
  context_.scheduler.cancel(end);
  on_stopped_();
}

}  // namespace cypresswall::node
