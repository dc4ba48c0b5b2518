/// A small world on loopback for the cases of the second review: the platform's store, runners of a
/// plain service, clients, and the project's daemon as separate processes. It follows PROTOCOL.md;
/// what it can't do is not needed by the cases.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

/// \return seconds since the start of the process
inline double now() {
  static const auto start = SteadyClock::now();
  return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

inline void sleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

/// Lines of the file record.txt of a case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", now());
    file_ << stamp << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Of an answer: false if the connection ended before the answer was complete.
  bool complete = false;

  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (lower(key) == lower(name)) {
        return value;
      }
    }
    return {};
  }
  std::string word(std::size_t index) const {
    std::istringstream words(first_line);
    std::string word;
    for (std::size_t i = 0; i <= index; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
  std::string method() const { return word(0); }
  std::string target() const { return word(1); }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads from a socket with a time limit.
class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}

  /// \return false at the end of the connection, an error or the time limit
  bool more(double limit_at) {
    while (true) {
      const double left = limit_at - now();
      if (left <= 0) {
        return false;
      }
      pollfd item{socket_, POLLIN, 0};
      const int ready = ::poll(&item, 1, static_cast<int>(left * 1000) + 1);
      if (ready == 0 || (ready < 0 && errno == EINTR)) {
        continue;
      }
      char bytes[65536];
      const ssize_t count = ::recv(socket_, bytes, sizeof bytes, 0);
      if (count <= 0) {
        ended_ = true;
        return false;
      }
      buffer_.append(bytes, static_cast<std::size_t>(count));
      return true;
    }
  }
  bool ended() const { return ended_; }

  /// Reads one message. \return false if not even a head arrived
  bool message(Message& message, double limit_at, bool is_answer) {
    message = Message();
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!more(limit_at)) {
        return false;
      }
    }
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const auto colon = line.find(':');
      if (message.first_line.empty()) {
        message.first_line = line;
      } else if (colon != std::string::npos) {
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
      }
    }
    message.complete = readBody(message, limit_at, is_answer);
    return true;
  }

 private:
  bool take(std::string& body, std::size_t count, double limit_at) {
    while (buffer_.size() < count) {
      if (!more(limit_at)) {
        return false;
      }
    }
    body += buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }
  bool readBody(Message& message, double limit_at, bool is_answer) {
    if (lower(message.header("Transfer-Encoding")) == "chunked") {
      while (true) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
          if (!more(limit_at)) {
            return false;
          }
        }
        const std::size_t size = std::strtoul(buffer_.substr(0, end).c_str(), nullptr, 16);
        buffer_.erase(0, end + 2);
        std::string line_end;
        if (!take(message.body, size, limit_at) || !take(line_end, 2, limit_at)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
    }
    const std::string length = message.header("Content-Length");
    if (!length.empty()) {
      return take(message.body, std::strtoul(length.c_str(), nullptr, 10), limit_at);
    }
    if (!is_answer || message.status() == 204 || message.status() == 304) {
      return true;
    }
    while (more(limit_at)) {
    }
    message.body += std::exchange(buffer_, {});
    return ended_;
  }

  int socket_;
  std::string buffer_;
  bool ended_ = false;
};

