/// Stand-in for the platform: object API, machine list and weight store in one process.
#include <gflags/gflags.h>

#include "standins/fronts/platform_front.h"
#include "standins/process/standin_process.h"

DEFINE_string(address, "127.0.0.1:8000", "IP:port to listen on");
DEFINE_int64(machine_list_lag_ms, 1000, "how long changes of machines are hidden, in ms");
DEFINE_double(weight_bytes_per_second, 8e9, "rate limit over all weight transfers");
DEFINE_uint64(weight_transfers, 16, "transfers under way at once; further ones are refused");
DEFINE_uint64(weight_bytes, 16'000'000'000, "size of every model's weights");

int main(int argc, char** argv) {
  using namespace cypresswall;  // NOLINT: a program's main
  gflags::SetUsageMessage("emulates the platform; see docs/protocols.md");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standins::StandinProcess process("platform-standin");
  emulation::EmulatedObjectStore store(process.clock(), process.scheduler());
  emulation::EmulatedMachineList machines(std::chrono::milliseconds(FLAGS_machine_list_lag_ms),
                                          process.clock(), process.scheduler());
  emulation::WeightStoreSettings weight_settings;
  weight_settings.bytes_per_second = FLAGS_weight_bytes_per_second;
  weight_settings.maximum_transfers = FLAGS_weight_transfers;
  weight_settings.default_bytes = FLAGS_weight_bytes;
  emulation::EmulatedWeightStore weights(weight_settings, process.clock(), process.scheduler());
  standins::PlatformFront front(store, machines, weights);
  process.addServer(FLAGS_address, [&front](const http::Request& request, const auto& responder) {
    front.handle(request, responder);
  });
  return process.run();
}
