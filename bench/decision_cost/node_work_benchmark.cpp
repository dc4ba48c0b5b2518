/// Cost of one node's work in a zone with equal numbers of nodes and engines, and how it scales
/// with the zone size, which is the benchmarks' argument. The counter "messages" gives the messages
/// sent per operation.
#include <benchmark/benchmark.h>

#include "cypresswall/membership/zone_gossip.h"
#include "cypresswall/store_relay/store_relay.h"
#include "tests/support/routing_node.h"

namespace cypresswall {
namespace {

using testing::RoutingNode;

/// Runs `operation` in the benchmark loop and counts the messages that the node sends.
template <typename Operation>
void measure(benchmark::State& state, RoutingNode& node, Operation operation) {
  const std::uint64_t before = node.transport().messages;
  for (auto _ : state) {
    operation();
  }
  const auto sent = static_cast<double>(node.transport().messages - before);
  state.counters["messages"] = benchmark::Counter(sent, benchmark::Counter::kAvgIterations);
  state.SetComplexityN(state.range(0));
}

/// Builds a fixed set of inputs, so that their construction is not measured.
template <typename Make>
auto prepare(Make make) {
  constexpr int kCount = 1024;
  std::vector<decltype(make())> inputs;
  inputs.reserve(kCount);
  for (int i = 0; i < kCount; ++i) {
    inputs.push_back(make());
  }
  return inputs;
}

void routeAll(benchmark::State& state, RoutingNode& node,
              const std::vector<routing::RouteRequest>& requests) {
  std::size_t next = 0;
  std::uint64_t refused = 0;
  measure(state, node, [&] {
    refused += node.route(requests[next]) ? 0 : 1;
    next = (next + 1) % requests.size();
  });
  if (refused > 0) {
    state.SkipWithError("requests were refused");
  }
}

/// From choosing an engine to the end of the answer, for a prompt with four named parts.
void longRequest(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  routeAll(state, node, prepare([&] { return node.longRequest(); }));
}

void shortRequest(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  routeAll(state, node, prepare([&] { return node.shortRequest(); }));
}

/// Choosing an engine only.
void longChoice(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  const auto requests = prepare([&] { return node.longRequest(); });
  std::size_t next = 0;
  measure(state, node, [&] {
    benchmark::DoNotOptimize(node.router().choose(requests[next]));
    next = (next + 1) % requests.size();
  });
}

/// Handles a load report of an engine that this node polls.
void ownReport(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  int next = 0;
  measure(state, node, [&] {
    node.takeReport(next);
    next = (next + 1) % node.size();
  });
}

/// Handles a peer's published load of one engine.
void peersReport(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  int next = 0;
  measure(state, node, [&] {
    state.PauseTiming();
    const api::Envelope publication = node.publicationOf(next);
    next = (next + 1) % node.size();
    state.ResumeTiming();
    node.receive(publication);
  });
}

/// Handles a peer's notices of the start and the end of a long prompt: two messages.
void peersNotice(benchmark::State& state) {
  constexpr std::uint32_t kFirstNumber = 100000;
  RoutingNode node(static_cast<int>(state.range(0)));
  std::uint32_t number = kFirstNumber;
  const auto notices = prepare([&] {
    const int engine = static_cast<int>(++number) % node.size();
    return std::pair(node.startedNotice(engine, number), node.endedNotice(engine, number));
  });
  std::size_t next = 0;
  measure(state, node, [&] {
    node.receive(notices[next].first);
    node.receive(notices[next].second);
    next = (next + 1) % notices.size();
  });
}

/// Notifies peers of the start and the end of a long prompt.
void ownNotice(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  const routing::RouteRequest request = node.longRequest();
  routing::StartedPrompt prompt;
  prompt.uncached_tokens = request.shape.tokens;
  prompt.pieces = request.shape.pieces;
  prompt.piece_ends = request.shape.piece_ends;
  const routing::EngineSlot engine = node.slotOf(0);
  routing::WorkExchange& work = node.directory().work();
  measure(state, node, [&] {
    const std::uint32_t number = work.started(engine, routing::kNoEngineSlot, prompt);
    work.ended(engine, {"", number, true});
  });
}

/// One second of control traffic while all loads change: engine polls, publications, and heartbeats
/// sent and received.
void controlSecond(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  measure(state, node, [&] {
    node.changeEngineLoads();
    node.run(std::chrono::seconds(1));
  });
}

/// Handles one heartbeat; each node of a zone sends two per second.
void peersHeartbeat(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  int peer = 1;
  measure(state, node, [&] {
    node.receivePeerHeartbeat(peer);
    peer = peer % (node.size() - 1) + 1;
  });
}

/// Gossips one changed value, together with the heartbeats of half a second.
void gossipTick(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  auto& gossip = node.process().emplace<membership::ZoneGossip>(membership::MembershipSettings{},
                                                                node.context(), node.membership());
  gossip.start();
  int value = 0;
  measure(state, node, [&] {
    gossip.publish(membership::GossipTopic::kRoutingSummary, std::to_string(++value));
    node.run(std::chrono::milliseconds(500));
  });
}

/// A copy of the store that is always up to date.
class UpToDateStoreCopy final : public store_relay::StoreCopy {
 public:
  std::uint64_t revision() const override { return 1; }
  void beginIncarnation() override {}
  bool callPending() const override { return true; }
  void fetchFromStore() override {}
  std::vector<store_relay::StoreChange> allObjects() const override { return {}; }
  bool applyPeerChanges(const std::vector<store_relay::StoreChange>&, std::uint64_t) override {
    return true;
  }
};

/// One second of store relay announcements by a reader of both topics, with heartbeats.
void relaySecond(benchmark::State& state) {
  RoutingNode node(static_cast<int>(state.range(0)));
  auto& copy = node.process().emplace<UpToDateStoreCopy>();
  store_relay::StoreRelaySettings settings;
  settings.readers = static_cast<std::size_t>(node.size());
  auto& incarnation = node.process().emplace<store_relay::StoreIncarnation>(node.context());
  auto& relay = node.process().emplace<store_relay::StoreRelay>(settings, node.context(),
                                                                node.membership(), incarnation);
  const auto topics = {store_relay::Topic::kListedEngines, store_relay::Topic::kDeclaredFleet};
  for (const store_relay::Topic topic : topics) {
    relay.follow(topic, copy);
    relay.listed(topic, 1);
  }
  relay.start();
  measure(state, node, [&] {
    for (const store_relay::Topic topic : topics) {
      relay.read(topic, {}, 1);
    }
    node.run(std::chrono::seconds(1));
  });
}

void sizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Arg(10)->Arg(65)->Arg(370)->Complexity();
}

BENCHMARK(longChoice)->Apply(sizes);
BENCHMARK(longRequest)->Apply(sizes);
BENCHMARK(shortRequest)->Apply(sizes);
BENCHMARK(ownReport)->Apply(sizes);
BENCHMARK(peersReport)->Apply(sizes);
BENCHMARK(peersNotice)->Apply(sizes);
BENCHMARK(ownNotice)->Apply(sizes);
BENCHMARK(peersHeartbeat)->Apply(sizes);
BENCHMARK(controlSecond)->Apply(sizes);
BENCHMARK(gossipTick)->Apply(sizes);
BENCHMARK(relaySecond)->Apply(sizes);

}  // namespace
}  // namespace cypresswall
