#include "cypresswall/configuration/configuration_replica.h"

namespace cypresswall::configuration {

ConfigurationReplica::ConfigurationReplica(ConfigurationSettings settings,
                                           const api::ProcessContext& context,
                                           membership::MembershipView& membership,
                                           membership::ZoneGossip& gossip,
                                           object_store::ObjectStore& store)
    : settings_(settings),
      context_(context),
      gossip_(gossip),
      state_(settings_, context_),
      exchange_(settings_, context_, state_, membership, gossip),
      reader_(settings_, context_, state_, store, [this] { return gossip_.representative(); }),
      approval_(settings_, context_, state_, exchange_, membership, gossip),
      committer_(settings_, context_, state_, exchange_, approval_, store) {}

void ConfigurationReplica::start() {
  exchange_.start();
  reader_.start();
}

std::shared_ptr<const FleetConfiguration> ConfigurationReplica::current() const {
  return state_.log().current();
}

void ConfigurationReplica::onChange(std::function<void(const FleetConfiguration&)> listener) {
  state_.onAdvance([this, listener = std::move(listener)](std::uint64_t, ChangeSource) {
    const auto held = state_.log().current();
    listener(*held);
  });
}

void ConfigurationReplica::submit(ConfigurationChangeRequest request, CommitCallback callback) {
  committer_.submit(std::move(request), std::move(callback));
}

ReplicaStatus ConfigurationReplica::status() const {
  ReplicaStatus status;
  status.version = state_.log().version();
  status.digest = state_.log().digest();
  status.ready = state_.ready();
  status.reader = gossip_.representative();
  status.store_reachable = reader_.storeReachable();
  status.store_behind = reader_.storeBehind();
  status.forked = state_.forked();
  return status;
}

std::map<common::ZoneName, ZoneVersions> ConfigurationReplica::zoneVersions() const {
  return exchange_.zoneVersions();
}

}  // namespace cypresswall::configuration
