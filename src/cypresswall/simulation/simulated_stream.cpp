#include "cypresswall/simulation/simulated_stream.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "cypresswall/simulation/simulated_engines.h"

namespace cypresswall::simulation {
namespace {

constexpr int kPassedThroughStatus = 200;
/// Time after which a connection that can't be established fails, as with the daemon's HTTP client.
constexpr common::Duration kConnectTimeLimit = std::chrono::milliseconds(300);

}  // namespace

/// Both directions of one connection between a process and an engine. Stays alive until neither the
/// process's side nor the engine's side needs it.
class SimulatedStream::Connection final : public emulation::StreamObserver,
                                          public std::enable_shared_from_this<Connection> {
 public:
  Connection(const ExternalPath& path, SimulatedEngines& engines, common::Address address,
             engines::StreamRequest request, engines::StreamHandler& handler,
             common::AnnouncementReporter announce, ConnectionReporter report_connection,
             common::Duration break_detection_time)
      : path_(path),
        engines_(engines),
        address_(std::move(address)),
        stream_id_(request.stream_id),
        attempt_(request.attempt),
        request_(std::move(request)),
        handler_(&handler),
        announce_(std::move(announce)),
        report_connection_(std::move(report_connection)),
        break_detection_time_(break_detection_time) {}

  void connect() {
    later(path_.requestDelay(), [](Connection& self) { self.requestArrives(); });
  }

  void pauseReading() { reading_ = false; }
  void resumeReading() {
    reading_ = true;
    scheduleRead(common::Duration{0});
  }

  /// Called when the process has closed its side or died.
  void close() {
    handler_ = nullptr;
    incoming_.clear();
    closed_ = true;
    if (!engine_side_ended_) {
      later(path_.requestDelay(), [](Connection& self) { self.handlePeerClose(); });
    }
  }

  void onToken(std::uint32_t index, const std::string& text) override {
    receiveLater(Event{Event::Kind::kToken, index, text, {}, {}, {}});
  }
  void onFinished(const engines::StreamUsage& usage) override {
    endEngineSide();
    receiveLater(Event{Event::Kind::kFinished, 0, {}, usage, {}, {}});
  }
  void onBroken() override {
    endEngineSide();
    fail(engines::StreamFailure::kBroken);
  }

 private:
  /// An event sent from the engine to the process.
  struct Event {
    enum class Kind : std::uint8_t { kHead, kToken, kFinished, kFailed };
    Kind kind = Kind::kToken;
    std::uint32_t index = 0;
    std::string text;
    engines::StreamUsage usage;
    engines::StreamFailure failure{};
    common::MonotonicTime arrives_at;
  };

  template <typename Callback>
  void later(common::Duration delay, Callback callback) {
    path_.simulation().time().schedule(delay,
                                       [self = shared_from_this(), callback] { callback(*self); });
  }

  void requestArrives() {
    reportConnection();
    if (path_.requestCut()) {
      // The process learns by its own time limit that no connection was established.
      const bool hangs = path_.answerCut();
      later(hangs ? kConnectTimeLimit : common::Duration{0}, [](Connection& self) {
        self.enqueue(Event{Event::Kind::kFailed, 0, {}, {}, engines::StreamFailure::kNotSent, {}});
      });
      return;
    }
    emulation::EmulatedEngine* engine = engines_.find(address_);
    if (engine == nullptr) {
      fail(engines::StreamFailure::kNotSent);
      return;
    }
    // The engine holds only a non-owning reference to this object, its observer.
    engines_.retain(shared_from_this());
    engine_side_ended_ = false;
    engines_.arrived(address_, path_.process().id());
    const bool pass_through = request_.pass_through != nullptr;
    const auto start = engine->startStream(std::move(request_), *this);
    if (start.result != emulation::StartResult::kUnreachable) {
      rate_limit_ = common::namedRateLimit(engine->faults().rate_limit);
      announcement_.leaving = engine->faults().leaving;
    }
    if (start.result != emulation::StartResult::kStarted) {
      endEngineSide();
      announcement_.pause = engine->faults().pause;
      fail(start.result == emulation::StartResult::kRefused ? engines::StreamFailure::kRefused
                                                            : engines::StreamFailure::kNotSent);
      return;
    }
    if (pass_through) {
      receiveLater(Event{Event::Kind::kHead, 0, address_, {}, {}, {}});
    }
    if (closed_) {
      // The process closed the connection before the request arrived. The engine learns of the
      // close only after the request.
      later(path_.requestDelay(), [](Connection& self) { self.handlePeerClose(); });
    } else if (path_.occurs(engines_.faults.stream_start_broken, FaultKind::kStreamBroken)) {
      breakConnection();
    }
  }

  /// A connection needs both directions of the link.
  void reportConnection() {
    const emulation::EmulatedEngine* const engine = engines_.find(address_);
    const bool established =
        !path_.requestCut() && !path_.answerCut() && engine != nullptr && !engine->down();
    path_.process().deliver([report = report_connection_, established] { report(established); });
  }

  void handlePeerClose() {
    if (engine_side_ended_) {
      return;
    }
    // While the link is cut, the close does not arrive. The engine detects the loss of its client
    // only when its writes fail.
    if (path_.requestCut()) {
      later(break_detection_time_, [](Connection& self) { self.cancelOnEngine(); });
      return;
    }
    cancelOnEngine();
  }

  void cancelOnEngine() {
    if (engine_side_ended_) {
      return;
    }
    emulation::EmulatedEngine* engine = engines_.find(address_);
    if (engine != nullptr) {
      engine->cancelStream(stream_id_, attempt_);
    }
    endEngineSide();
  }

  void endEngineSide() {
    engine_side_ended_ = true;
    // The connection is released in a later event, since the engine may still be inside a call to
    // this object.
    later(common::Duration{0}, [](Connection& self) { self.engines_.release(&self); });
  }

  void fail(engines::StreamFailure failure) {
    receiveLater(Event{Event::Kind::kFailed, 0, {}, {}, failure, {}});
  }

  /// Breaks the connection; both sides detect it after break_detection_time_.
  void breakConnection() {
    if (std::exchange(broken_, true)) {
      return;
    }
    incoming_.clear();
    later(break_detection_time_, [](Connection& self) {
      self.cancelOnEngine();
      self.enqueue(Event{Event::Kind::kFailed, 0, {}, {}, engines::StreamFailure::kBroken, {}});
    });
  }

  void receiveLater(Event event) {
    if (handler_ == nullptr || broken_) {
      return;
    }
    if (path_.answerCut()) {
      breakConnection();
      return;
    }
    enqueue(std::move(event));
  }

  void enqueue(Event event) {
    if (handler_ == nullptr) {
      return;
    }
    const auto now = path_.simulation().time().now();
    event.arrives_at = now + path_.answerDelay();
    if (!incoming_.empty()) {
      event.arrives_at = std::max(event.arrives_at, incoming_.back().arrives_at);
    }
    const auto delay = event.arrives_at - now;
    incoming_.push_back(std::move(event));
    scheduleRead(delay);
  }

  void scheduleRead(common::Duration delay) {
    if (read_scheduled_ || incoming_.empty() || !reading_) {
      return;
    }
    read_scheduled_ = true;
    path_.process().deliverAfter(delay, [self = shared_from_this()] { self->read(); });
  }

  void read() {
    read_scheduled_ = false;
    const auto now = path_.simulation().time().now();
    while (handler_ != nullptr && reading_ && !incoming_.empty() &&
           incoming_.front().arrives_at <= now) {
      const Event event = std::move(incoming_.front());
      incoming_.pop_front();
      hand(event);
    }
    if (!incoming_.empty()) {
      scheduleRead(std::max(incoming_.front().arrives_at - now, common::Duration{0}));
    }
  }

  void hand(const Event& event) {
    engines::StreamHandler& handler = *handler_;
    const bool answered =
        event.kind != Event::Kind::kFailed || event.failure == engines::StreamFailure::kRefused;
    if (answered && !std::exchange(announced_, true)) {
      announce_(announcement_);
    }
    if (answered && rate_limit_) {
      handler.onRateLimit(attempt_, *std::exchange(rate_limit_, std::nullopt));
    }
    switch (event.kind) {
      case Event::Kind::kHead:
        handler.onHead(attempt_, {kPassedThroughStatus, {{"engine", event.text}}});
        break;
      case Event::Kind::kToken:
        handler.onToken(attempt_, event.index, event.text);
        break;
      case Event::Kind::kFinished:
        handler_ = nullptr;
        handler.onFinished(attempt_, event.usage);
        break;
      case Event::Kind::kFailed:
        handler_ = nullptr;
        handler.onFailed(event.failure, "simulated");
        break;
    }
  }

  ExternalPath path_;
  SimulatedEngines& engines_;
  common::Address address_;
  std::string stream_id_;
  std::uint32_t attempt_;
  engines::StreamRequest request_;
  /// Null after the process has closed its side or received the final call.
  engines::StreamHandler* handler_;
  common::AnnouncementReporter announce_;
  ConnectionReporter report_connection_;
  common::Duration break_detection_time_;
  std::deque<Event> incoming_;
  /// Rate limit that the engine advertises in its response; reset when the first event has been
  /// delivered.
  std::optional<common::RateLimitNotice> rate_limit_;
  /// What the engine announces in its answer; reported with the first event.
  common::ServerAnnouncement announcement_;
  bool announced_ = false;
  bool engine_side_ended_ = true;
  bool closed_ = false;
  bool broken_ = false;
  bool reading_ = true;
  bool read_scheduled_ = false;
};

SimulatedStream::SimulatedStream(std::shared_ptr<Connection> connection)
    : connection_(std::move(connection)) {
  connection_->connect();
}

SimulatedStream::~SimulatedStream() { connection_->close(); }

std::unique_ptr<SimulatedStream> SimulatedStream::start(
    const ExternalPath& path, SimulatedEngines& engines, const common::Address& address,
    engines::StreamRequest request, engines::StreamHandler& handler,
    common::AnnouncementReporter announce, ConnectionReporter report_connection,
    common::Duration break_detection_time) {
  return std::unique_ptr<SimulatedStream>(new SimulatedStream(std::make_shared<Connection>(
      path, engines, address, std::move(request), handler, std::move(announce),
      std::move(report_connection), break_detection_time)));
}

void SimulatedStream::pause() { connection_->pauseReading(); }

void SimulatedStream::resume() { connection_->resumeReading(); }

}  // namespace cypresswall::simulation