inline bool sendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline std::string answerText(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in socketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A listening address with a thread for each connection.
class Server {
 public:
  using Handler = std::function<void(int socket)>;

  Server(std::string ip, int port, Handler handler)
      : ip_(std::move(ip)), port_(port), handler_(std::move(handler)) {}
  ~Server() { end(); }

  bool start() {
    end();
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = socketAddress(ip_, port_);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener, 1024) != 0) {
      ::close(listener);
      return false;
    }
    listener_ = listener;
    stopping_ = false;
    acceptor_ = std::thread([this, listener] { accept(listener); });
    return true;
  }
  /// Closes the listening socket and all connections, as the end of a process does.
  void end() {
    stopping_ = true;
    if (listener_ >= 0) {
      ::shutdown(listener_, SHUT_RDWR);
      ::close(listener_);
      listener_ = -1;
    }
    if (acceptor_.joinable()) {
      acceptor_.join();
    }
    std::unique_lock lock(mutex_);
    for (const int socket : sockets_) {
      ::shutdown(socket, SHUT_RDWR);
    }
    ended_.wait(lock, [this] { return sockets_.empty(); });
  }
  /// As end(), but doesn't wait for the threads of the connections; may be called by one of them.
  void crash() {
    stopping_ = true;
    if (listener_ >= 0) {
      ::shutdown(listener_, SHUT_RDWR);
      ::close(listener_);
      listener_ = -1;
    }
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }

 private:
  void accept(int listener) {
    while (true) {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (stopping_) {
          return;
        }
        sleepFor(0.001);
        continue;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(mutex_);
        if (stopping_) {
          ::close(socket);
          return;
        }
        sockets_.insert(socket);
      }
      std::thread([this, socket] {
        handler_(socket);
        const std::lock_guard lock(mutex_);
        sockets_.erase(socket);
        ::close(socket);
        ended_.notify_all();
      }).detach();
    }
  }

  std::string ip_;
  int port_;
  Handler handler_;
  std::atomic<int> listener_{-1};
  std::atomic<bool> stopping_{true};
  std::thread acceptor_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::set<int> sockets_;
};

