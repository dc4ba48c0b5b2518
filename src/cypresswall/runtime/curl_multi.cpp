#include "cypresswall/runtime/curl_multi.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cerrno>
#include <chrono>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cypresswall/runtime/curl_job.h"
#include "cypresswall/runtime/open_connections.h"
#include "cypresswall/runtime/socket_poll.h"

namespace cypresswall::runtime {
namespace {

using JobPointer = std::shared_ptr<CurlJob>;

/// Maximum number of idle handles kept for reuse. More requests than this rarely end at the same
/// time.
constexpr std::size_t kMaximumIdleHandles = 32;

/// libcurl must be initialized once per process, before any other call to it.
void initializeOnce() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (result != CURLE_OK) {
    throw CurlError(std::string("curl_global_init failed: ") + curl_easy_strerror(result));
  }
}

/// \return true if the peer has closed the connection in order, and this side has not closed it
/// yet. The state outlives an error that another call on the socket has already taken.
bool closedByPeerInOrder(int socket) {
  tcp_info info{};
  socklen_t info_size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &info_size) != 0) {
    return false;
  }
  if (info.tcpi_state != TCP_CLOSE) {
    return info.tcpi_state == TCP_CLOSE_WAIT;
  }
  // A reset that follows an orderly close is reported with an error of its own.
  int error = 0;
  socklen_t error_size = sizeof error;
  return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &error_size) == 0 && error == EPIPE;
}

