/// New connections at a machine to which the platform has handed most of a zone's for some seconds.
#include <sys/resource.h>

#include "../standins-2/fleet.h"

using namespace world;

namespace {

constexpr double kSiteContactS = 4;  // bounds of the site: contact_ms 4,000
constexpr double kPerSecond = 156;   // site file: requests a second in the zone providencia
constexpr double kHandedS = 20;      // TERMS.md: "for some seconds"
constexpr double kIdleLimitS = 15;   // the operator's limits: idle_timeout_ms 15,000
constexpr double kTriesS = 7;
constexpr int kClients = 10;           // NEWS-24.md: seven or more
constexpr rlim_t kDescriptors = 4100;  // the machines' descriptors

Ask request(int number) {
  Ask one;
  one.method = "GET";
  one.path = "/confirm/" + std::to_string(number);
  return one;
}

/// One request on a new connection, which stays open.
int leaveIdle(const Node& node, int number, std::atomic<int>& served) {
  const int socket = connectTo(node.ip(), kFrontPort, 1);
  if (socket < 0) {
    return -1;
  }
  const Ask one = request(number);
  Reader reader(socket);
  Message answer;
  const bool sent =
      sendAll(socket, "GET " + one.path + " HTTP/1.1\r\nHost: " + kHost +
                          "\r\nX-Request-Id: " + one.id + "\r\nX-Deadline-Ms: 1000\r\n\r\n");
  served += sent && reader.message(answer, now() + 1, true) && answer.status() == 200;
  return socket;
}

}  // namespace

int main(int argc, char** argv) {
  endDaemonsOnSignal();
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, kDescriptors);
  if (argc < 3 || limit.rlim_cur < kDescriptors || ::setrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return 2;
  }
  Record record(argv[2]);
  const bool trouble = withTrouble();
  Fleet fleet(argv[1], record);
  fleet.bounds["contact_ms"] = 4000;
  if (!fleet.start([](const Message&) { return false; }, false)) {
    return 2;
  }
  sleepFor(6);
  record.line(trouble ? "the platform hands the zone's new connections to one machine"
                      : "the new connections are spread");
  std::mutex mutex;
  std::vector<int> sockets;
  std::atomic<int> served{0};
  std::atomic<int> next{0};
  const int total = static_cast<int>(kPerSecond * kHandedS);
  const double begin = now();
  std::vector<std::thread> threads;
  for (int i = 0; i < 32; ++i) {
    threads.emplace_back([&] {
      for (int n = next++; n < total; n = next++) {
        sleepFor(begin + n / kPerSecond - now());
        const int socket = leaveIdle(fleet.node(trouble ? 0 : n), n, served);
        const std::lock_guard lock(mutex);
        sockets.push_back(socket);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  record.line("connections that clients left open: " + std::to_string(sockets.size()) +
              ", served " + std::to_string(served));
  sleepFor(kIdleLimitS + 1);
  record.line("clients try again at " + fleet.node(0).name());
  std::atomic<int> tries{0};
  std::atomic<int> taken{0};
  std::atomic<int> not_ready{0};
  threads.clear();
  const double from = now();
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      for (int n = 0; now() < from + kTriesS; ++n) {
        const Answer answer = ask(fleet.node(0), request(100000 + i * 1000 + n));
        ++tries;
        taken += answer.status != 0;
        sleepFor(0.2);
      }
    });
  }
  while (now() < from + kTriesS) {
    not_ready += !ready(fleet.node(0).ip());
    sleepFor(0.5);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const double lasted = now() - from;
  for (const int socket : sockets) {
    ::close(socket);
  }
  const bool died = fleet.end();
  record.line("in " + std::to_string(lasted) + " s, " + std::to_string(kClients) +
              " clients tried " + std::to_string(tries) +
              " times; new connections taken: " + std::to_string(taken) +
              "; times at which the machine was not ready: " + std::to_string(not_ready));
  if (died || served * 4 < total * 3) {
    record.line("the case could not run");
    return 2;
  }
  return taken == 0 && not_ready == 0 && lasted > kSiteContactS ? 1 : 0;
}
