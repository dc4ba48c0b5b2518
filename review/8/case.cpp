/// A request that crashes each runner that begins to run it, while all processes are killed now and
/// then.
#include "../standins-2/fleet.h"

using namespace world;

namespace {

constexpr int kAllowedRetries = 3;  // TERMS.md, BUDGET
constexpr double kDarkS = 1.9;      // site file: herd_kill, how = power, on = core, for_s = 2.0
constexpr double kSoundPerSecond = 14.9;  // sheet: booking-confirm
const std::string kPath = "/slots/day-7";
/// Seconds after the beginning at which the request comes; every 5 s but while the machines start.
const std::vector<double> kComes = {0, 5, 15, 20, 30, 35, 40, 45, 50};
const std::vector<double> kKills = {7, 22};

}  // namespace

int main(int argc, char** argv) {
  endDaemonsOnSignal();
  if (argc < 3) {
    return 2;
  }
  Record record(argv[2]);
  const bool trouble = withTrouble();
  Fleet fleet(argv[1], record);
  if (!fleet.start([](const Message& message) { return message.target() == kPath; }, false)) {
    return 2;
  }
  std::atomic<bool> stop{false};
  std::atomic<bool> dark{false};
  std::atomic<int> sound{0};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 3; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const double next = now() + 3 / kSoundPerSecond;
        if (!dark) {
          Ask one;
          one.method = "GET";
          one.path = "/confirm/" + std::to_string(i) + "-" + std::to_string(n);
          const Answer answer = ask(fleet.node(n + i), one);
          ++sound;
          served += answer.status == 200 && answer.complete;
        }
        sleepFor(next - now());
      }
    });
  }
  sleepFor(8);
  const double begin = now();
  std::thread killer([&] {
    for (const double at : kKills) {
      sleepFor(begin + at - now());
      if (!trouble) {
        continue;
      }
      record.line("all processes are killed");
      const double killed_at = now();
      dark = true;
      for (int i = 0; i < Fleet::kNodes; ++i) {
        fleet.node(i).kill();
      }
      sleepFor(killed_at + kDarkS - now());
      for (int i = 0; i < Fleet::kNodes; ++i) {
        fleet.node(i).start();
      }
      fleet.awaitReady(10);
      dark = false;
    }
  });
  int number = 0;
  for (const double at : kComes) {
    sleepFor(begin + at - now());
    Ask one;
    one.path = kPath;
    one.body = "{\"slot\":\"09:30\"}";
    const Node& node = fleet.node(number++);
    const Answer answer = ask(node, one);
    record.line("client: " + one.id + " " + kPath + " at " + node.name() + " -> " +
                std::to_string(answer.status));
  }
  killer.join();
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  const bool died = fleet.end();
  const auto crash_times = fleet.crashes();
  const auto arrivals =
      fleet.arrivals([](const Runner::Arrival& arrival) { return arrival.target == kPath; });
  const double bound = crash_times.size() >= 3 ? crash_times[2] + kContactS : 1e9;
  const auto late =
      std::count_if(arrivals.begin(), arrivals.end(), [bound](double at) { return at > bound; });
  record.line("sound requests: " + std::to_string(sound) + ", served " + std::to_string(served));
  record.line("the request reached runners " + std::to_string(arrivals.size()) +
              " times and crashed " + std::to_string(crash_times.size()));
  record.line("later than contact_ms after the third crash: " + std::to_string(late) +
              ", allowed " + std::to_string(kAllowedRetries));
  if (died || served * 2 < sound || crash_times.size() < 3) {
    record.line("the case could not run");
    return 2;
  }
  return late > kAllowedRetries ? 1 : 0;
}
