#include "cypresswall/membership/machine_registry.h"

#include <algorithm>
#include <utility>

namespace cypresswall::membership {
namespace {

/// Minimum time between two requests for a newer machine list from a peer.
constexpr common::Duration kRequestInterval = std::chrono::milliseconds(300);

std::string hostOf(const common::Address& address) { return address.substr(0, address.rfind(':')); }

MachineEntry toEntry(const object_store::Machine& machine) {
  return MachineEntry{machine.name, machine.state, machine.addresses};
}

}  // namespace

MachineRegistry::MachineRegistry(const MembershipSettings& settings,
                                 const api::ProcessContext& context,
                                 object_store::MachineList& list, ZonePeers zone_peers)
    : settings_(settings),
      context_(context),
      list_(list),
      zone_peers_(std::move(zone_peers)),
      last_fresh_read_(context.clock.now()),
      last_poll_(context.clock.now()),
      last_request_(context.clock.now() - kRequestInterval),
      read_count_(context.counters.counter("cypresswall_machine_list_reads_total",
                                           "Successful reads of the machine list")),
      failure_count_(context.counters.counter("cypresswall_machine_list_failures_total",
                                              "Failed reads of the machine list")) {
  context_.dispatcher.handle<MachinesUpdate>(
      [this](const common::NodeId& sender, const MachinesUpdate& update) {
        receive(sender, update);
      });
  context_.dispatcher.handle<MachinesRequest>(
      [this](const common::NodeId& sender, const MachinesRequest& request) {
        answer(sender, request);
      });
}

void MachineRegistry::start() { poll(); }

void MachineRegistry::poll() {
  context_.scheduler.schedule(settings_.machine_poll_interval, [this] { poll(); });
  const auto rank = list_.isLocal() ? 0 : static_cast<std::int64_t>(zone_peers_.rank());
  const auto now = context_.clock.now();
  const bool stale = now - last_fresh_read_ >= settings_.machine_read_timeout * rank;
  const bool due = now - last_poll_ >= settings_.machine_poll_interval * rank;
  if (reading_ || !stale || !due) {
    return;
  }
  last_poll_ = now;
  const auto revision = list_.revision();
  if (revision && revision == read_revision_) {
    last_fresh_read_ = now;
    return;
  }
  read_revision_ = revision;
  reading_ = true;
  list_.fetch(context_.zone, [this](auto result) {
    reading_ = false;
    if (!result.ok()) {
      read_revision_.reset();
      failure_count_.add();
      return;
    }
    readFinished(result.value());
  });
}

void MachineRegistry::readFinished(const std::vector<object_store::Machine>& machines) {
  read_count_.add();
  ++reads_;
  last_fresh_read_ = context_.clock.now();
  const auto changes = changesFrom(machines);
  if (changes.empty()) {
    return;
  }
  const MachinesUpdate update{version_, version_ + 1, changes};
  apply(update.version, update.machines);
  if (list_.isLocal()) {
    return;
  }
  for (const auto& peer : zone_peers_.peers()) {
    context_.sendTo(peer, update);
  }
}

std::uint64_t MachineRegistry::version() const { return list_.isLocal() ? 0 : version_; }

std::vector<MachineEntry> MachineRegistry::changesFrom(
    const std::vector<object_store::Machine>& machines) const {
  std::vector<MachineEntry> changes;
  std::set<common::MachineName> listed;
  for (const auto& machine : machines) {
    listed.insert(machine.name);
    const auto known = machines_.find(machine.name);
    if (known == machines_.end() || !(known->second == toEntry(machine))) {
      changes.push_back(toEntry(machine));
    }
  }
  for (const auto& [name, entry] : machines_) {
    if (!listed.contains(name) && entry.state != object_store::MachineState::kGone) {
      MachineEntry gone = entry;
      gone.state = object_store::MachineState::kGone;
      changes.push_back(gone);
    }
  }
  return changes;
}

void MachineRegistry::apply(std::uint64_t version, const std::vector<MachineEntry>& machines) {
  version_ = version;
  for (const auto& machine : machines) {
    machines_[machine.name] = machine;
  }
  rebuildIndex();
  if (listener_) {
    listener_();
  }
}

void MachineRegistry::receive(const common::NodeId& sender, const MachinesUpdate& update) {
  if (update.version <= version_) {
    return;
  }
  if (update.base != 0 && update.base != version_) {
    context_.sendTo(sender, MachinesRequest{version_});
    return;
  }
  if (update.base == 0) {
    machines_.clear();
  }
  apply(update.version, update.machines);
}

void MachineRegistry::answer(const common::NodeId& sender, const MachinesRequest& request) {
  if (request.known_version >= version_) {
    return;
  }
  MachinesUpdate update{0, version_, {}};
  for (const auto& [name, entry] : machines_) {
    update.machines.push_back(entry);
  }
  context_.sendTo(sender, update);
}

void MachineRegistry::heartbeatReceived(const common::NodeId& sender, std::uint64_t version,
                                        std::uint32_t reads) {
  auto& known_reads = peer_reads_[sender];
  const auto now = context_.clock.now();
  if (reads > known_reads) {
    known_reads = reads;
    last_fresh_read_ = now;
  }
  if (version > version_ && now - last_request_ >= kRequestInterval) {
    last_request_ = now;
    context_.sendTo(sender, MachinesRequest{version_});
  }
}

void MachineRegistry::rebuildIndex() {
  live_addresses_.clear();
  leaving_addresses_.clear();
  gone_addresses_.clear();
  for (const auto& [name, entry] : machines_) {
    for (const auto& address : entry.addresses) {
      if (entry.state == object_store::MachineState::kLive) {
        live_addresses_.insert(address);
      } else {
        leaving_addresses_.insert(address);
      }
      if (entry.state == object_store::MachineState::kGone) {
        gone_addresses_.insert(address);
      }
    }
  }
  for (const auto& address : live_addresses_) {
    leaving_addresses_.erase(address);
    gone_addresses_.erase(address);
  }
  for (const auto& [name, entry] : machines_) {
    for (const auto& address : entry.addresses) {
      if (entry.state == object_store::MachineState::kLeaving) {
        gone_addresses_.erase(address);
      }
    }
  }
}

bool MachineRegistry::machineLeaving(const common::MachineName& machine) const {
  const auto entry = machines_.find(machine);
  return entry != machines_.end() && entry->second.state != object_store::MachineState::kLive;
}

bool MachineRegistry::addressLeaving(const common::Address& address) const {
  return leaving_addresses_.contains(hostOf(address));
}

bool MachineRegistry::isAddressGone(const common::Address& address) const {
  return gone_addresses_.contains(hostOf(address));
}

}  // namespace cypresswall::membership