/// The platform's metadata store: sound, and slow by some ms as the pages say.
class Store {
 public:
  Store(const std::string& ip, int port)
      : address_(ip + ":" + std::to_string(port)),
        server_(ip, port, [this](int socket) { serve(socket); }) {}
  ~Store() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    server_.end();
  }
  bool start() { return server_.start(); }
  const std::string& address() const { return address_; }

  /// Keeps a copy of all objects, as of now.
  void keepCopy() {
    const std::lock_guard lock(mutex_);
    copy_ = objects_;
    copy_revision_ = revision_;
  }
  /// A drill: the store is away for a moment, and comes back from the copy. What the operator and
  /// the runners wrote since is written again; what the system wrote since is gone.
  bool restoreCopy(double away_s) {
    server_.end();
    sleepFor(away_s);
    {
      const std::lock_guard lock(mutex_);
      const auto before = std::exchange(objects_, copy_);
      revision_ = copy_revision_;
      std::erase_if(events_, [this](const Event& event) { return event.revision > revision_; });
      ++era_;
      for (const char* const kind : {"config", "servers"}) {
        for (const auto& [name, object] : before.contains(kind) ? before.at(kind) : Objects()) {
          json& kept = objects_[kind][name];
          if (kept.is_null() || kept["spec"] != object["spec"]) {
            kept = object;
            record(kind, kept, false);
          }
        }
        std::vector<std::string> gone;
        for (const auto& [name, object] : objects_[kind]) {
          if (!before.contains(kind) || !before.at(kind).contains(name)) {
            gone.push_back(name);
          }
        }
        for (const auto& name : gone) {
          json object = objects_[kind][name];
          objects_[kind].erase(name);
          record(kind, object, true);
        }
      }
    }
    return server_.start();
  }

  /// Writes as the operator or a runner does. \return the revision
  std::uint64_t put(const std::string& kind, const std::string& name, const json& spec) {
    const std::lock_guard lock(mutex_);
    auto& object = objects_[kind][name];
    if (!object.is_null() && object["spec"] == spec) {
      return object["metadata"]["revision"];
    }
    if (object.is_null()) {
      object = {{"metadata",
                 {{"name", name},
                  {"created", revision_ + 1},
                  {"finalizers", json::array()},
                  {"deletion_requested", false}}},
                {"status", nullptr}};
    }
    object["spec"] = spec;
    return record(kind, object, false);
  }
  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found != objects_[kind].end()) {
      json object = found->second;
      objects_[kind].erase(found);
      record(kind, object, true);
    }
  }

 private:
  struct Event {
    std::uint64_t revision;
    std::string kind;
    json event;
  };

  std::uint64_t record(const std::string& kind, json& object, bool gone) {
    object["metadata"]["revision"] = ++revision_;
    events_.push_back({revision_, kind, {{"object", object}, {"gone", gone}}});
    changed_.notify_all();
    return revision_;
  }
  static std::string decoded(const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        result += static_cast<char>(std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        result += text[i];
      }
    }
    return result;
  }
  void serve(int socket) {
    Reader reader(socket);
    Message request;
    while (reader.message(request, now() + 3600, false)) {
      sleepFor(0.004);
      const auto [status, body] = answer(request);
      const std::string fields =
          "Content-Type: application/json\r\nStore-Era: " + std::to_string(era_.load()) + "\r\n";
      if (!sendAll(socket, answerText(status, fields, body))) {
        return;
      }
    }
  }
  std::pair<int, std::string> answer(const Message& request) {
    const std::string target = request.target();
    const auto mark = target.find('?');
    std::map<std::string, std::string> query;
    if (mark != std::string::npos) {
      std::istringstream items(target.substr(mark + 1));
      std::string item;
      while (std::getline(items, item, '&')) {
        const auto equals = item.find('=');
        query[item.substr(0, equals)] =
            equals == std::string::npos ? "" : decoded(item.substr(equals + 1));
      }
    }
    std::istringstream segments(target.substr(0, mark));
    std::vector<std::string> path;
    std::string segment;
    while (std::getline(segments, segment, '/')) {
      if (!segment.empty()) {
        path.push_back(decoded(segment));
      }
    }
    if (path.size() < 2 || path[0] != "objects") {
      return {404, "{}"};
    }
    std::unique_lock lock(mutex_);
    auto& objects = objects_[path[1]];
    const std::string method = request.method();
    if (method == "GET" && path.size() == 2) {
      return query.contains("watch") ? watch(lock, path[1], query) : list(path[1], query);
    }
    if (method == "GET") {
      const auto found = objects.find(path[2]);
      return found == objects.end() ? std::pair{404, std::string("{}")}
                                    : std::pair{200, found->second.dump()};
    }
    const json body =
        request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
      return {400, "{}"};
    }
    const std::string name =
        path.size() > 2 ? path[2] : body.value("/metadata/name"_json_pointer, std::string());
    const auto found = objects.find(name);
    if (method == "POST") {
      if (found != objects.end()) {
        return {409, found->second.dump()};
      }
      json object = {{"metadata",
                      {{"name", name},
                       {"created", revision_ + 1},
                       {"finalizers", json::array()},
                       {"deletion_requested", false}}},
                     {"spec", body.value("spec", json())},
                     {"status", nullptr}};
      record(path[1], object, false);
      objects[name] = object;
      return {200, object.dump()};
    }
    if (found == objects.end()) {
      return {404, "{}"};
    }
    json& object = found->second;
    std::uint64_t wanted = 0;
    if (query.contains("revision")) {
      wanted = std::strtoull(query["revision"].c_str(), nullptr, 10);
    } else if (body.contains("metadata") && body["metadata"].contains("revision")) {
      wanted = body["metadata"]["revision"].get<std::uint64_t>();
    }
    if (wanted != 0 && wanted != object["metadata"]["revision"].get<std::uint64_t>()) {
      return {409, object.dump()};
    }
    if (method == "DELETE") {
      json gone = object;
      objects.erase(found);
      record(path[1], gone, true);
      return {200, gone.dump()};
    }
    const std::string part = path.size() > 3 ? "status" : "spec";
    if (object[part] != body.value(part, json())) {
      object[part] = body.value(part, json());
      record(path[1], object, false);
    }
    return {200, object.dump()};
  }
  std::pair<int, std::string> list(const std::string& kind,
                                   std::map<std::string, std::string>& query) {
    json items = json::array();
    for (auto item = objects_[kind].upper_bound(query["after"]); item != objects_[kind].end();
         ++item) {
      items.push_back(item->second);
    }
    return {200, json{{"items", items}, {"has_more", false}, {"at", revision_}}.dump()};
  }
  std::pair<int, std::string> watch(std::unique_lock<std::mutex>& lock, const std::string& kind,
                                    std::map<std::string, std::string>& query) {
    const std::uint64_t since = std::strtoull(query["watch"].c_str(), nullptr, 10);
    const double until = now() + std::strtod(query["wait_ms"].c_str(), nullptr) / 1000;
    const int era = era_;
    if (since > revision_) {
      return {410, "{}"};
    }
    while (true) {
      if (era != era_) {
        return {410, "{}"};
      }
      json events = json::array();
      for (const Event& event : events_) {
        if (event.revision > since && event.kind == kind) {
          events.push_back(event.event);
        }
      }
      const double left = until - now();
      if (!events.empty() || left <= 0 || stopping_) {
        return {200, json{{"events", events}, {"at", std::max(since, revision_)}}.dump()};
      }
      changed_.wait_for(lock, std::chrono::duration<double>(std::min(left, 1.0)));
    }
  }

  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::uint64_t revision_ = 1;
  using Objects = std::map<std::string, json>;
  std::map<std::string, Objects> objects_;
  std::map<std::string, Objects> copy_;
  std::uint64_t copy_revision_ = 1;
  std::atomic<int> era_{1};
  std::vector<Event> events_;
  Server server_;
};

