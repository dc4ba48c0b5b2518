#include "cypresswall/runtime/curl_job.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "cypresswall/common/header_names.h"
#include "cypresswall/runtime/tcp_progress.h"

namespace cypresswall::runtime {
namespace {

constexpr int kStatusOk = 200;
/// A kept connection that ends within this time after a request was sent on it had been closed by
/// the peer before the request arrived.
constexpr auto kStaleWindow = std::chrono::milliseconds(100);
/// Longer error bodies are truncated; they are only used in messages for people.
constexpr std::size_t kMaximumErrorBodyBytes = 64U << 10;
/// Size of the send buffer of each request. It is the minimum that libcurl allows: many streams are
/// open at once, but each sends only its prompt, at its start.
constexpr long kUploadBufferBytes = 16L << 10;

long milliseconds(common::Duration duration) {
  const auto count = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  return static_cast<long>(count);
}

void setNumber(int socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof value);
}

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t\r\n";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace

CurlJob::CurlJob(CurlRequest request, CurlTransferHandler* handler,
                 std::function<void(CurlResponse)> callback, CurlEasyPointer easy)
    : request_(std::move(request)),
      handler_(handler),
      callback_(std::move(callback)),
      easy_(easy ? std::move(easy) : CurlEasyPointer(curl_easy_init())),
      framing_(request_.method == "HEAD", request_.maximum_body_bytes) {
  if (!easy_) {
    throw CurlError("curl_easy_init failed");
  }
  configure();
}

CurlEasyPointer CurlJob::takeEasy() {
  curl_easy_reset(easy_.get());
  return std::move(easy_);
}

bool CurlJob::receivedForeignAnswer() const {
  return request_.belongs_to_request && framing_.framing() != BodyFraming::kUnknown &&
         !request_.belongs_to_request(response_.headers);
}

void CurlJob::abandon() {
  handler_ = nullptr;
  callback_ = nullptr;
}

void CurlJob::configure() {
  CURL* const easy = easy_.get();
  const std::string url = "http://" + request_.address + request_.target;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, static_cast<char*>(error_text_));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, static_cast<long>(request_.buffer_bytes));
  curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, kUploadBufferBytes);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlJob::onBodyBytes);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CurlJob::onHeaderBytes);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, &CurlJob::onProgress);
  curl_easy_setopt(easy, CURLOPT_XFERINFODATA, this);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &CurlJob::beforeSending);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &CurlJob::onSocketMade);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, this);
  setConnectionUse(request_.connection_use);
  configureMethod();
  configureHeaders();
  configureTimeLimits();
}

void CurlJob::setConnectionUse(ConnectionUse use) {
  curl_easy_setopt(easy(), CURLOPT_FRESH_CONNECT, use == ConnectionUse::kReuse ? 0L : 1L);
  curl_easy_setopt(easy(), CURLOPT_FORBID_REUSE, use == ConnectionUse::kOnce ? 1L : 0L);
}

void CurlJob::enterPool(common::Duration silence_limit) {
  pooled_ = true;
  silence_limit_ = silence_limit;
}

void CurlJob::socketClosed(bool by_peer_in_order) {
  closed_in_order_ = by_peer_in_order;
  // Later the error of a new connection may replace this one.
  timed_out_ = timed_out_ || numberOf(CURLINFO_OS_ERRNO) == ETIMEDOUT;
  bytes_received_ = bytes_received_ || (pooled_ && reused_ && socket_ &&
                                        receivedDataSegments(*socket_) != segments_before_);
  socket_.reset();
}

