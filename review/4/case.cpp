/// The reports of usage when the store comes back from a copy and the node that acted last is
/// killed.
#include <ctime>

#include "../standins-2/fleet.h"

using namespace world;

namespace {

constexpr double kWindowS = 5;   // bounds: window_s
constexpr double kCopyAgeS = 8;  // TERMS.md: "a copy some seconds old"
constexpr double kAwayS = 1;     // TERMS.md: "away for a moment"
constexpr double kDarkS = 3.4;   // site file: kill_leader, for_s = 3.5
constexpr double kRequestsPerS = 20;

/// The platform's API for duties: takes a call unless it has seen a higher fencing token.
class Duties {
 public:
  struct Report {
    double at;
    std::string holder;
    std::uint64_t token;
    std::uint64_t window;
    json counts;
  };

  Duties(const std::string& ip, Record& record)
      : address_(ip + ":8763"),
        record_(record),
        server_(ip, 8763, [this](int socket) { serve(socket); }) {}
  ~Duties() { server_.end(); }
  bool start() { return server_.start(); }
  const std::string& address() const { return address_; }
  std::vector<Report> taken() const {
    const std::lock_guard lock(mutex_);
    return taken_;
  }

 private:
  void serve(int socket) {
    Reader reader(socket);
    Message request;
    while (reader.message(request, now() + 60, false)) {
      if (!sendAll(socket, answerText(answer(request), "", ""))) {
        return;
      }
    }
  }
  int answer(const Message& request) {
    const json body = json::parse(request.body, nullptr, false);
    if (request.target() != "/usage" || !body.is_object()) {
      return 400;
    }
    const std::lock_guard lock(mutex_);
    Report report{now(), request.header("X-Lease-Holder"),
                  std::strtoull(request.header("X-Fencing-Token").c_str(), nullptr, 10),
                  body.at("window_seq").get<std::uint64_t>(), body.at("counts")};
    const bool refused = report.token < highest_;
    record_.line("usage " + std::to_string(report.window) + " " + report.counts.dump() + " of " +
                 report.holder + ", token " + std::to_string(report.token) +
                 (refused ? " -> 409" : " -> 200"));
    if (refused) {
      return 409;
    }
    highest_ = report.token;
    taken_.push_back(std::move(report));
    return 200;
  }

  std::string address_;
  Record& record_;
  mutable std::mutex mutex_;
  std::uint64_t highest_ = 0;
  std::vector<Report> taken_;
  Server server_;
};

double timeOfDay() {
  timespec time{};
  ::clock_gettime(CLOCK_REALTIME, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

void sleepUntilInWindow(double offset) {
  const double into = std::fmod(timeOfDay(), kWindowS);
  sleepFor(std::fmod(offset - into + 2 * kWindowS, kWindowS));
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
  Duties duties(fleet.net() + "2", record);
  if (!duties.start()) {
    return 2;
  }
  fleet.configuration["tenants"] =
      json::array({{{"name", "huka270"}, {"api_keys", {"492cqf75rjvz48wuakn2"}}, {"priority", 1}},
                   {{"name", "puhu251"}, {"api_keys", {"ftimaj3nr26tta828m82"}}, {"priority", 1}}});
  fleet.bounds.update(
      {{"window_s", 5}, {"usage_off", 0.05}, {"usage_late_s", 10}, {"contact_ms", 4000}});
  fleet.more_settings = {{"cloud_api",
                          {{"address", duties.address()},
                           {"rate_per_s", 50.0},
                           {"duties", {"usage_report", "autoscale"}},
                           {"duty_per_s", 50.0}}}};
  if (!fleet.start([](const Message&) { return false; }, false)) {
    return 2;
  }
  std::atomic<bool> stop{false};
  std::atomic<int> asked{0};
  std::atomic<int> served{0};
  std::atomic<int> killed{-1};
  std::vector<std::thread> clients;
  for (int i = 0; i < 4; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const double next = now() + 4 / kRequestsPerS;
        const int index = (n + i) % Fleet::kNodes;
        if (index != killed) {
          Ask one;
          one.method = "GET";
          one.path = "/confirm/" + std::to_string(i) + "-" + std::to_string(n);
          one.more = std::string("Api-Key: ") +
                     (n % 3 == 0 ? "ftimaj3nr26tta828m82" : "492cqf75rjvz48wuakn2") + "\r\n";
          const Answer answer = ask(fleet.node(index), one);
          ++asked;
          served += answer.status == 200 && answer.complete;
        }
        sleepFor(next - now());
      }
    });
  }
  sleepFor(15);
  sleepUntilInWindow(3.0);
  fleet.store().keepCopy();
  record.line("the copy is made");
  sleepFor(kCopyAgeS);
  const auto before = duties.taken();
  if (trouble) {
    record.line("the store is away, and the node that acted last is killed");
    const std::string holder = before.empty() ? "" : before.back().holder;
    const double killed_at = now();
    for (int i = 0; i < Fleet::kNodes; ++i) {
      if (fleet.node(i).name() == holder) {
        killed = i;
        fleet.node(i).kill();
        record.line(holder + " is killed");
      }
    }
    if (!fleet.store().restoreCopy(kAwayS)) {
      record.line("the store could not come back");
      return 2;
    }
    record.line("the store is back from the copy");
    sleepFor(killed_at + kDarkS - now());
    if (killed >= 0) {
      fleet.node(killed).start();
      record.line(fleet.node(killed).name() + " is started again");
    }
  }
  sleepFor(35);
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  const bool died = fleet.end();
  std::map<std::uint64_t, std::set<std::string>> by_window;
  for (const auto& report : duties.taken()) {
    by_window[report.window].insert(report.counts.dump());
  }
  int broken = 0;
  for (const auto& [window, counts] : by_window) {
    if (counts.size() > 1) {
      ++broken;
      record.line("window " + std::to_string(window) + " was reported and taken with " +
                  std::to_string(counts.size()) + " different counts");
    }
  }
  record.line("requests: " + std::to_string(asked) + ", served " + std::to_string(served) +
              "; windows reported: " + std::to_string(by_window.size()) +
              ", with different counts: " + std::to_string(broken));
  if (died || before.empty() || (trouble && killed < 0) || by_window.size() < 5 ||
      served * 2 < asked) {
    record.line("the case could not run");
    return 2;
  }
  return broken > 0 ? 1 : 0;
}