/// A runner of a plain service or of a language model. Every start has a new id.
class Runner {
 public:
  struct Arrival {
    double at;
    std::string id;
    std::string target;
  };
  struct Settings {
    std::string service;
    std::string name;
    std::string ip;
    int port = 8080;
    std::string zone;
    int slots = 6;
    /// Of a model runner: "prefill" or "decode"; empty for a plain service.
    std::string stage;
    /// Of its software.
    std::string version = "v1";
    double work_s = 0.03;
    double gap_s = 0.01;
    double down_s = 3;
    /// Three heartbeats, after which the entry of a runner that is silent goes.
    double silence_s = 3.6;
    /// True if the runner crashes as it begins to run this request.
    std::function<bool(const Message& request)> crashes = [](const Message&) { return false; };
    /// Whether a stream's first event still leaves a runner that crashes.
    bool crashes_with_first_event = false;
  };

  Runner(Store& store, Record& record, Settings settings)
      : store_(store),
        record_(record),
        settings_(std::move(settings)),
        stage_(settings_.stage),
        server_(settings_.ip, settings_.port, [this](int socket) { serve(socket); }) {}
  ~Runner() {
    server_.end();
    joinThreads();
  }

  bool start() {
    {
      const std::lock_guard lock(mutex_);
      id_ = settings_.name + "-" + std::to_string(++starts_);
      stage_ = settings_.stage;
      orders_ = 0;
      fence_ = 0;
    }
    if (!server_.start()) {
      return false;
    }
    store_.put("servers", id(), entry());
    return true;
  }
  std::string id() const {
    const std::lock_guard lock(mutex_);
    return id_;
  }
  /// Requests that this runner has begun to run, with all its starts.
  std::vector<Arrival> arrivals() const {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  std::vector<double> crashTimes() const {
    const std::lock_guard lock(mutex_);
    return crash_times_;
  }
  std::string address() const { return settings_.ip + ":" + std::to_string(settings_.port); }
  /// Waits for crashed runners to come back and for orders under way.
  void joinThreads() {
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      threads.swap(threads_);
    }
    for (auto& thread : threads) {
      thread.join();
    }
  }