/// \return true if bytes have arrived that nobody has read. On an idle connection they belong to no
/// request.
bool hasUnreadInput(int socket) {
  char first = 0;
  return ::recv(socket, &first, sizeof first, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Discards bytes that have arrived. libcurl takes a closed connection with unread bytes for an
/// open one.
void discardInput(int socket) {
  constexpr int kMaximumReads = 256;
  std::array<char, 4096> discarded{};
  for (int reads = 0; reads < kMaximumReads; ++reads) {
    if (::recv(socket, discarded.data(), discarded.size(), MSG_DONTWAIT) <= 0) {
      return;
    }
  }
}

bool mayReuseConnection(const CurlRequest& request) {
  return request.pooled_use.value_or(request.connection_use) == ConnectionUse::kReuse ||
         request.connection_use == ConnectionUse::kReuse;
}

}  // namespace

/// Owns the multi handle. Handlers queued in Asio hold weak references to the driver.
class CurlMulti::Driver : public std::enable_shared_from_this<CurlMulti::Driver> {
 public:
  Driver(asio::io_context& context, const CurlMultiSettings& settings, ConnectionPool* pool,
         common::CounterRegistry* counters, common::HandlerGuard* guard);
  ~Driver();

  /// \return a request whose complete response is passed to `callback`.
  JobPointer makeFetch(CurlRequest request, std::function<void(CurlResponse)> callback);
  void begin(const JobPointer& job);
  void abandon(const JobPointer& job);
  void setPaused(const JobPointer& job, bool paused);
  std::size_t running() const { return jobs_.size(); }
  FaultSwitch& faultSwitch() { return fault_switch_; }
  bool hasIdleConnection(const common::Address& peer) const {
    return pool_ != nullptr && pool_->keeping() && pool_->hasIdle(peer, now());
  }

 private:
  static common::MonotonicTime now() {
    return common::MonotonicTime(std::chrono::duration_cast<common::Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
  static int onSocketWanted(CURL* easy, curl_socket_t handle, int what, void* driver, void* unused);
  static int onTimerWanted(CURLM* multi, long milliseconds, void* driver);
  static int onSocketClosed(void* driver, curl_socket_t handle);

  void socketClosed(curl_socket_t handle);
  void watch(curl_socket_t handle, int what);
  void socketReady(curl_socket_t handle, SocketReadiness readiness);
  void setTimer(long milliseconds);
  void armTimer();
  void timerExpired();
  void act(curl_socket_t handle, int events);
  void collectFinished();
  /// Ends a request with libcurl's result.
  void end(const JobPointer& job, CURLcode code);
  void countResponse(const CurlJob& job);
  /// Counts bytes of a body that is kept until its request ends.
  void collected(std::size_t bytes);
  void giveUpLargestBody();
  void runDeferred();
  void deferRun();
  void add(const JobPointer& job);
  /// Posts the failure of a request that was never passed to libcurl.
  void postFailure(const JobPointer& job, const char* error);
  void remove(const JobPointer& job);
  /// Asks the pool for a connection, if the request is subject to it.
  void enterPool(const JobPointer& job);
  /// Gives the connection of a request that ended to the pool.
  /// \param socket the connection, if it is still open
  void leavePool(CurlJob& job, std::optional<int> socket);
  /// Closes idle connections. libcurl finds out when it next looks for a connection, at the latest
  /// a second later; the peer is told at once.
  void shutDown(const std::vector<int>& sockets);
  void closeExpired();
  /// Closes idle connections to the peer on which a surplus answer, or a part of one, has arrived.
  /// It would be taken for the answer to the next request.
  void closeWithSurplus(const common::Address& peer);
  /// \param opened the socket if the connection was opened for this request
  /// \return the socket of the connection
  std::optional<int> sending(CurlJob& job, std::optional<int> opened);
  /// \return the connection of a request that ended, if it is still open
  std::optional<int> stopSending(const CurlJob& job);
  /// Keeps the handle of a finished fetch for reuse.
  void recycle(CurlJob& job);

  asio::io_context& context_;
  CURLM* multi_;
  asio::steady_timer timer_;
  /// When libcurl next needs to be called. The timer may be armed for an earlier time, since
  /// libcurl changes the deadline with nearly every byte.
  std::optional<std::chrono::steady_clock::time_point> timer_deadline_;
  bool timer_armed_ = false;
  FaultSwitch fault_switch_;
  /// May be null.
  ConnectionPool* pool_;
  /// May be null.
  common::CounterRegistry* counters_;
  /// May be null.
  common::HandlerGuard* guard_;
  /// Responses by BodyFraming; null until the first of each.
  std::array<common::Counter*, static_cast<std::size_t>(BodyFraming::kClose) + 1>
      response_counters_{};
  std::size_t maximum_collected_bytes_;
  common::MonotonicTime expiry_checked_at_;
  OpenConnections connections_;
  /// Requests by the open connection on which they were sent.
  std::unordered_map<int, CurlJob*> sending_;
  std::shared_ptr<SocketPoll> sockets_;
  std::unordered_map<CURL*, JobPointer> jobs_;
  /// Jobs to add or remove once no libcurl call is on the stack.
  std::vector<JobPointer> to_add_;
  std::vector<JobPointer> to_remove_;
  /// Jobs whose response is given up.
  std::vector<JobPointer> to_end_;
  /// Bytes of bodies kept by all requests in progress.
  std::size_t collected_bytes_ = 0;
  bool inside_curl_ = false;
  /// Handles of finished fetches, reused because creating one is a noticeable part of the cost of
  /// each read from an engine.
  std::vector<CurlEasyPointer> idle_handles_;
};

CurlMulti::Driver::Driver(asio::io_context& context, const CurlMultiSettings& settings,
                          ConnectionPool* pool, common::CounterRegistry* counters,
                          common::HandlerGuard* guard)
    : context_(context),
      multi_(nullptr),
      timer_(context),
      pool_(pool),
      counters_(counters),
      guard_(guard),
      maximum_collected_bytes_(settings.maximum_collected_bytes),
      sockets_(std::make_shared<SocketPoll>(context, [this](int socket, SocketReadiness readiness) {
        socketReady(socket, readiness);
      })) {
  initializeOnce();
  multi_ = curl_multi_init();
  if (multi_ == nullptr) {
    throw CurlError("curl_multi_init failed");
  }
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Driver::onSocketWanted);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Driver::onTimerWanted);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(settings.maximum_idle_connections));
}

CurlMulti::Driver::~Driver() {
  inside_curl_ = true;
  sockets_->stop();
  for (const auto& [easy, job] : jobs_) {
    job->abandon();
    if (job->added) {
      curl_multi_remove_handle(multi_, easy);
    }
  }
  curl_multi_cleanup(multi_);
}

JobPointer CurlMulti::Driver::makeFetch(CurlRequest request,
                                        std::function<void(CurlResponse)> callback) {
  CurlEasyPointer easy;
  if (!idle_handles_.empty()) {
    easy = std::move(idle_handles_.back());
    idle_handles_.pop_back();
  }
  return std::make_shared<CurlJob>(std::move(request), nullptr, std::move(callback),
                                   std::move(easy));
}

void CurlMulti::Driver::recycle(CurlJob& job) {
  // Handles with another buffer size belong to streams. They are not kept, since streams rarely
  // end.
  const bool usual = job.request().buffer_bytes == CurlRequest{}.buffer_bytes;
  if (usual && !job.added && idle_handles_.size() < kMaximumIdleHandles) {
    idle_handles_.push_back(job.takeEasy());
  }
}

