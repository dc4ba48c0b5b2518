/// Stand-in for a plain HTTP service (tracking portal, booking) with any number of back ends that
/// share one ledger of executions.
#include <gflags/gflags.h>

#include "standins/fronts/service_front.h"
#include "standins/process/standin_process.h"

DEFINE_string(addresses, "127.0.0.1:8100", "comma-separated IP:port, one for each back end");
DEFINE_string(name, "service", "name that stands in the answers");
DEFINE_int64(answer_ms, 2, "time to answer a call, in ms");

int main(int argc, char** argv) {
  using namespace cypresswall;  // NOLINT: a program's main
  gflags::SetUsageMessage("emulates a plain HTTP service; see docs/protocols.md");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standins::StandinProcess process("service-standin");
  emulation::EmulatedService service(FLAGS_name, std::chrono::milliseconds(FLAGS_answer_ms),
                                     process.scheduler());
  standins::ServiceFront front(service);
  for (const std::string& address : standins::splitList(FLAGS_addresses)) {
    process.addServer(address, [&front](const http::Request& request, const auto& responder) {
      front.handle(request, responder);
    });
  }
  return process.run();
}