 private:
  static json models() {
    return json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
  }
  json entry() const {
    const std::lock_guard lock(mutex_);
    json entry = {{"service", settings_.service},
                  {"address", address()},
                  {"zone", settings_.zone},
                  {"version", settings_.version},
                  {"slots", settings_.slots},
                  {"state", "ready"},
                  {"cold_left_ms", 0},
                  {"call_seq", orders_}};
    if (!settings_.stage.empty()) {
      entry["stage"] = stage_;
      entry["models"] = models();
    }
    return entry;
  }
  void serve(int socket) {
    Reader reader(socket);
    Message request;
    while (reader.message(request, now() + 20, false)) {
      const std::string fields = "X-Request-Id: " + request.header("X-Request-Id") +
                                 "\r\nX-Instance-Id: " + id() + "\r\nKeep-Alive: timeout=15\r\n";
      const std::string wanted = request.header("X-Target-Instance");
      bool goes_on = true;
      if (!wanted.empty() && wanted != id()) {
        goes_on = sendAll(socket, answerText(421, fields, ""));
      } else if (!settings_.stage.empty() && answerOwnCall(socket, request, fields, goes_on)) {
      } else {
        goes_on = run(socket, request, fields);
      }
      if (!goes_on) {
        return;
      }
    }
  }
  bool answerOwnCall(int socket, const Message& request, const std::string& fields, bool& goes_on) {
    const std::string target = request.target();
    const auto respond = [&](int status, const json& body) {
      goes_on = sendAll(
          socket, answerText(status, fields + "Content-Type: application/json\r\n", body.dump()));
    };
    if (target == "/report") {
      const std::lock_guard lock(mutex_);
      respond(200, {{"stage", stage_},
                    {"models", models()},
                    {"busy", busy_},
                    {"call_seq", orders_},
                    {"queued", 0},
                    {"running", running_.load()},
                    {"kv_used", 0},
                    {"kv_total", 495255},
                    {"kv_handles", 0},
                    {"state", "ready"},
                    {"next_token", 0},
                    {"run_count", json::array()}});
    } else if (target.starts_with("/kv-list")) {
      respond(200, {{"epoch", 1}, {"next_token", 1}, {"held", json::array()}});
    } else if (target.starts_with("/kv-events")) {
      sleepFor(std::atof(request.header("Wait-Ms").c_str()) / 1000);
      respond(200, {{"epoch", 1}, {"next_token", 1}, {"lost", false}, {"events", json::array()}});
    } else if (target.starts_with("/kv-handle/")) {
      respond(200, json::object());
    } else if (target == "/healthz") {
      respond(200, json::object());
    } else if (target == "/order") {
      respond(order(json::parse(request.body, nullptr, false)), json::object());
    } else {
      return false;
    }
    return true;
  }
  int order(const json& body) {
    const std::lock_guard lock(mutex_);
    if (!body.is_object() || body.value("operation", "") != "stage" ||
        !body.contains("fencing_token") || !body.contains("holder")) {
      return 400;
    }
    const std::uint64_t fence = body["fencing_token"];
    if (fence < fence_) {
      return 412;
    }
    fence_ = fence;
    if (busy_ || body.value("expected_rev", orders_) != orders_) {
      return 409;
    }
    if (body.value("stage", "") == stage_) {
      return 200;
    }
    ++orders_;
    busy_ = true;
    threads_.emplace_back([this, stage = body["stage"].get<std::string>(), of = id_] {
      sleepFor(1.1);
      {
        const std::lock_guard lock(mutex_);
        busy_ = false;
        if (of != id_) {
          return;
        }
        stage_ = stage;
      }
      store_.put("servers", of, entry());
    });
    return 202;
  }
  /// \return false if the connection has ended
  bool run(int socket, const Message& request, const std::string& fields) {
    const std::string seal = "X-Response-Seal: s." + request.header("X-Request-Id") + "\r\n";
    const bool prefill = request.header("X-Stage") == "prefill";
    {
      const std::lock_guard lock(mutex_);
      if (!settings_.stage.empty() && (busy_ || prefill != (stage_ == "prefill"))) {
        return sendAll(socket, busy_ ? answerText(503, fields + "X-Not-Executed: 1\r\n", "")
                                     : answerText(421, fields, ""));
      }
      if (!prefill) {
        arrivals_.push_back({now(), request.header("X-Request-Id"), request.target()});
      }
    }
    if (prefill) {
      sleepFor(settings_.work_s);
      const json body = {
          {"kv_handle", "3fa0" + request.header("X-Request-Id")}, {"tokens", 1}, {"version", 1}};
      return sendAll(socket, answerText(200, fields + seal + "Content-Type: application/json\r\n",
                                        body.dump()));
    }
    ++running_;
    const bool goes_on = settings_.stage.empty() ? answer(socket, request, fields + seal)
                                                 : stream(socket, request, fields + seal);
    --running_;
    return goes_on;
  }
  bool answer(int socket, const Message& request, const std::string& fields) {
    if (settings_.crashes(request)) {
      crash(request);
      return false;
    }
    sleepFor(settings_.work_s);
    return sendAll(
        socket,
        answerText(200, fields, "answer of " + id() + " to " + request.header("X-Request-Id")));
  }
  bool stream(int socket, const Message& request, const std::string& fields) {
    const std::string counts = request.header("X-Token-Counts");
    const auto comma = counts.find(',');
    const int last = comma == std::string::npos ? 1 : std::atoi(counts.c_str() + comma + 1);
    const int first = std::atoi(request.header("Last-Event-Id").c_str()) + 1;
    sleepFor(settings_.work_s);
    const bool crashes = settings_.crashes(request);
    if (crashes && !settings_.crashes_with_first_event) {
      crash(request);
      return false;
    }
    if (!sendAll(socket, "HTTP/1.1 200 OK\r\n" + fields +
                             "Content-Type: text/event-stream\r\nX-Weight-Versions: "
                             "1\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int number = first; number <= last; ++number) {
      const std::string event = "id: " + std::to_string(number) + "\ndata: " + settings_.version +
                                " token " + std::to_string(number) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!sendAll(socket, size + event + "\r\n")) {
        return false;
      }
      if (crashes) {
        sleepFor(0.001);
        crash(request);
        return false;
      }
      sleepFor(settings_.gap_s);
    }
    return sendAll(socket, "0\r\n\r\n");
  }
  void crash(const Message& request) {
    const std::string ended = id();
    record_.line(ended + " ends under " + request.header("X-Request-Id") + " " + request.target());
    {
      const std::lock_guard lock(mutex_);
      if (crashed_id_ == ended) {
        return;  // Another copy has ended it already.
      }
      crashed_id_ = ended;
      crash_times_.push_back(now());
    }
    server_.crash();
    const std::lock_guard lock(mutex_);
    threads_.emplace_back([this, ended] {
      sleepFor(settings_.down_s);
      record_.line(start() ? id() + " is back" : settings_.name + " could not start again");
      sleepFor(settings_.silence_s - settings_.down_s);
      store_.remove("servers", ended);
    });
  }