void CurlMulti::Driver::begin(const JobPointer& job) {
  job->setGuard(guard_);
  jobs_.emplace(job->easy(), job);
  // libcurl must not be called recursively.
  if (inside_curl_) {
    to_add_.push_back(job);
    deferRun();
  } else {
    add(job);
  }
}

void CurlMulti::Driver::add(const JobPointer& job) {
  if (job->abandoned()) {
    jobs_.erase(job->easy());
    return;
  }
  if (fault_switch_.blocksSendingTo(job->request().address)) {
    postFailure(job, "blocked by the fault switch");
    return;
  }
  curl_easy_setopt(job->easy(), CURLOPT_CLOSESOCKETFUNCTION, &Driver::onSocketClosed);
  curl_easy_setopt(job->easy(), CURLOPT_CLOSESOCKETDATA, this);
  job->onSending(
      [this, job = job.get()](std::optional<int> opened) { return sending(*job, opened); });
  job->onCollected([this](std::size_t bytes) { collected(bytes); });
  enterPool(job);
  if (mayReuseConnection(job->request())) {
    closeWithSurplus(job->request().address);
  }
  job->added = curl_multi_add_handle(multi_, job->easy()) == CURLM_OK;
  if (!job->added) {
    leavePool(*job, std::nullopt);
    postFailure(job, "libcurl refused the request");
  }
}

void CurlMulti::Driver::enterPool(const JobPointer& job) {
  if (pool_ == nullptr) {
    return;
  }
  closeExpired();
  const auto& wanted = job->request().pooled_use;
  if (!wanted || !pool_->keeping()) {
    return;
  }
  job->setConnectionUse(*wanted);
  job->enterPool(pool_->settings().silence_limit);
  shutDown(pool_->requestBegan(job->request().address, *wanted == ConnectionUse::kReuse, now()));
}

std::optional<int> CurlMulti::Driver::sending(CurlJob& job, std::optional<int> opened) {
  if (opened) {
    connections_.opened(*opened, job.connection(), job.request().address);
  }
  const auto socket = opened ? opened : connections_.find(job.connection());
  if (job.pooled()) {
    pool_->taken(socket, !opened);
  } else if (pool_ != nullptr && socket) {
    pool_->claimed(*socket);
  }
  if (socket) {
    sending_[*socket] = &job;
  }
  return socket;
}

std::optional<int> CurlMulti::Driver::stopSending(const CurlJob& job) {
  // A socket that never became a connection is not in `sending_`.
  const auto sent = job.socket() ? sending_.find(*job.socket()) : sending_.end();
  if (sent == sending_.end() || sent->second != &job) {
    return std::nullopt;
  }
  const int socket = sent->first;
  sending_.erase(sent);
  return socket;
}

void CurlMulti::Driver::leavePool(CurlJob& job, std::optional<int> socket) {
  if (pool_ == nullptr || !job.pooled()) {
    return;
  }
  const common::Address& peer = job.request().address;
  if (job.stale()) {
    pool_->foundStale(peer, now());
  }
  if (socket && job.receivedForeignAnswer()) {
    shutDown({*socket});
    socket.reset();
  }
  const bool kept = pool_->requestEnded(peer, socket, job.announcedIdleTime(), now());
  if (kept) {
    job.probeIdleConnection();
  } else if (socket) {
    shutDown({*socket});
  }
}

void CurlMulti::Driver::closeWithSurplus(const common::Address& peer) {
  for (const int socket : connections_.socketsTo(peer)) {
    if (!sending_.contains(socket) && hasUnreadInput(socket)) {
      shutDown({socket});
    }
  }
}

void CurlMulti::Driver::shutDown(const std::vector<int>& sockets) {
  for (const int socket : sockets) {
    ::shutdown(socket, SHUT_RDWR);
    discardInput(socket);
  }
}

void CurlMulti::Driver::closeExpired() {
  constexpr auto kCheckInterval = std::chrono::milliseconds(500);
  if (now() - expiry_checked_at_ >= kCheckInterval) {
    expiry_checked_at_ = now();
    shutDown(pool_->expired(now()));
  }
}

void CurlMulti::Driver::postFailure(const JobPointer& job, const char* error) {
  asio::post(context_, [weak = weak_from_this(), job, error] {
    const auto driver = weak.lock();
    if (driver && driver->jobs_.erase(job->easy()) > 0) {
      job->finishNotSent(error);
    }
  });
}

