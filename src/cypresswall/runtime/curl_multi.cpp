#include "cypresswall/runtime/curl_multi.h"

#include <curl/curl.h>
#include <unistd.h>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cypresswall/runtime/curl_job.h"

namespace cypresswall::runtime {
namespace {

using JobPointer = std::shared_ptr<CurlJob>;

/// libcurl wants to be set up once per process, before anything else.
void initializeOnce() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (result != CURLE_OK) {
    throw CurlError(std::string("curl_global_init failed: ") + curl_easy_strerror(result));
  }
}

/// A socket of libcurl and what libcurl waits for on it.
struct WatchedSocket {
  WatchedSocket(asio::io_context& context, curl_socket_t handle) : descriptor(context, handle) {}
  ~WatchedSocket() { descriptor.release(); }
  WatchedSocket(const WatchedSocket&) = delete;
  WatchedSocket& operator=(const WatchedSocket&) = delete;

  asio::posix::stream_descriptor descriptor;
  bool wants_read = false;
  bool wants_write = false;
  bool waits_for_read = false;
  bool waits_for_write = false;
};

}  // namespace

/// Owns the multi handle. Handlers queued in Asio hold it weakly.
class CurlMulti::Driver : public std::enable_shared_from_this<CurlMulti::Driver> {
 public:
  Driver(asio::io_context& context, const CurlMultiSettings& settings);
  ~Driver();

  void begin(const JobPointer& job);
  void abandon(const JobPointer& job);
  void setPaused(const JobPointer& job, bool paused);
  std::size_t running() const { return jobs_.size(); }
  FaultSwitch& faultSwitch() { return fault_switch_; }

 private:
  using SocketPointer = std::shared_ptr<WatchedSocket>;

  static int onSocketWanted(CURL* easy, curl_socket_t handle, int what, void* driver, void* unused);
  static int onTimerWanted(CURLM* multi, long milliseconds, void* driver);
  static int onSocketClosed(void* driver, curl_socket_t handle);

  void watch(curl_socket_t handle, int what);
  void waitFor(curl_socket_t handle, const SocketPointer& socket, int event);
  void socketReady(curl_socket_t handle, const SocketPointer& socket, int event, bool failed);
  void setTimer(long milliseconds);
  void act(curl_socket_t handle, int events);
  void collectFinished();
  void runDeferred();
  void deferRun();
  void add(const JobPointer& job);
  /// Ends a request that libcurl never got, on a turn of its own.
  void failLater(const JobPointer& job, const char* error);
  void remove(const JobPointer& job);

  asio::io_context& context_;
  CURLM* multi_;
  asio::steady_timer timer_;
  FaultSwitch fault_switch_;
  std::unordered_map<curl_socket_t, SocketPointer> sockets_;
  std::unordered_map<CURL*, JobPointer> jobs_;
  /// Jobs to add or remove once libcurl is not on the stack.
  std::vector<JobPointer> to_add_;
  std::vector<JobPointer> to_remove_;
  bool inside_curl_ = false;
};

CurlMulti::Driver::Driver(asio::io_context& context, const CurlMultiSettings& settings)
    : context_(context), multi_(nullptr), timer_(context) {
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
  for (const auto& [easy, job] : jobs_) {
    job->abandon();
    if (job->added) {
      curl_multi_remove_handle(multi_, easy);
    }
  }
  curl_multi_cleanup(multi_);
}

void CurlMulti::Driver::begin(const JobPointer& job) {
  jobs_.emplace(job->easy(), job);
  // libcurl must not be entered while it is on the stack.
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
    failLater(job, "blocked by the fault switch");
    return;
  }
  curl_easy_setopt(job->easy(), CURLOPT_CLOSESOCKETFUNCTION, &Driver::onSocketClosed);
  curl_easy_setopt(job->easy(), CURLOPT_CLOSESOCKETDATA, this);
  job->added = curl_multi_add_handle(multi_, job->easy()) == CURLM_OK;
  if (!job->added) {
    failLater(job, "libcurl refused the request");
  }
}

void CurlMulti::Driver::failLater(const JobPointer& job, const char* error) {
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
    inside_curl_ = true;
    curl_multi_remove_handle(multi_, job->easy());
    inside_curl_ = false;
  }
}

