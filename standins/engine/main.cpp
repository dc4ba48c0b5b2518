/// Stand-in for the platform's model engines: one process hosts any number of emulated engines,
/// each at its own address.
#include <gflags/gflags.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <vector>

#include "cypresswall/common/random.h"
#include "cypresswall/emulation/engine.h"
#include "standins/fronts/engine_front.h"
#include "standins/process/http_peers.h"
#include "standins/process/standin_process.h"

DEFINE_string(addresses, "127.0.0.1:8001", "comma-separated IP:port, one for each engine");
DEFINE_string(platform, "", "IP:port of the weight store; empty loads weights at once");
DEFINE_string(model, "model", "model that the engines serve at the start");
DEFINE_string(model_version, "1", "version of that model");
DEFINE_string(builds, "",
              "comma-separated software builds that the engines have in turn; answers differ "
              "between builds");
DEFINE_string(adapters, "", "comma-separated adapters loaded at the start");
DEFINE_string(role, "mixed", "mixed, prefill or decode");
DEFINE_double(prefill_tokens_per_second, 16000, "prompt tokens computed a second");
DEFINE_int64(decode_step_base_us, 12000, "time of a decode step without streams, in us");
DEFINE_int64(decode_step_per_stream_us, 400, "time that each stream adds to a step, in us");
DEFINE_uint32(chunk_tokens, 512, "most prompt tokens in a step that also decodes");
DEFINE_uint32(steps_per_event, 1, "decode steps whose tokens are given together");
DEFINE_uint32(maximum_streams, 32, "streams that run at once");
DEFINE_uint32(maximum_waiting, 1024, "streams that wait at once; further ones are refused");
DEFINE_uint32(cache_pieces, 256, "capacity of the prefix cache, in pieces of 2000 tokens");
DEFINE_double(kv_bytes_per_second, 5e9, "speed of KV cache transfers");
DEFINE_uint64(kv_bytes_per_token, 131072, "size of the KV cache of one token");
DEFINE_double(minimum_answer_share, 1.0, "shortest answer as a share of maximum_tokens");
DEFINE_int64(role_change_ms, 4000, "time away for a change of role, in ms");
DEFINE_int64(model_load_ms, 3000, "time away for a model load after its weights arrived, in ms");
DEFINE_int64(restart_ms, 5000, "time from a crash to the next life, in ms");
DEFINE_int64(load_lag_ms, 0, "age of load reports, in ms");
DEFINE_int64(cache_event_delay_ms, 0, "time until a cache event can be read, in ms");
DEFINE_double(cache_event_loss, 0, "share of cache events that are lost, 0 to 1");
DEFINE_uint64(ledger_limit, 200000, "streams and orders that the ledger keeps");
DEFINE_uint64(seed, 1, "seed of the random losses");

namespace {

using cypresswall::emulation::EmulatedEngine;
using cypresswall::emulation::EngineFaults;
using cypresswall::emulation::EngineSettings;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// \return a value that differs each time the process starts.
std::uint64_t firstIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count()) *
         1000;
}

EngineSettings settingsFromFlags() {
  EngineSettings settings;
  settings.model = FLAGS_model;
  settings.version = FLAGS_model_version;
  settings.adapters = cypresswall::standins::splitList(FLAGS_adapters);
  settings.speed.prefill_tokens_per_second = FLAGS_prefill_tokens_per_second;
  settings.speed.decode_step_base = microseconds(FLAGS_decode_step_base_us);
  settings.speed.decode_step_per_stream = microseconds(FLAGS_decode_step_per_stream_us);
  settings.speed.chunk_tokens = FLAGS_chunk_tokens;
  settings.speed.steps_per_event = FLAGS_steps_per_event;
  settings.speed.kv_bytes_per_second = FLAGS_kv_bytes_per_second;
  settings.speed.kv_bytes_per_token = FLAGS_kv_bytes_per_token;
  settings.maximum_streams = FLAGS_maximum_streams;
  settings.maximum_waiting = FLAGS_maximum_waiting;
  settings.cache_pieces = FLAGS_cache_pieces;
  settings.minimum_answer_share = FLAGS_minimum_answer_share;
  settings.role_change_time = milliseconds(FLAGS_role_change_ms);
  settings.model_load_time = milliseconds(FLAGS_model_load_ms);
  settings.restart_time = milliseconds(FLAGS_restart_ms);
  settings.ledger_limit = FLAGS_ledger_limit;
  settings.incarnation = firstIncarnation();
  return settings;
}

EngineFaults faultsFromFlags() {
  EngineFaults faults;
  faults.load_lag = milliseconds(FLAGS_load_lag_ms);
  faults.cache_events.delay = milliseconds(FLAGS_cache_event_delay_ms);
  faults.cache_events.loss = FLAGS_cache_event_loss;
  return faults;
}

/// One engine with its HTTP front end.
struct EngineInstance {
  std::unique_ptr<EmulatedEngine> engine;
  std::unique_ptr<cypresswall::standins::EngineFront> front;
};

}  // namespace

int main(int argc, char** argv) {
  using namespace cypresswall;  // NOLINT: a program's main
  gflags::SetUsageMessage("emulates model engines; see docs/protocols.md");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  EngineSettings settings = settingsFromFlags();
  if (!engines::parseRole(FLAGS_role, settings.role)) {
    std::cerr << "--role: must be mixed, prefill or decode\n";
    return standins::kExitBadUsage;
  }
  standins::StandinProcess process("engine-standin");
  runtime::CurlMulti curl(process.context());
  common::SeededRandom random(FLAGS_seed);
  standins::HttpKvPeer kv_peer(curl, process.scheduler());
  standins::HttpWeightSource weights(FLAGS_platform, curl);
  const auto builds = standins::splitList(FLAGS_builds);
  std::vector<EngineInstance> hosted;
  for (const std::string& address : standins::splitList(FLAGS_addresses)) {
    settings.name = address;
    settings.build = builds.empty() ? "" : builds[hosted.size() % builds.size()];
    EngineInstance host;
    host.engine =
        std::make_unique<EmulatedEngine>(settings, process.clock(), process.scheduler(), random,
                                         FLAGS_platform.empty() ? nullptr : &weights, &kv_peer);
    host.engine->setFaults(faultsFromFlags());
    kv_peer.addLocal(address, *host.engine);
    host.front = std::make_unique<standins::EngineFront>(*host.engine);
    process.addServer(
        address, [front = host.front.get()](const http::Request& request, const auto& responder) {
          front->handle(request, responder);
        });
    hosted.push_back(std::move(host));
  }
  return process.run();
}
