#include "cypresswall/http/incoming_request.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

#include "cypresswall/http/server_state.h"

namespace cypresswall::http {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
/// First size of the buffer of a body.
constexpr std::size_t kLeastReservedBytes = 1024;

std::unordered_map<const void*, IncomingRequest*>& requestsByParser() {
  thread_local std::unordered_map<const void*, IncomingRequest*> requests;
  return requests;
}

std::size_t orUnlimited(std::size_t limit) {
  return limit == 0 ? std::numeric_limits<std::size_t>::max() : limit;
}

}  // namespace

IncomingRequest*& IncomingRequest::Reading::current() {
  thread_local IncomingRequest* request = nullptr;
  return request;
}

IncomingRequest::IncomingRequest(const ServerState& server, MemoryAccount& memory)
    : server_(server), memory_(memory) {}

IncomingRequest::~IncomingRequest() { release(); }

void IncomingRequest::release() {
  if (parser_ != nullptr) {
    requestsByParser().erase(std::exchange(parser_, nullptr));
  }
}

IncomingRequest* IncomingRequest::of(const void* parser) {
  const auto& requests = requestsByParser();
  const auto found = requests.find(parser);
  return found == requests.end() ? nullptr : found->second;
}

void IncomingRequest::begin(const void* parser) {
  parser_ = parser;
  requestsByParser()[parser] = this;
  limits_ = server_.request_limits();
  head_bytes_ = 0;
  head_complete_ = false;
  expected_bytes_ = 0;
  reserved_bytes_ = 0;
  body_ = std::string();
}

bool IncomingRequest::addHead(std::size_t bytes) {
  head_bytes_ += bytes;
  if (head_bytes_ > orUnlimited(limits_.maximum_header_bytes)) {
    return refuse(kHeaderTooLarge, "request header too large");
  }
  return memory_.addArriving(bytes) ||
         refuse(kServiceUnavailable, "no memory for the request", true);
}

bool IncomingRequest::completeHead(std::optional<std::uint64_t> announced_bytes) {
  head_complete_ = true;
  expected_bytes_ = orUnlimited(limits_.maximum_body_bytes);
  if (announced_bytes) {
    if (*announced_bytes > expected_bytes_) {
      return refuse(kContentTooLarge, "request body too large");
    }
    expected_bytes_ = *announced_bytes;
  }
  return true;
}

bool IncomingRequest::appendBody(std::string_view bytes) {
  if (refusal_) {
    return false;
  }
  const std::size_t size = body_.size() + bytes.size();
  if (size > orUnlimited(limits_.maximum_body_bytes)) {
    return refuse(kContentTooLarge, "request body too large");
  }
  if (size > reserved_bytes_ && !reserve(size)) {
    return refuse(kServiceUnavailable, "no memory for the request", true);
  }
  body_.append(bytes);
  return true;
}

bool IncomingRequest::reserve(std::size_t bytes) {
  const std::size_t grown = std::max(kLeastReservedBytes, reserved_bytes_ + reserved_bytes_ / 2);
  const std::size_t capacity = std::max(bytes, std::min(grown, expected_bytes_));
  if (!memory_.addArriving(capacity - reserved_bytes_)) {
    return false;
  }
  reserved_bytes_ = capacity;
  body_.reserve(capacity);
  return true;
}

void IncomingRequest::fail(const char* reason) { refuse(kServiceUnavailable, reason, true); }

std::string IncomingRequest::takeBody() { return std::exchange(body_, {}); }

bool IncomingRequest::refuse(int status, std::string reason, bool temporary) {
  refusal_ = Refusal{status, std::move(reason), temporary};
  return false;
}

}  // namespace cypresswall::http