  Store& store_;
  Record& record_;
  const Settings settings_;
  mutable std::mutex mutex_;
  std::string id_;
  std::string stage_;
  std::string crashed_id_;
  int starts_ = 0;
  int orders_ = 0;
  std::uint64_t fence_ = 0;
  bool busy_ = false;
  std::atomic<int> running_{0};
  std::vector<double> crash_times_;
  std::vector<Arrival> arrivals_;
  std::vector<std::thread> threads_;
  Server server_;
};

/// Fills a settings template as DEPLOY.md says; only what deploy/settings.template uses.
class Template {
 public:
  explicit Template(json fields) : fields_(std::move(fields)) {}
  std::string fill(const std::string& text) const { return fill(text, {}, "", false); }

 private:
  const json* find(const std::string& path, const json& entry) const {
    for (const json* from : {&entry, &fields_}) {
      const json* at = from;
      std::istringstream names(path);
      std::string name;
      while (at != nullptr && std::getline(names, name, '.')) {
        at = at->is_object() && at->contains(name) ? &(*at)[name] : nullptr;
      }
      if (at != nullptr && at != from) {
        return at;
      }
    }
    return nullptr;
  }
  static std::string text(const json& value) {
    if (value.is_string()) {
      return value.get<std::string>();
    }
    if (value.is_array()) {
      std::string joined;
      for (const json& item : value) {
        joined += (joined.empty() ? "" : ",") + text(item);
      }
      return joined;
    }
    return value.is_null() ? "" : value.dump();
  }
  std::string fill(const std::string& source, const json& entry, const std::string& key,
                   bool last) const {
    std::string result;
    std::size_t at = 0;
    while (true) {
      const auto open = source.find("{{", at);
      if (open == std::string::npos) {
        return result + source.substr(at);
      }
      result += source.substr(at, open - at);
      const auto close = source.find("}}", open);
      const std::string name = source.substr(open + 2, close - open - 2);
      at = close + 2;
      if (name == ".") {
        result += text(entry);
      } else if (name == "@") {
        result += key;
      } else if (name == ",") {
        result += last ? "" : ",";
      } else if (name[0] == '#') {
        const std::string end = "{{/" + name.substr(1) + "}}";
        const auto stop = source.find(end, at);
        const std::string inner = source.substr(at, stop - at);
        at = stop + end.size();
        const json* const value = find(name.substr(1), entry);
        if (value == nullptr || value->is_null() || *value == json(false)) {
          continue;
        }
        if (value->is_object() || value->is_array()) {
          std::size_t number = 0;
          for (const auto& item : value->items()) {
            ++number;
            result += fill(inner, item.value(), item.key(), number == value->size());
          }
        } else {
          result += fill(inner, *value, "", true);
        }
      } else if (const json* const value = find(name, entry)) {
        result += text(*value);
      }
    }
  }

