/// Sound requests that share only their first part with requests that crash runners.
#include "../standins-2/fleet.h"

using namespace world;

namespace {

constexpr double kSoundGapS = 0.4;
constexpr double kCalmS = 16;
constexpr double kTroubleS = 30;
constexpr double kComesAgainS = 4;
constexpr int kClients = 4;
const std::string kFirstPart = "5c1e07a2:55";
const std::string kCrashingPart = "ee77aa01:40";

constexpr std::size_t kCountedCrash = 5;  // TERMS.md, LOST

struct Sound {
  double sent_at = 0;
  bool begun = false;
};

struct Share {
  int asked = 0;
  int begun = 0;
  std::string text() const { return std::to_string(begun) + " of " + std::to_string(asked); }
};

std::string secondPart(int number) { return "b" + std::to_string(number % 7) + ":37"; }

Ask request(const std::string& path, const std::string& parts) {
  Ask ask;
  ask.path = path;
  ask.counts = "423,4";
  ask.parts = parts;
  ask.body = "prompt " + ask.id;
  ask.deadline_s = 3;
  return ask;
}

}  // namespace

int main(int argc, char** argv) {
  endDaemonsOnSignal();
  if (argc < 3) {
    return 2;
  }
  Record record(argv[2]);
  const bool trouble = withTrouble();
  Fleet fleet(argv[1], record);
  const auto crashes = [trouble](const Message& message) {
    return trouble && message.header("X-Prefix-Hash").find(kCrashingPart) != std::string::npos;
  };
  if (!fleet.start(crashes, false)) {
    return 2;
  }
  sleepFor(5);

  std::mutex mutex;
  std::vector<Sound> sounds;
  double last_came_at = 0;
  std::vector<std::thread> threads;
  const double begin = now();
  const double end = begin + kCalmS + kTroubleS;
  const double trouble_at = begin + kCalmS + kSoundGapS / 2;
  const auto soundRequest = [&](int n) {
    const double at = now();
    const Ask sound =
        request("/faq/s", kFirstPart + "," + secondPart(n) + ",d" + std::to_string(n) + ":331");
    const Answer answer = ask(fleet.node(n), sound);
    const bool begun = answer.status == 200 && !answer.message.body.empty();
    const std::lock_guard lock(mutex);
    sounds.push_back({at, begun});
    if (!begun) {
      record.line("sound: " + sound.id + " at " + fleet.node(n).name() + " -> " +
                  std::to_string(answer.status));
    }
  };
  std::thread crashing([&] {
    for (int n = 0; trouble_at + n / kClients * kComesAgainS < end; n += kClients) {
      sleepFor(trouble_at + n / kClients * kComesAgainS - now());
      last_came_at = now();
      std::vector<std::thread> clients;
      for (int client = n; client < n + kClients; ++client) {
        clients.emplace_back([&, client] {
          const Ask one =
              request("/faq/p", kFirstPart + "," + secondPart(client) + "," + kCrashingPart + ",e" +
                                    std::to_string(client) + ":291");
          const Answer answer = ask(fleet.node(client), one);
          record.line("client: " + one.id + " " + one.parts + " at " + fleet.node(client).name() +
                      " -> " + std::to_string(answer.status));
        });
      }
      for (auto& client : clients) {
        client.join();
      }
    }
  });
  for (int n = 0; now() < end; ++n) {
    sleepFor(begin + n * kSoundGapS - now());
    threads.emplace_back(soundRequest, n);
  }
  crashing.join();
  for (auto& thread : threads) {
    thread.join();
  }
  const bool died = fleet.end();
  const auto crash_times = fleet.crashes();
  // From 2 x contact_ms after the fifth crash, or the last, while such requests still come. Without
  // crashes: from the time at which such requests begin to come.
  const double counted_from =
      (crash_times.empty() ? trouble_at
                           : crash_times[std::min(crash_times.size(), kCountedCrash) - 1]) +
      2 * kContactS;
  Share calm;
  Share later;
  for (const Sound& sound : sounds) {
    if (sound.sent_at < trouble_at) {
      calm.asked += 1;
      calm.begun += sound.begun;
    } else if (sound.sent_at > counted_from && sound.sent_at <= last_came_at) {
      later.asked += 1;
      later.begun += sound.begun;
    }
  }
  record.line("runners that crashed: " + std::to_string(crash_times.size()));
  record.line("sound requests with the first part that began at the first attempt, before: " +
              calm.text());
  record.line("from 2 x contact_ms after the crashes: " + later.text());
  if (died || calm.asked < 20 || later.asked < 20 || calm.begun * 2 < calm.asked ||
      crash_times.empty() == trouble) {
    record.line("the case could not run");
    return 2;
  }
  const double before = static_cast<double>(calm.begun) / calm.asked;
  const double after = static_cast<double>(later.begun) / later.asked;
  return after < before / 2 ? 1 : 0;
}
