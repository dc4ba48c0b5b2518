/// Network between simulated processes with delay, loss, duplication, reordering and cuts, all
/// derived from the run's seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/random.h"
#include "cypresswall/simulation/event_digest.h"
#include "cypresswall/simulation/fault_counters.h"
#include "cypresswall/simulation/virtual_time.h"

namespace cypresswall::simulation {

class SimulatedProcess;

/// Behaviour of the links in one direction between two zones, or within one zone.
struct LinkSettings {
  common::Duration delay = std::chrono::microseconds(100);
  /// Maximum of the random time, uniformly distributed from zero, that is added to the delay of
  /// each message.
  common::Duration jitter = std::chrono::microseconds(50);
  double loss = 0;
  double duplication = 0;
  /// Fraction of messages, from 0 to 1, that are delayed by a further random time of up to
  /// `reorder_delay`, so that later messages can overtake them.
  double reordering = 0;
  common::Duration reorder_delay = std::chrono::milliseconds(20);
};

struct NetworkSettings {
  LinkSettings inside_zone;
  LinkSettings between_zones{.delay = std::chrono::microseconds(1500),
                             .jitter = std::chrono::microseconds(200)};
  /// If true, every message is encoded in its wire format and decoded again. This is slow and is
  /// disabled for long experiments.
  bool encode_messages = true;
};

/// Address and zone of a sender or receiver.
struct NetworkEndpoint {
  common::Address address;
  common::ZoneName zone;
};

class SimulatedNetwork {
 public:
  SimulatedNetwork(NetworkSettings settings, std::uint64_t seed, VirtualTime& time,
                   FaultCounters& faults, EventDigest& digest);

  /// From now on, delivers messages to the address of `process` to that process.
  void attach(SimulatedProcess& process);
  /// Stops delivery to `process`. Does nothing if another process has been attached at the same
  /// address since.
  void detach(const SimulatedProcess& process);
  /// Sends one message from a process.
  void send(const SimulatedProcess& sender, api::Envelope envelope);

  /// Calls `listener` with each message that a process sends.
  void onSend(std::function<void(const api::Envelope&)> listener) {
    send_listener_ = std::move(listener);
  }

  /// Sets the behaviour of the links from one zone to another, or within a zone if `from` and `to`
  /// are equal.
  void setLink(const common::ZoneName& from, const common::ZoneName& to, LinkSettings settings);
  /// Sets the behaviour of all links for which setLink() was not called.
  void setDefaults(LinkSettings inside_zone, LinkSettings between_zones);

  /// Cuts all links between two zones in both directions.
  void cutZones(const common::ZoneName& first, const common::ZoneName& second);
  /// Cuts the links from one zone to another; the opposite direction still works.
  void cutOneWay(const common::ZoneName& from, const common::ZoneName& to);
  /// Cuts the link from one address to another.
  void cutAddresses(const common::Address& from, const common::Address& to);
  void healZones(const common::ZoneName& first, const common::ZoneName& second);
  /// Ends all cuts between zones and addresses.
  void healAll();
  /// \return true while any cut is in force.
  bool anyCut() const { return !zone_cuts_.empty() || !address_cuts_.empty(); }
  /// \return true if messages from one endpoint to the other are currently dropped by a cut.
  bool cutBetween(const NetworkEndpoint& from, const NetworkEndpoint& to) const;

  /// Draws a random delay for one message from the settings of the link. The clients of engines,
  /// services and platform use it as well.
  common::Duration drawDelay(const common::ZoneName& from, const common::ZoneName& to);
  /// \return number of messages delivered so far.
  std::uint64_t deliveredMessages() const { return delivered_; }
  /// \return number of encoded bytes sent so far; zero unless messages are encoded.
  std::uint64_t sentBytes() const { return sent_bytes_; }

 private:
  using ZonePair = std::pair<common::ZoneName, common::ZoneName>;

  const LinkSettings& link(const common::ZoneName& from, const common::ZoneName& to) const;
  common::Duration drawDelay(const LinkSettings& link);
  void scheduleDelivery(const LinkSettings& link, const common::ZoneName& from_zone,
                        api::Envelope envelope);
  void deliver(const common::ZoneName& from_zone, api::Envelope envelope);
  SimulatedProcess* find(const common::Address& address) const;

  NetworkSettings settings_;
  common::SeededRandom random_;
  VirtualTime& time_;
  FaultCounters& faults_;
  EventDigest& digest_;
  std::unordered_map<common::Address, SimulatedProcess*> processes_;
  std::map<ZonePair, LinkSettings> links_;
  std::set<ZonePair> zone_cuts_;
  std::set<std::pair<common::Address, common::Address>> address_cuts_;
  std::function<void(const api::Envelope&)> send_listener_;
  std::uint64_t delivered_ = 0;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace cypresswall::simulation