  json fields_;
};

/// The daemons that run, for a case that is ended from outside.
inline std::array<std::atomic<pid_t>, 64>& daemons() {
  static std::array<std::atomic<pid_t>, 64> processes{};
  return processes;
}

/// Has SIGTERM and SIGINT end the daemons with the case, which then couldn't run.
inline void endDaemonsOnSignal() {
  daemons();
  const auto end = [](int) {
    for (const auto& process : daemons()) {
      if (process > 0) {
        ::kill(process, SIGKILL);
      }
    }
    for (const auto& process : daemons()) {
      if (process > 0) {
        ::waitpid(process, nullptr, 0);
      }
    }
    ::_exit(2);
  };
  ::signal(SIGTERM, end);
  ::signal(SIGINT, end);
  ::signal(SIGPIPE, SIG_IGN);
}

/// A machine with the daemon, started by the command of the deploy file.
class Node {
 public:
  Node(std::string folder, std::string ip, std::string name, json settings)
      : folder_(std::move(folder)),
        ip_(std::move(ip)),
        name_(std::move(name)),
        settings_(std::move(settings)) {}
  ~Node() { kill(); }

  bool start() {
    ::mkdir(folder_.c_str(), 0700);
    const std::string path = folder_ + "/settings.json";
    std::ifstream source("deploy/settings.template");
    std::stringstream text;
    text << source.rdbuf();
    std::ofstream(path) << Template(settings_).fill(text.str());
    const std::string log = folder_ + "/log.txt";
    const pid_t child = ::fork();
    if (child == 0) {
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::signal(SIGPIPE, SIG_DFL);
      ::dup2(output, 1);
      ::dup2(output, 2);
      ::setenv("CYPRESSWALL_NODE_FILE", path.c_str(), 1);
      ::execl("target/bin/cypresswalld", "target/bin/cypresswalld", "--settings", path.c_str(),
              nullptr);
      ::_exit(127);
    }
    process_ = child;
    for (auto& process : daemons()) {
      pid_t none = 0;
      if (process.compare_exchange_strong(none, child)) {
        break;
      }
    }
    return child > 0;
  }
  void signal(int number) const {
    if (process_ > 0) {
      ::kill(process_, number);
    }
  }
  /// \return true if the process has ended by itself or by a signal of the case
  bool ended() {
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
      forget();
    }
    return process_ <= 0;
  }
  void kill() {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
      forget();
    }
  }
  const std::string& ip() const { return ip_; }
  const std::string& name() const { return name_; }

 private:
  void forget() {
    for (auto& process : daemons()) {
      pid_t own = process_;
      process.compare_exchange_strong(own, 0);
    }
    process_ = -1;
  }

  std::string folder_;
  std::string ip_;
  std::string name_;
  json settings_;
  pid_t process_ = -1;
};