void CurlJob::probeIdleConnection() const {
  if (socket_) {
    setNumber(*socket_, SOL_SOCKET, SO_KEEPALIVE, 1);
    setNumber(*socket_, IPPROTO_TCP, TCP_KEEPIDLE, 1);
    setNumber(*socket_, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setNumber(*socket_, IPPROTO_TCP, TCP_KEEPCNT, 1);
  }
}

void CurlJob::configureMethod() {
  CURL* const easy = easy_.get();
  if (request_.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (!request_.body.empty() || request_.method == "POST" || request_.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request_.body.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

void CurlJob::configureHeaders() {
  // An empty "Expect" keeps libcurl from waiting for "100 Continue" before large bodies.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  bool has_content_type = false;
  for (const CurlHeader& header : request_.headers) {
    has_content_type = has_content_type || curl_strequal(header.name.c_str(), "Content-Type") != 0;
    const std::string line =
        header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
    list = curl_slist_append(list, line.c_str());
  }
  if (!has_content_type) {
    // Without this entry libcurl would label every body as form data.
    list = curl_slist_append(list, "Content-Type:");
  }
  header_list_.reset(list);
  curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER, list);
}

void CurlJob::configureTimeLimits() {
  CURL* const easy = easy_.get();
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(request_.connect_time_limit));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, milliseconds(request_.total_time_limit));
  const auto idle = std::chrono::ceil<std::chrono::seconds>(request_.idle_time_limit).count();
  if (idle > 0) {
    curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, static_cast<long>(idle));
  }
}

std::size_t CurlJob::onBodyBytes(char* data, std::size_t size, std::size_t count, void* job) {
  auto* const self = static_cast<CurlJob*>(job);
  std::size_t taken = CURL_WRITEFUNC_ERROR;
  self->runHandler([&] { taken = self->takeBody(std::string_view(data, size * count)); });
  return taken;
}

std::size_t CurlJob::onHeaderBytes(char* data, std::size_t size, std::size_t count, void* job) {
  auto* const self = static_cast<CurlJob*>(job);
  bool taken = false;
  self->runHandler([&] { taken = self->takeHeader(std::string_view(data, size * count)); });
  return taken ? size * count : 0;
}

int CurlJob::onProgress(void* job, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  return static_cast<CurlJob*>(job)->checkChunkFraming() ? 0 : 1;
}

/// libcurl skips chunk extensions of any length without a call, so the bytes are counted at the
/// socket. That takes system calls and is left out of most calls that brought content.
bool CurlJob::checkChunkFraming() {
  constexpr std::uint32_t kCallsPerCheck = 16;
  if (framing_.framing() != BodyFraming::kChunks || !socket_) {
    return true;
  }
  const bool progress =
      std::exchange(body_bytes_at_progress_, framing_.bodyBytes()) != framing_.bodyBytes();
  if (!progress || ++progress_calls_ % kCallsPerCheck == 0) {
    const std::uint64_t read = bytesReadFrom(*socket_);
    framing_.checkFraming(read - std::min(read, read_before_));
  }
  return !framing_.defect();
}