void CurlMulti::Driver::abandon(const JobPointer& job) {
  job->abandon();
  if (!jobs_.contains(job->easy())) {
    return;
  }
  if (inside_curl_) {
    to_remove_.push_back(job);
    deferRun();
  } else {
    remove(job);
  }
}

void CurlMulti::Driver::remove(const JobPointer& job) {
  if (jobs_.erase(job->easy()) > 0 && job->added) {
    job->added = false;
    collected_bytes_ -= job->collectedBytes();
    inside_curl_ = true;
    curl_multi_remove_handle(multi_, job->easy());
    inside_curl_ = false;
    leavePool(*job, stopSending(*job));
  }
}

void CurlMulti::Driver::setPaused(const JobPointer& job, bool paused) {
  if (job->abandoned() || job->paused == paused) {
    return;
  }
  job->paused = paused;
  // Posted, because libcurl may deliver buffered bytes within this call.
  asio::post(context_, [weak = weak_from_this(), job] {
    const auto driver = weak.lock();
    if (!driver || !job->added) {
      return;
    }
    driver->inside_curl_ = true;
    curl_easy_pause(job->easy(), job->paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
    driver->inside_curl_ = false;
    driver->collectFinished();
    driver->runDeferred();
  });
}

int CurlMulti::Driver::onSocketWanted(CURL*, curl_socket_t handle, int what, void* driver, void*) {
  static_cast<Driver*>(driver)->watch(handle, what);
  return 0;
}

int CurlMulti::Driver::onTimerWanted(CURLM*, long milliseconds, void* driver) {
  static_cast<Driver*>(driver)->setTimer(milliseconds);
  return 0;
}

int CurlMulti::Driver::onSocketClosed(void* driver, curl_socket_t handle) {
  static_cast<Driver*>(driver)->socketClosed(handle);
  return ::close(handle);
}

void CurlMulti::Driver::socketClosed(curl_socket_t handle) {
  sockets_->forget(handle);
  connections_.closed(handle);
  if (const auto job = sending_.extract(handle); !job.empty()) {
    const bool ends_response = job.mapped()->bodyFraming() == BodyFraming::kClose;
    job.mapped()->socketClosed(ends_response && closedByPeerInOrder(handle));
  }
  if (pool_ != nullptr) {
    pool_->closed(handle);
  }
}

void CurlMulti::Driver::watch(curl_socket_t handle, int what) {
  if (what == CURL_POLL_REMOVE) {
    sockets_->forget(handle);
    return;
  }
  // If the socket can't be watched, its request ends when one of its time limits expires.
  sockets_->watch(handle, {(what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0});
}

void CurlMulti::Driver::socketReady(curl_socket_t handle, SocketReadiness readiness) {
  act(handle,
      (readiness.readable ? CURL_CSELECT_IN : 0) | (readiness.writable ? CURL_CSELECT_OUT : 0));
}

void CurlMulti::Driver::setTimer(long milliseconds) {
  if (milliseconds < 0) {
    timer_deadline_.reset();
    timer_armed_ = false;
    timer_.cancel();
    return;
  }
  timer_deadline_ = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
  if (!timer_armed_ || timer_.expiry() > *timer_deadline_) {
    armTimer();
  }
}

void CurlMulti::Driver::armTimer() {
  timer_armed_ = true;
  timer_.expires_at(*timer_deadline_);
  timer_.async_wait([weak = weak_from_this()](const std::error_code& error) {
    const auto driver = weak.lock();
    if (driver && !error) {
      driver->timerExpired();
    }
  });
}

void CurlMulti::Driver::timerExpired() {
  timer_armed_ = false;
  if (!timer_deadline_) {
    return;
  }
  if (std::chrono::steady_clock::now() < *timer_deadline_) {
    armTimer();
    return;
  }
  timer_deadline_.reset();
  act(CURL_SOCKET_TIMEOUT, 0);
}

void CurlMulti::Driver::act(curl_socket_t handle, int events) {
  const auto self = shared_from_this();
  int running = 0;
  inside_curl_ = true;
  curl_multi_socket_action(multi_, handle, events, &running);
  inside_curl_ = false;
  collectFinished();
  runDeferred();
}

void CurlMulti::Driver::collectFinished() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    const auto known = jobs_.find(message->easy_handle);
    if (known == jobs_.end()) {
      continue;
    }
    const JobPointer job = known->second;
    end(job, code);
  }
}

