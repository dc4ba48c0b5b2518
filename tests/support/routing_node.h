/// One node of a zone with its router, with other nodes as peers and engines whose caches are as
/// full as after a minute of load. Messages that it sends are encoded, counted and discarded; the
/// test or benchmark supplies the messages of peers and the reports of engines. Its clock advances
/// only in run().
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cypresswall/membership/membership.h"
#include "cypresswall/membership/rendezvous.h"
#include "cypresswall/routing/cost_router.h"
#include "cypresswall/routing/engine_deltas.h"
#include "tests/support/engine_world.h"

namespace cypresswall::testing {

/// Encodes each message, as a network transport does, and discards it.
class CountingTransport final : public api::PeerTransport {
 public:
  void send(api::Envelope envelope) override {
    ++messages;
    bytes += api::encodeEnvelope(envelope).size();
  }

  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// A platform that lists no machines.
class NoMachines final : public object_store::MachineList {
 public:
  void fetch(const common::ZoneName&, object_store::MachineListCallback) override {}
};

/// Forwards all calls, and counts those whose result grows with the zone.
class CountingMembership final : public membership::MembershipView {
 public:
  explicit CountingMembership(membership::Membership& membership) : membership_(membership) {}

  const common::NodeId& self() const override { return membership_.self(); }
  const common::ZoneName& zone() const override { return membership_.zone(); }
  const std::vector<membership::Member>& members() const override {
    ++lists;
    return membership_.members();
  }
  bool machineLeaving(const common::MachineName& machine) const override {
    return membership_.machineLeaving(machine);
  }
  bool addressLeaving(const common::Address& address) const override {
    return membership_.addressLeaving(address);
  }
  bool confirmedDead(const common::NodeId& node) const override {
    return membership_.confirmedDead(node);
  }
  void setDigest(membership::DigestTopic topic, std::uint64_t value) override {
    membership_.setDigest(topic, value);
  }
  std::optional<std::uint64_t> digest(const common::NodeId& node,
                                      membership::DigestTopic topic) const override {
    return membership_.digest(node, topic);
  }
  void onChange(std::function<void()> listener) override {
    membership_.onChange(std::move(listener));
  }

  /// Calls of members().
  mutable std::uint64_t lists = 0;

 private:
  membership::Membership& membership_;
};

class RoutingNode {
 public:
  /// Memory of an engine, in whole cache pieces: 418,000 tokens.
  static constexpr std::uint32_t kPiecesPerEngine = 209;

  /// \param size engines, and nodes of the zone
  explicit RoutingNode(int size) : simulation_(1), random_(7), size_(size) {
    process_ = &simulation_.start(addressOf(0), "z");
    auto& own = process_->context();
    transport_ = &process_->emplace<CountingTransport>();
    context_ = &process_->emplace<api::ProcessContext>(
        api::ProcessContext{own.self, own.zone, own.clock, own.scheduler, own.random, own.log,
                            own.counters, *transport_, own.dispatcher});
    auto& machines = process_->emplace<NoMachines>();
    auto& members = process_->emplace<membership::Membership>(membership::MembershipSettings{},
                                                              *context_, machines);
    membership_ = &process_->emplace<CountingMembership>(members);
    introducePeers();
    nameEngines();
    configuration_ = &process_->emplace<SettableConfiguration>();
    auto& client = process_->emplace<ScriptedEngineClient>(*process_, engines_);
    directory_ = &process_->emplace<routing::EngineDirectory>(
        routing::DirectorySettings{}, *context_, client, *configuration_, *membership_);
    routing::RouterSettings settings;
    settings.copies_prefixes = true;
    router_ = &process_->emplace<routing::CostRouter>(settings, *context_, *directory_);
    members.start();
    directory_->start();
    declareEngines();
    run(std::chrono::seconds(1));
    reportEngines();
    fillCaches();
    startPeerPrompts();
  }

  /// A request with 17,020 prompt tokens in four named parts: one shared by all requests, one of 30
  /// that many share, one of 429 texts that a third of the prompts of a kind share, and a unique
  /// one.
  routing::RouteRequest longRequest() {
    constexpr std::array<std::uint32_t, 4> kEnds = {1000, 4000, 13300, 17020};
    constexpr std::array<std::uint64_t, 4> kVariants = {1, 30, 429, std::uint64_t{1} << 40U};
    routing::RouteRequest request = plainRequest("long");
    request.shape = shapeOf({kEnds.begin(), kEnds.end()}, {kVariants.begin(), kVariants.end()});
    request.maximum_tokens = 13;
    request.first_token_limit = std::chrono::seconds(6);
    return request;
  }
  /// A request with 383 prompt tokens in three named parts.
  routing::RouteRequest shortRequest() {
    routing::RouteRequest request = plainRequest("short");
    request.shape = shapeOf({55, 92, 383}, {80, 1833, std::uint64_t{1} << 40U});
    request.maximum_tokens = 5;
    request.first_token_limit = std::chrono::seconds(3);
    return request;
  }

