#include "tests/support/virtual_world.h"

#include <algorithm>

namespace cypresswall::testing {
namespace {

/// Minimum delay between sending a late write and its effect.
constexpr common::Duration kMinimumWriteDelay = std::chrono::seconds(1);

constexpr common::Duration kStoreTimeLimit = std::chrono::milliseconds(500);

/// True duration of `local` microseconds on a clock of the given rate.
common::Duration trueDuration(common::Duration local, double clock_rate) {
  return common::Duration(
      static_cast<std::int64_t>(static_cast<double>(local.count()) / clock_rate));
}

}  // namespace

VirtualProcess::VirtualProcess(VirtualWorld& world, common::NodeId node, common::ZoneName zone,
                               double clock_rate)
    : world_(world),
      node_(std::move(node)),
      zone_(std::move(zone)),
      clock_rate_(clock_rate),
      serial_(world.next_serial_++),
      random_(world.random.next()),
      incarnation_(world.store.incarnation) {}

api::ProcessContext VirtualProcess::context() {
  return api::ProcessContext{node_,     zone_, *this,      *this, random_, common::nullLogSink(),
                             counters_, *this, dispatcher_};
}

common::MonotonicTime VirtualProcess::now() const {
  const auto local = static_cast<double>(world_.now_.count()) * clock_rate_;
  return common::MonotonicTime(common::Duration(static_cast<std::int64_t>(local)));
}

common::TimerId VirtualProcess::schedule(common::Duration delay, std::function<void()> callback) {
  const common::TimerId timer = ++world_.next_sequence_;
  timers_.insert(timer);
  const auto wait = std::max(common::Duration(1), trueDuration(delay, clock_rate_));
  auto run = [this, timer, callback = std::move(callback)] {
    if (timers_.erase(timer) != 0) {
      callback();
    }
  };
  world_.post(world_.now_ + wait, {serial_, node_.address, std::move(run)});
  return timer;
}

void VirtualProcess::cancel(common::TimerId timer) { timers_.erase(timer); }

void VirtualProcess::send(api::Envelope envelope) {
  ++world_.messages;
  if (world_.on_send) {
    world_.on_send(envelope);
  }
  world_.message_bytes += api::encodeEnvelope(envelope).size();
  const auto receiver = envelope.receiver;
  const bool lost = world_.random.unit() < world_.message_loss;
  if (lost || !world_.reachable(node_.address, receiver.address)) {
    return;
  }
  auto deliver = [&world = world_, envelope = std::move(envelope)] {
    auto& process = world.process(envelope.receiver.address);
    const auto wanted = envelope.receiver.incarnation;
    if (wanted == 0 || wanted == process.node_.incarnation) {
      process.dispatcher_.dispatch(envelope);
    }
  };
  world_.post(world_.now_ + world_.networkDelay(), {0, receiver.address, std::move(deliver)});
}

template <typename Value>
void VirtualProcess::answerLater(object_store::StoreCallback<Value> callback,
                                 std::function<object_store::StoreResult<Value>()> work) {
  using Failure = common::Failure<object_store::StoreFailure>;
  const bool reachable = !world_.store.down && !world_.store_unreachable_.contains(node_.address);
  if (!reachable) {
    world_.post(world_.now_ + kStoreTimeLimit,
                {serial_, node_.address, [callback = std::move(callback)] {
                   callback(Failure{object_store::StoreFailure::kUnavailable, "store down"});
                 }});
    return;
  }
  auto arrive = [serial = serial_, address = node_.address, callback = std::move(callback),
                 work = std::move(work), &world = world_] {
    auto result = std::make_shared<object_store::StoreResult<Value>>(work());
    world.post(world.now_ + world.networkDelay(),
               {serial, address,
                [callback, result, &world, address, incarnation = world.store.incarnation] {
                  std::uint64_t& known = world.process(address).incarnation_;
                  if (incarnation < known) {
                    callback(Failure{object_store::StoreFailure::kUnknownOutcome, "outdated"});
                    return;
                  }
                  known = incarnation;
                  callback(*result);
                }});
  };
  world_.post(world_.now_ + world_.networkDelay(), {0, "", std::move(arrive)});
}

void VirtualProcess::get(const std::string& key,
                         object_store::StoreCallback<object_store::StoredObject> callback) {
  auto& store = world_.store;
  answerLater<object_store::StoredObject>(
      std::move(callback),
      [&store, key]() -> object_store::StoreResult<object_store::StoredObject> {
        const auto object = store.objects.find(key);
        if (object == store.objects.end()) {
          return common::Failure<object_store::StoreFailure>{object_store::StoreFailure::kNotFound,
                                                             key};
        }
        return object->second;
      });
}

std::optional<object_store::StoredObject> VirtualStore::write(
    const object_store::ObjectWrite& write) {
  const auto known = objects.find(write.key);
  const auto version = known == objects.end() ? 0 : known->second.version;
  if (version != write.expected_version) {
    return std::nullopt;
  }
  ++writes;
  return objects[write.key] = {write.key, version + 1, write.value, write.change_id};
}

void VirtualProcess::compareAndSet(
    object_store::ObjectWrite write,
    object_store::StoreCallback<object_store::StoredObject> callback) {
  using Result = object_store::StoreResult<object_store::StoredObject>;
  using Failure = common::Failure<object_store::StoreFailure>;
  auto& world = world_;
  answerLater<object_store::StoredObject>(
      std::move(callback), [&world, write = std::move(write)]() -> Result {
        auto& store = world.store;
        if (store.late_writes > 0 && world.random.unit() < store.late_writes) {
          const auto delay = kMinimumWriteDelay + common::fromSeconds(3.0 * world.random.unit());
          world.at(world.now() + delay,
                   [&store, write] { store.late_effects += store.write(write) ? 1 : 0; });
          return Failure{object_store::StoreFailure::kUnknownOutcome, "no answer yet"};
        }
        const auto object = store.write(write);
        if (!object) {
          return Failure{object_store::StoreFailure::kConflict, write.key};
        }
        if (world.random.unit() < store.lost_answers) {
          ++store.answers_lost;
          return Failure{object_store::StoreFailure::kUnknownOutcome, "answer lost"};
        }
        return *object;
      });
}

void VirtualProcess::list(const std::string&,
                          object_store::StoreCallback<object_store::ObjectListing> callback) {
  answerLater<object_store::ObjectListing>(
      std::move(callback), []() -> object_store::StoreResult<object_store::ObjectListing> {
        return common::Failure<object_store::StoreFailure>{object_store::StoreFailure::kUnavailable,
                                                           ""};
      });
}

void VirtualProcess::watch(const std::string& prefix, std::uint64_t,
                           object_store::StoreCallback<object_store::ObjectListing> callback) {
  list(prefix, std::move(callback));
}

void VirtualProcess::fetch(const common::ZoneName& zone,
                           object_store::MachineListCallback callback) {
  using Result =
      common::Result<std::vector<object_store::Machine>, object_store::MachineListFailure>;
  const bool unreachable = world_.store_unreachable_.contains(node_.address);
  auto answer = [&world = world_, unreachable, zone, callback = std::move(callback)] {
    if (world.machine_list_down || unreachable) {
      callback(common::Failure<object_store::MachineListFailure>{
          object_store::MachineListFailure::kUnavailable, "down"});
      return;
    }
    ++world.machine_list_reads;
    std::vector<object_store::Machine> machines;
    for (const auto& machine : world.machines) {
      if (machine.zone == zone) {
        machines.push_back(machine);
      }
    }
    callback(Result(machines));
  };
  world_.post(world_.now_ + world_.networkDelay(), {serial_, node_.address, std::move(answer)});
}

VirtualProcess& VirtualWorld::spawn(const common::NodeId& node, const common::ZoneName& zone,
                                    double clock_rate) {
  kill(node.address);
  auto process = std::make_unique<VirtualProcess>(*this, node, zone, clock_rate);
  return *(processes_[node.address] = std::move(process));
}

void VirtualWorld::kill(const common::Address& address) { processes_.erase(address); }

void VirtualWorld::pause(const common::Address& address, common::Duration length) {
  if (running(address)) {
    process(address).paused_until_ = now_ + length;
  }
}

bool VirtualWorld::paused(const common::Address& address) const {
  const auto process = processes_.find(address);
  return process != processes_.end() && process->second->paused_until_ > now_;
}

void VirtualWorld::setStoreReachable(const common::Address& address, bool reachable) {
  if (reachable) {
    store_unreachable_.erase(address);
  } else {
    store_unreachable_.insert(address);
  }
}

void VirtualWorld::at(common::Duration time, std::function<void()> callback) {
  post(time, {0, "", std::move(callback)});
}

void VirtualWorld::post(common::Duration time, Event event) {
  queue_.emplace(std::make_pair(std::max(time, now_), ++next_sequence_), std::move(event));
}

bool VirtualWorld::reachable(const common::Address& from, const common::Address& to) const {
  const auto group = [this](const common::Address& address) {
    const auto it = groups_.find(address);
    return it == groups_.end() ? 0 : it->second;
  };
  return group(from) == group(to);
}

common::Duration VirtualWorld::networkDelay() {
  const auto spread = static_cast<std::uint64_t>((maximum_delay - minimum_delay).count());
  return minimum_delay + common::Duration(random.below(spread + 1));
}

VirtualProcess* VirtualWorld::owner(const Event& event) const {
  const auto process = processes_.find(event.address);
  return process == processes_.end() ? nullptr : process->second.get();
}

void VirtualWorld::runUntil(common::Duration end) {
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto node = queue_.extract(queue_.begin());
    now_ = node.key().first;
    Event& event = node.mapped();
    VirtualProcess* process = owner(event);
    const bool owned = !event.address.empty();
    const bool gone =
        owned && (process == nullptr || (event.owner != 0 && event.owner != process->serial_));
    if (gone) {
      continue;
    }
    if (owned && process->paused_until_ > now_) {
      post(process->paused_until_, std::move(event));
      continue;
    }
    event.run();
    if (after_each_event) {
      after_each_event();
    }
  }
  now_ = end;
}

}  // namespace cypresswall::testing