void CurlMulti::Driver::setPaused(const JobPointer& job, bool paused) {
  if (job->abandoned() || job->paused == paused) {
    return;
  }
  job->paused = paused;
  // libcurl may give buffered bytes within this call, so it runs on a turn of its own.
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
  static_cast<Driver*>(driver)->sockets_.erase(handle);
  return ::close(handle);
}

void CurlMulti::Driver::watch(curl_socket_t handle, int what) {
  if (what == CURL_POLL_REMOVE) {
    sockets_.erase(handle);
    return;
  }
  auto known = sockets_.find(handle);
  if (known == sockets_.end()) {
    known = sockets_.emplace(handle, std::make_shared<WatchedSocket>(context_, handle)).first;
  }
  const SocketPointer socket = known->second;
  socket->wants_read = (what & CURL_POLL_IN) != 0;
  socket->wants_write = (what & CURL_POLL_OUT) != 0;
  waitFor(handle, socket, CURL_CSELECT_IN);
  waitFor(handle, socket, CURL_CSELECT_OUT);
}

void CurlMulti::Driver::waitFor(curl_socket_t handle, const SocketPointer& socket, int event) {
  const bool reading = event == CURL_CSELECT_IN;
  const bool wanted = reading ? socket->wants_read : socket->wants_write;
  bool& waiting = reading ? socket->waits_for_read : socket->waits_for_write;
  if (!wanted || waiting) {
    return;
  }
  waiting = true;
  const auto kind = reading ? asio::posix::stream_descriptor::wait_read
                            : asio::posix::stream_descriptor::wait_write;
  socket->descriptor.async_wait(
      kind, [weak = weak_from_this(), handle, socket, event](const std::error_code& error) {
        if (const auto driver = weak.lock()) {
          driver->socketReady(handle, socket, event, static_cast<bool>(error));
        }
      });
}

void CurlMulti::Driver::socketReady(curl_socket_t handle, const SocketPointer& socket, int event,
                                    bool failed) {
  const bool reading = event == CURL_CSELECT_IN;
  (reading ? socket->waits_for_read : socket->waits_for_write) = false;
  const auto known = sockets_.find(handle);
  if (known == sockets_.end() || known->second != socket) {
    return;
  }
  const bool wanted = reading ? socket->wants_read : socket->wants_write;
  if (wanted) {
    act(handle, failed ? CURL_CSELECT_ERR : event);
  }
  const auto after = sockets_.find(handle);
  if (after != sockets_.end() && after->second == socket && !failed) {
    waitFor(handle, socket, event);
  }
}

void CurlMulti::Driver::setTimer(long milliseconds) {
  if (milliseconds < 0) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::chrono::milliseconds(milliseconds));
  timer_.async_wait([weak = weak_from_this()](const std::error_code& error) {
    const auto driver = weak.lock();
    if (driver && !error) {
      driver->act(CURL_SOCKET_TIMEOUT, 0);
    }
  });
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
    remove(job);
    job->finish(code);
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
  for (const JobPointer& job : std::exchange(to_add_, {})) {
    add(job);
  }
}

namespace {

/// The owner's hold on a job.
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

CurlMulti::CurlMulti(asio::io_context& context, const CurlMultiSettings& settings)
    : driver_(std::make_shared<Driver>(context, settings)) {}

CurlMulti::~CurlMulti() = default;

std::unique_ptr<CurlTransfer> CurlMulti::start(CurlRequest request, CurlTransferHandler& handler) {
  auto job = std::make_shared<CurlJob>(std::move(request), &handler, nullptr);
  driver_->begin(job);
  return std::make_unique<TransferHandle<Driver>>(driver_, std::move(job));
}

void CurlMulti::fetch(CurlRequest request, std::function<void(CurlResponse)> callback) {
  driver_->begin(std::make_shared<CurlJob>(std::move(request), nullptr, std::move(callback)));
}

std::unique_ptr<CurlTransfer> CurlMulti::startFetch(CurlRequest request,
                                                    std::function<void(CurlResponse)> callback) {
  auto job = std::make_shared<CurlJob>(std::move(request), nullptr, std::move(callback));
  driver_->begin(job);
  return std::make_unique<TransferHandle<Driver>>(driver_, std::move(job));
}

std::size_t CurlMulti::running() const { return driver_->running(); }

FaultSwitch& CurlMulti::faultSwitch() { return driver_->faultSwitch(); }

}  // namespace cypresswall::runtime