  /// Routes the request and completes its answer immediately.
  /// \return false if it was refused
  bool route(const routing::RouteRequest& request) {
    const routing::RouteChoice choice = router_->choose(request);
    if (!std::holds_alternative<routing::Route>(choice)) {
      return false;
    }
    router_->attemptStarted(request, std::get<routing::Route>(choice));
    router_->firstTokenReceived(request.stream_id);
    router_->answerCompleted(request.stream_id);
    router_->attemptFinished(request.stream_id);
    return true;
  }

  /// Applies this node's own read of an engine's load, with a changed number of streams.
  void takeReport(int number) {
    engines::EngineLoad& load = engines_[engineName(number) + ":1"].load;
    load.running_streams = (load.running_streams + 1) % load.maximum_streams;
    directory_->table().observe(slotOf(number), {load, now(), true}, now());
  }

  /// Changes the loads that all engines report from now on.
  void changeEngineLoads() {
    for (auto& [address, engine] : engines_) {
      engine.load.running_streams = (engine.load.running_streams + 8) % engine.load.maximum_streams;
    }
  }

  /// \return a peer's publication of one engine whose load changed
  api::Envelope publicationOf(int number) {
    engines::EngineLoad load = engines_[engineName(number) + ":1"].load;
    load.running_streams = static_cast<std::uint32_t>(random_.below(load.maximum_streams));
    const auto& names = directory_->table().names();
    const auto index = static_cast<std::uint16_t>(
        std::find(names.begin(), names.end(), engineName(number)) - names.begin());
    routing::EngineDeltas message;
    message.roster_digest = directory_->table().digest();
    message.sequence = ++publications_;
    message.changed.push_back(routing::makeDelta(index, load, true, common::Duration{0}));
    return fromPeer(1, message);
  }

  /// \return a peer's notice that it sent a long prompt to an engine
  api::Envelope startedNotice(int number, std::uint32_t prompt_number) {
    const routing::RouteRequest request = longRequest();
    routing::StartedPrompt prompt;
    prompt.engine = engineName(number);
    prompt.number = prompt_number;
    prompt.uncached_tokens = request.shape.tokens;
    prompt.pieces = request.shape.pieces;
    prompt.piece_ends = request.shape.piece_ends;
    routing::WorkNotice notice;
    notice.started.push_back(prompt);
    return fromPeer(1, notice);
  }
  api::Envelope endedNotice(int number, std::uint32_t prompt_number) {
    routing::WorkNotice notice;
    notice.ended.push_back({engineName(number), prompt_number, true});
    return fromPeer(1, notice);
  }
  /// Delivers a message to the node.
  void receive(const api::Envelope& envelope) { context_->dispatcher.dispatch(envelope); }

  /// Delivers a heartbeat of every peer.
  void receiveAllHeartbeats() {
    for (int peer = 1; peer < size_; ++peer) {
      receivePeerHeartbeat(peer);
    }
  }
  void receivePeerHeartbeat(int peer) {
    receive(fromPeer(peer, membership::Heartbeat{1, membersHash(), 0, 0}));
  }

  /// Advances the clock. Heartbeats of all peers arrive at once, at the start of each heartbeat
  /// interval.
  void run(common::Duration time) {
    const common::Duration step = membership::MembershipSettings{}.heartbeat_interval;
    for (common::Duration passed{0}; passed < time; passed += step) {
      receiveAllHeartbeats();
      simulation_.time().runFor(std::min<common::Duration>(step, time - passed));
    }
  }

  /// The first engine is always one that this node polls.
  const common::EngineName& engineName(int number) const {
    return names_[static_cast<std::size_t>(number)];
  }
  routing::EngineSlot slotOf(int number) const {
    return directory_->table().slotOf(engineName(number));
  }
  common::MonotonicTime now() const { return context_->clock.now(); }
  const api::ProcessContext& context() const { return *context_; }
  simulation::SimulatedProcess& process() { return *process_; }
  CountingTransport& transport() { return *transport_; }
  CountingMembership& membership() { return *membership_; }
  routing::EngineDirectory& directory() { return *directory_; }
  routing::CostRouter& router() { return *router_; }
  common::SeededRandom& random() { return random_; }
  int size() const { return size_; }