inline constexpr int kFrontPort = 8144;
inline constexpr int kReadinessPort = 8140;
inline constexpr int kControlPort = 8146;

/// \return a connected socket, or -1
inline int connectTo(const std::string& ip, int port, double limit) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket < 0) {
    return -1;
  }
  const auto address = socketAddress(ip, port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd item{socket, POLLOUT, 0};
    int error = errno;
    socklen_t size = sizeof error;
    if (error != EINPROGRESS || ::poll(&item, 1, static_cast<int>(limit * 1000)) <= 0 ||
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(socket);
      return -1;
    }
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

struct Answer {
  /// 0 if there was none.
  int status = 0;
  bool complete = false;
  Message message;
};

/// One client attempt on a new connection.
inline Answer call(const std::string& ip, int port, const std::string& head,
                   const std::string& body, double limit) {
  Answer answer;
  const double until = now() + limit;
  const int socket = connectTo(ip, port, std::min(limit, 1.0));
  if (socket < 0) {
    return answer;
  }
  const std::string length =
      body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  Reader reader(socket);
  if (sendAll(socket, head + length + "\r\n" + body) &&
      reader.message(answer.message, until, true)) {
    answer.status = answer.message.status();
    answer.complete = answer.message.complete;
  }
  ::close(socket);
  return answer;
}

inline bool ready(const std::string& ip) {
  return call(ip, kReadinessPort, "GET /readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n", "", 1)
             .status == 200;
}

/// The settings of one machine of a small deployment, as DEPLOY.md shows them.
inline json machineSettings(const std::string& ip, const std::string& name, const std::string& zone,
                            const std::vector<std::string>& seeds, const std::string& store,
                            const json& bounds) {  // zones and machines of the second site
  return {{"node_name", name},
          {"role", "node"},
          {"machine_class", "edge"},
          {"ip", ip},
          {"zone", zone},
          {"region", "kyushu"},
          {"zones",
           {{"fukuoka-hall", "kyushu"}, {"kumamoto-hall", "kyushu"}, {"kagoshima-hall", "kyushu"}}},
          {"listen_addrs",
           {{"front", ip + ":" + std::to_string(kFrontPort)},
            {"readiness", ip + ":" + std::to_string(kReadinessPort)},
            {"control", ip + ":" + std::to_string(kControlPort)}}},
          {"seeds", seeds},
          {"bootstrap", true},
          {"limits",
           {{"cpu_share", 0.25},
            {"cores", 1},
            {"memory_mb", 260},
            {"max_fds", 4100},
            {"link_mbps", 1000.0},
            {"disk_mb", 0}}},
          {"heartbeat_ms", 1200},
          {"bounds", bounds},
          {"platform",
           {{"address", store},
            {"form", "objects"},
            {"writes_per_s", 400},
            {"reads_per_s", 2000},
            {"history_s", 20},
            {"value_bytes", 1048576}}}};
}

/// \return the first three parts of loopback addresses that no other run uses at the same time
inline std::string network() {
  std::random_device random;
  return "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) +
         ".";
}

inline std::string newId() {
  static std::atomic<std::uint64_t> count{std::random_device{}()};
  char text[20];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(++count * 0x9e3779b97f4a7c15ULL));
  return text;
}

}  // namespace world