int CurlJob::onSocketMade(void* job, curl_socket_t socket, curlsocktype purpose) {
  static_cast<CurlJob*>(job)->socket_ = socket;
  const auto limit = static_cast<CurlJob*>(job)->request_.dead_peer_limit;
  if (purpose == CURLSOCKTYPE_IPCXN && limit.count() > 0) {
    // Keepalive probes are sent every second; TCP_USER_TIMEOUT closes the connection if none is
    // acknowledged.
    constexpr int kProbeSeconds = 1;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(limit).count();
    setNumber(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setNumber(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
    setNumber(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
    setNumber(socket, IPPROTO_TCP, TCP_KEEPCNT, static_cast<int>(seconds));
    setNumber(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(milliseconds(limit)));
  }
  return CURL_SOCKOPT_OK;
}

int CurlJob::beforeSending(void* job, char* remote_ip, char*, int remote_port, int local_port) {
  auto* const self = static_cast<CurlJob*>(job);
  bool prepared = false;
  self->runHandler([&] {
    self->connection_ = std::string(remote_ip) + " " + std::to_string(remote_port) + " " +
                        std::to_string(local_port);
    prepared = self->prepareToSend();
  });
  return prepared ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

bool CurlJob::prepareToSend() {
  // libcurl calls this a second time if a reused connection was closed before a response arrived.
  if (numberOf(CURLINFO_REQUEST_SIZE) != 0) {
    return false;
  }
  reused_ = numberOf(CURLINFO_NUM_CONNECTS) == 0;
  if (!reused_ && request_.on_connection) {
    request_.on_connection(true);
  }
  sent_at_ = std::chrono::steady_clock::now();
  if (on_sending_) {
    socket_ = on_sending_(reused_ ? std::nullopt : socket_);
  }
  if (pooled_ && reused_ && socket_) {
    segments_before_ = receivedDataSegments(*socket_);
  }
  read_before_ = reused_ && socket_ ? bytesReadFrom(*socket_) : 0;
  silence_checked_ = pooled_ && reused_ && socket_ && silence_limit_.count() > 0;
  if (silence_checked_) {
    setNumber(*socket_, SOL_SOCKET, SO_KEEPALIVE, 0);
    setNumber(*socket_, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(milliseconds(silence_limit_)));
  }
  return true;
}

void CurlJob::stopSilenceCheck() {
  if (std::exchange(silence_checked_, false) && socket_) {
    setNumber(*socket_, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
  }
}

std::size_t CurlJob::takeBody(std::string_view bytes) {
  if (abandoned()) {
    return CURL_WRITEFUNC_ERROR;
  }
  framing_.takeBody(bytes.size());
  if (framing_.defect()) {
    return CURL_WRITEFUNC_ERROR;
  }
  if (streaming_) {
    forwardHead();
    if (abandoned()) {
      return CURL_WRITEFUNC_ERROR;
    }
    handler_->onBody(bytes);
    return bytes.size();
  }
  if (handler_ != nullptr && response_.body.size() + bytes.size() > kMaximumErrorBodyBytes) {
    error_body_too_long_ = true;
    return CURL_WRITEFUNC_ERROR;
  }
  response_.body += bytes;
  if (on_collected_) {
    on_collected_(bytes.size());
  }
  return framing_.defect() ? CURL_WRITEFUNC_ERROR : bytes.size();
}

void CurlJob::giveUpBody() {
  framing_.reject(ResponseDefect::kMemoryLimit);
  response_.body = std::string();
}

void CurlJob::forwardHead() {
  if (!std::exchange(head_forwarded_, true)) {
    response_.reused_connection = reused_;
    handler_->onHead(response_);
  }
}

bool CurlJob::takeHeader(std::string_view line) {
  stopSilenceCheck();
  switch (framing_.takeLine(line)) {
    case ResponseFraming::Line::kStatus:
      response_.headers.clear();
      response_.status = static_cast<int>(numberOf(CURLINFO_RESPONSE_CODE));
      streaming_ = handler_ != nullptr && response_.status == kStatusOk;
      break;
    case ResponseFraming::Line::kField:
      takeField(line);
      break;
    case ResponseFraming::Line::kHeadEnd:
      if (receivedForeignAnswer()) {
        curl_easy_setopt(easy(), CURLOPT_FORBID_REUSE, 1L);
      }
      break;
    case ResponseFraming::Line::kInterimEnd:
    case ResponseFraming::Line::kTrailer:
      break;
  }
  return !framing_.defect();
}

void CurlJob::takeField(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  response_.headers.push_back(
      {std::string(trimmed(line.substr(0, colon))), std::string(trimmed(line.substr(colon + 1)))});
  const CurlHeader& header = response_.headers.back();
  if (pooled_ && common::sameHeaderName(header.name, "Keep-Alive")) {
    announced_idle_time_ = parseKeepAlive(header.value);
  }
}

long CurlJob::numberOf(CURLINFO info) const {
  long value = 0;
  curl_easy_getinfo(easy_.get(), info, &value);
  return value;
}

CurlOutcome CurlJob::outcomeOf(CURLcode code) const {
  if (reused_ && foreign_) {
    return CurlOutcome::kStale;
  }
  // A server may answer before it has read the request, and then not read the rest of it.
  if (!defect_ && !handler_failed_ && (code == CURLE_OK || framing_.complete())) {
    return CurlOutcome::kAnswered;
  }
  const bool nothing_sent = numberOf(CURLINFO_REQUEST_SIZE) == 0;
  const bool nothing_received = numberOf(CURLINFO_RESPONSE_CODE) == 0;
  if (nothing_sent && nothing_received) {
    return CurlOutcome::kNotSent;
  }
  return stale_ ? CurlOutcome::kStale : CurlOutcome::kBroken;
}

/// A connection that ends long after the request was sent most likely ends because of the request:
/// a peer that had closed it would have answered the first packet with a reset.
bool CurlJob::foundStaleConnection(CURLcode code) const {
  const bool ended = code == CURLE_SEND_ERROR || code == CURLE_RECV_ERROR ||
                     code == CURLE_GOT_NOTHING || code == CURLE_ABORTED_BY_CALLBACK;
  if (!pooled_ || !reused_ || !ended || bytes_received_ || numberOf(CURLINFO_RESPONSE_CODE) != 0 ||
      numberOf(CURLINFO_REQUEST_SIZE) == 0) {
    return false;
  }
  const auto elapsed = std::chrono::steady_clock::now() - sent_at_;
  const bool silent = silence_checked_ && (timed_out_ || numberOf(CURLINFO_OS_ERRNO) == ETIMEDOUT);
  return elapsed <= kStaleWindow || silent;
}

void CurlJob::ended(CURLcode code) {
  stale_ = foundStaleConnection(code);
  foreign_ = receivedForeignAnswer();
  if (code == CURLE_OK || responseBegan()) {
    defect_ = framing_.defectAtEnd(code == CURLE_OK && closed_in_order_);
  }
}

void CurlJob::finish(CURLcode code) {
  CurlResponse response = std::move(response_);
  response.reused_connection = reused_;
  response.outcome = outcomeOf(code);
  if (response.outcome == CurlOutcome::kNotSent && request_.on_connection) {
    runHandler([&] { request_.on_connection(false); });
  }
  response.status = static_cast<int>(numberOf(CURLINFO_RESPONSE_CODE));
  response.error = errorOf(code);
  if (responseBegan()) {
    response.extent = framing_.describe();
  }
  if (framing_.framing() == BodyFraming::kUnknown) {
    // Half of a head says nothing: the field that follows could be the one that decides.
    response.status = 0;
    response.headers.clear();
  }
  deliver(std::move(response));
}

std::string CurlJob::errorOf(CURLcode code) const {
  if (defect_ == ResponseDefect::kBodyTooLong || error_body_too_long_) {
    return "answer is too long";
  }
  if (handler_failed_) {
    return "the handler of the answer failed";
  }
  std::string text;
  if (code != CURLE_OK) {
    text =
        error_text_[0] != '\0' ? static_cast<const char*>(error_text_) : curl_easy_strerror(code);
  }
  if (defect_) {
    text += (text.empty() ? "" : ": ") + std::string(toString(*defect_));
    text += ", " + framing_.describe();
  }
  return text;
}

void CurlJob::finishNotSent(const std::string& error) {
  CurlResponse response;
  response.outcome = CurlOutcome::kNotSent;
  response.error = error;
  deliver(std::move(response));
}

void CurlJob::deliver(CurlResponse response) {
  CurlTransferHandler* const handler = std::exchange(handler_, nullptr);
  const auto callback = std::exchange(callback_, nullptr);
  runHandler([&] {
    if (handler != nullptr) {
      handler->onDone(std::move(response));
    } else if (callback) {
      callback(std::move(response));
    }
  });
}

}  // namespace cypresswall::runtime
