#include "cypresswall/simulation/simulated_network.h"

#include "cypresswall/simulation/simulated_process.h"

namespace cypresswall::simulation {

SimulatedNetwork::SimulatedNetwork(NetworkSettings settings, std::uint64_t seed, VirtualTime& time,
                                   FaultCounters& faults, EventDigest& digest)
    : settings_(settings), random_(seed), time_(time), faults_(faults), digest_(digest) {}

void SimulatedNetwork::attach(SimulatedProcess& process) {
  processes_[process.id().address] = &process;
}

void SimulatedNetwork::detach(const SimulatedProcess& process) {
  const auto found = processes_.find(process.id().address);
  if (found != processes_.end() && found->second == &process) {
    processes_.erase(found);
  }
}

SimulatedProcess* SimulatedNetwork::find(const common::Address& address) const {
  const auto found = processes_.find(address);
  return found == processes_.end() ? nullptr : found->second;
}

void SimulatedNetwork::setLink(const common::ZoneName& from, const common::ZoneName& to,
                               LinkSettings settings) {
  links_[{from, to}] = settings;
}

void SimulatedNetwork::setDefaults(LinkSettings inside_zone, LinkSettings between_zones) {
  settings_.inside_zone = inside_zone;
  settings_.between_zones = between_zones;
}

const LinkSettings& SimulatedNetwork::link(const common::ZoneName& from,
                                           const common::ZoneName& to) const {
  if (!links_.empty()) {
    const auto found = links_.find({from, to});
    if (found != links_.end()) {
      return found->second;
    }
  }
  return from == to ? settings_.inside_zone : settings_.between_zones;
}

void SimulatedNetwork::cutZones(const common::ZoneName& first, const common::ZoneName& second) {
  zone_cuts_.insert({first, second});
  zone_cuts_.insert({second, first});
  faults_.add(FaultKind::kCut);
}

void SimulatedNetwork::cutOneWay(const common::ZoneName& from, const common::ZoneName& to) {
  zone_cuts_.insert({from, to});
  faults_.add(FaultKind::kOneWayCut);
}

void SimulatedNetwork::cutAddresses(const common::Address& from, const common::Address& to) {
  address_cuts_.insert({from, to});
  faults_.add(FaultKind::kCutInsideZone);
}

void SimulatedNetwork::healZones(const common::ZoneName& first, const common::ZoneName& second) {
  zone_cuts_.erase({first, second});
  zone_cuts_.erase({second, first});
}

void SimulatedNetwork::healAll() {
  zone_cuts_.clear();
  address_cuts_.clear();
}

bool SimulatedNetwork::cutBetween(const NetworkEndpoint& from, const NetworkEndpoint& to) const {
  if (!zone_cuts_.empty() && zone_cuts_.contains({from.zone, to.zone})) {
    return true;
  }
  return !address_cuts_.empty() && address_cuts_.contains({from.address, to.address});
}

common::Duration SimulatedNetwork::drawDelay(const LinkSettings& link) {
  const auto spread = static_cast<std::uint64_t>(link.jitter.count()) + 1;
  common::Duration delay = link.delay + common::Duration(random_.below(spread));
  if (link.reordering > 0 && random_.unit() < link.reordering) {
    delay += common::Duration(random_.below(link.reorder_delay.count() + 1));
    faults_.add(FaultKind::kMessageReordered);
  }
  return delay;
}

common::Duration SimulatedNetwork::drawDelay(const common::ZoneName& from,
                                             const common::ZoneName& to) {
  return drawDelay(link(from, to));
}

void SimulatedNetwork::send(const SimulatedProcess& sender, api::Envelope envelope) {
  const SimulatedProcess* receiver = find(envelope.receiver.address);
  if (send_listener_) {
    send_listener_(envelope);
  }
  if (settings_.encode_messages) {
    const std::string bytes = api::encodeEnvelope(envelope);
    sent_bytes_ += bytes.size();
    envelope = api::decodeEnvelope(bytes.data(), bytes.size());
  }
  if (receiver == nullptr) {
    return;
  }
  const LinkSettings& used = link(sender.zone(), receiver->zone());
  const bool local = receiver == &sender;
  if (!local && used.loss > 0 && random_.unit() < used.loss) {
    faults_.add(FaultKind::kMessageLost);
    return;
  }
  if (!local && used.duplication > 0 && random_.unit() < used.duplication) {
    faults_.add(FaultKind::kMessageDuplicated);
    scheduleDelivery(used, sender.zone(), envelope);
  }
  scheduleDelivery(used, sender.zone(), std::move(envelope));
}

void SimulatedNetwork::scheduleDelivery(const LinkSettings& link, const common::ZoneName& from_zone,
                                        api::Envelope envelope) {
  time_.schedule(drawDelay(link), [this, &from_zone, envelope = std::move(envelope)]() mutable {
    deliver(from_zone, std::move(envelope));
  });
}

void SimulatedNetwork::deliver(const common::ZoneName& from_zone, api::Envelope envelope) {
  SimulatedProcess* receiver = find(envelope.receiver.address);
  if (receiver == nullptr) {
    return;
  }
  if (cutBetween({envelope.sender.address, from_zone},
                 {envelope.receiver.address, receiver->zone()})) {
    faults_.add(FaultKind::kMessageCut);
    return;
  }
  const std::uint64_t incarnation = envelope.receiver.incarnation;
  if (incarnation != 0 && incarnation != receiver->id().incarnation) {
    return;
  }
  ++delivered_;
  digest_.add(time_.now(), envelope.receiver.address, static_cast<std::uint64_t>(envelope.type),
              envelope.body);
  receiver->receive(std::move(envelope));
}

}  // namespace cypresswall::simulation