void CurlMulti::Driver::end(const JobPointer& job, CURLcode code) {
  if (job->bodyFraming() == BodyFraming::kClose && job->socket()) {
    // libcurl may keep the connection of such a response.
    job->recordClose(closedByPeerInOrder(*job->socket()));
  }
  job->ended(code);
  countResponse(*job);
  remove(job);
  job->finish(code);
  recycle(*job);
}

void CurlMulti::Driver::collected(std::size_t bytes) {
  collected_bytes_ += bytes;
  if (collected_bytes_ > maximum_collected_bytes_) {
    giveUpLargestBody();
  }
}

void CurlMulti::Driver::giveUpLargestBody() {
  const auto largest =
      std::max_element(jobs_.begin(), jobs_.end(), [](const auto& left, const auto& right) {
        return left.second->collectedBytes() < right.second->collectedBytes();
      });
  const JobPointer& job = largest->second;
  collected_bytes_ -= job->collectedBytes();
  job->giveUpBody();
  to_end_.push_back(job);
  deferRun();
}

void CurlMulti::Driver::countResponse(const CurlJob& job) {
  if (counters_ == nullptr || !job.responseBegan()) {
    return;
  }
  common::Counter*& responses = response_counters_.at(static_cast<std::size_t>(job.bodyFraming()));
  if (responses == nullptr) {
    responses = &counters_->counter("cypresswall_http_responses_total",
                                    "Responses of servers, by how their heads frame their bodies.",
                                    "framing", toString(job.bodyFraming()));
  }
  responses->add();
  if (const auto defect = job.defect()) {
    counters_
        ->counter("cypresswall_http_responses_defective_total",
                  "Responses of servers that are not whole, valid ones.", "defect",
                  toString(*defect))
        .add();
  }
}

void CurlMulti::Driver::deferRun() {
  asio::post(context_, [weak = weak_from_this()] {
    if (const auto driver = weak.lock()) {
      driver->runDeferred();
    }
  });
}

void CurlMulti::Driver::runDeferred() {
  for (const JobPointer& job : std::exchange(to_remove_, {})) {
    remove(job);
  }
  for (const JobPointer& job : std::exchange(to_end_, {})) {
    if (job->added) {
      end(job, CURLE_WRITE_ERROR);
    }
  }
  for (const JobPointer& job : std::exchange(to_add_, {})) {
    add(job);
  }
}

namespace {

/// The owner's handle to a job.
template <typename Driver>
class TransferHandle final : public CurlTransfer {
 public:
  TransferHandle(std::weak_ptr<Driver> driver, JobPointer job)
      : driver_(std::move(driver)), job_(std::move(job)) {}
  ~TransferHandle() override {
    if (const auto driver = driver_.lock()) {
      driver->abandon(job_);
    }
  }
  void pause() override { setPaused(true); }
  void resume() override { setPaused(false); }

 private:
  void setPaused(bool paused) {
    if (const auto driver = driver_.lock()) {
      driver->setPaused(job_, paused);
    }
  }

  std::weak_ptr<Driver> driver_;
  JobPointer job_;
};

}  // namespace

CurlMulti::CurlMulti(asio::io_context& context, const CurlMultiSettings& settings,
                     ConnectionPool* pool, common::CounterRegistry* counters,
                     common::HandlerGuard* guard)
    : driver_(std::make_shared<Driver>(context, settings, pool, counters, guard)) {}

bool CurlMulti::hasIdleConnection(const common::Address& peer) const {
  return driver_->hasIdleConnection(peer);
}

CurlMulti::~CurlMulti() = default;

std::unique_ptr<CurlTransfer> CurlMulti::start(CurlRequest request, CurlTransferHandler& handler) {
  auto job = std::make_shared<CurlJob>(std::move(request), &handler, nullptr);
  driver_->begin(job);
  return std::make_unique<TransferHandle<Driver>>(driver_, std::move(job));
}

void CurlMulti::fetch(CurlRequest request, std::function<void(CurlResponse)> callback) {
  driver_->begin(driver_->makeFetch(std::move(request), std::move(callback)));
}

std::unique_ptr<CurlTransfer> CurlMulti::startFetch(CurlRequest request,
                                                    std::function<void(CurlResponse)> callback) {
  auto job = driver_->makeFetch(std::move(request), std::move(callback));
  driver_->begin(job);
  return std::make_unique<TransferHandle<Driver>>(driver_, std::move(job));
}

std::size_t CurlMulti::running() const { return driver_->running(); }

FaultSwitch& CurlMulti::faultSwitch() { return driver_->faultSwitch(); }

}  // namespace cypresswall::runtime