 private:
  static common::Address addressOf(int node) {
    constexpr int kHosts = 250;
    return "10.0." + std::to_string(node / kHosts) + "." + std::to_string(node % kHosts + 1) +
           ":7000";
  }
  common::NodeId peerOf(int peer) const { return {addressOf(peer), 1}; }

  template <typename Message>
  api::Envelope fromPeer(int peer, const Message& message) const {
    return api::Envelope::make(peerOf(peer), context_->self, message);
  }

  void introducePeers() {
    for (int peer = 1; peer < size_; ++peer) {
      receive(fromPeer(
          peer, membership::Introduction{
                    {"z", "machine-" + std::to_string(peer), "gateway", false, 1, {}, 1}, false}));
    }
  }

  /// \return the hash announced by peers that have the same view of the membership
  std::uint32_t membersHash() {
    if (members_hash_ == 0) {
      std::uint64_t hash = membership::PeerTable::memberHash(context_->self, 1);
      for (int peer = 1; peer < size_; ++peer) {
        hash += membership::PeerTable::memberHash(peerOf(peer), 1);
      }
      members_hash_ = static_cast<std::uint32_t>(hash);
    }
    return members_hash_;
  }

  void nameEngines() {
    const auto members = membership_->members();
    for (int number = 0; number < size_; ++number) {
      names_.push_back("engine-" + std::to_string(1000 + number));
    }
    while (membership::rendezvousNode(names_.front(), members) != context_->self) {
      names_.front() += "-";
    }
  }

  void declareEngines() {
    constexpr int kInTen = 10;
    constexpr int kPrefillInTen = 3;
    configuration::FleetConfiguration fleet;
    for (int number = 0; number < size_; ++number) {
      declareEngine(fleet, engineName(number), "m");
      const bool prefill = number % kInTen < kPrefillInTen;
      engines::EngineLoad load =
          idleLoad("m", prefill ? engines::EngineRole::kPrefill : engines::EngineRole::kDecode);
      load.cache_pieces_total = kPiecesPerEngine;
      load.prefill_tokens_per_second = prefill ? 49600 : 24800;
      load.decode_step_base = std::chrono::microseconds(5180);
      load.decode_step_per_stream = std::chrono::microseconds(37);
      load.kv_seconds_per_token = 2e-6;
      load.running_streams = static_cast<std::uint32_t>(random_.below(8));
      engines_[engineName(number) + ":1"].load = load;
    }
    configuration_->set(fleet);
  }

  void reportEngines() {
    for (int number = 0; number < size_; ++number) {
      takeReport(number);
    }
  }

  void fillCaches() {
    constexpr int kPromptsPerEngine = 60;
    for (int number = 0; number < size_; ++number) {
      for (int prompt = 0; prompt < kPromptsPerEngine; ++prompt) {
        directory_->prefixes().usedBy(slotOf(number), longRequest().shape, now());
      }
    }
  }

  /// Two in five engines are computing a peer's prompt.
  void startPeerPrompts() {
    constexpr int kInFive = 5;
    constexpr int kBusyInFive = 2;
    for (int number = 0; number < size_; ++number) {
      if (number % kInFive < kBusyInFive) {
        receive(startedNotice(number, static_cast<std::uint32_t>(number) + 1));
      }
    }
  }

  routing::RouteRequest plainRequest(const std::string& kind) {
    routing::RouteRequest request;
    request.stream_id = kind + "-" + std::to_string(++requests_);
    request.model = "m";
    request.version = "1";
    request.between_tokens_limit = std::chrono::milliseconds(200);
    return request;
  }

  /// \param ends cumulative number of tokens at the end of each part
  /// \param variants number of different texts for each part
  common::PromptShape shapeOf(const std::vector<std::uint32_t>& ends,
                              const std::vector<std::uint64_t>& variants) {
    common::PromptShape shape;
    shape.tokens = ends.back();
    shape.piece_ends = ends;
    common::PieceHash before = ends.front();
    for (const std::uint64_t count : variants) {
      before = common::hash64(std::to_string(random_.below(count)), before);
      shape.pieces.push_back(before);
    }
    return shape;
  }

  simulation::Simulation simulation_;
  common::SeededRandom random_;
  int size_;
  std::vector<common::EngineName> names_;
  ScriptedEngines engines_;
  simulation::SimulatedProcess* process_ = nullptr;
  CountingTransport* transport_ = nullptr;
  api::ProcessContext* context_ = nullptr;
  CountingMembership* membership_ = nullptr;
  SettableConfiguration* configuration_ = nullptr;
  routing::EngineDirectory* directory_ = nullptr;
  routing::CostRouter* router_ = nullptr;
  std::uint32_t members_hash_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t publications_ = 0;
};

}  // namespace cypresswall::testing
