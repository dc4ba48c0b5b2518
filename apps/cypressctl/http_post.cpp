#include "apps/cypressctl/http_post.h"

#include <curl/curl.h>

#include <memory>
#include <string_view>

#include "cypresswall/operators/command_api.h"
#include "cypresswall/runtime/response_framing.h"

namespace cypresswall::cypressctl {
namespace {

using operators::PostAnswer;
using operators::PostResult;

constexpr long kConnectTimeLimitMs = 2000;
constexpr std::size_t kMaximumAnswerBytes = 64U << 20;

struct Reading {
  runtime::ResponseFraming framing{false, kMaximumAnswerBytes};
  std::string body;
};

std::size_t takeLine(char* data, std::size_t size, std::size_t count, void* target) {
  auto& reading = *static_cast<Reading*>(target);
  reading.framing.takeLine(std::string_view(data, size * count));
  return reading.framing.defect() ? 0 : size * count;
}

std::size_t takeBody(char* data, std::size_t size, std::size_t count, void* target) {
  auto& reading = *static_cast<Reading*>(target);
  reading.framing.takeBody(size * count);
  if (reading.framing.defect()) {
    return 0;
  }
  reading.body.append(data, size * count);
  return size * count;
}

/// \return true if the error implies that the request was not sent.
bool provesNotSent(CURLcode code, CURL* handle) {
  if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
      code == CURLE_URL_MALFORMAT) {
    return true;
  }
  long request_bytes = 0;
  curl_off_t connected_after = 0;
  curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connected_after);
  return code == CURLE_OPERATION_TIMEDOUT && request_bytes == 0 && connected_after == 0;
}

PostAnswer answerOf(CURLcode code, CURL* handle, Reading reading) {
  PostAnswer answer;
  // Daemons frame their answers by length or chunks, so that a close never ends one.
  const auto defect = reading.framing.defectAtEnd(false);
  if (code == CURLE_OK && !defect) {
    answer.result = PostResult::kAnswered;
    answer.body = std::move(reading.body);
    return answer;
  }
  answer.result = provesNotSent(code, handle) ? PostResult::kNotSent : PostResult::kUnknown;
  if (code != CURLE_OK) {
    answer.error = curl_easy_strerror(code);
  }
  if (defect && reading.framing.began()) {
    answer.error += (answer.error.empty() ? "" : ": ") + std::string(toString(*defect)) + ", " +
                    reading.framing.describe();
  }
  return answer;
}

}  // namespace

PostAnswer postCommand(const common::Address& server, const std::string& body,
                       common::Duration time_limit) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                   &curl_easy_cleanup);
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
      curl_slist_append(nullptr, "Content-Type: application/json"), &curl_slist_free_all);
  const std::string url = "http://" + server + operators::kCommandPath;
  const long limit_ms = std::chrono::duration_cast<std::chrono::milliseconds>(time_limit).count();
  Reading reading;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.data());
  curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, &takeLine);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &reading);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &takeBody);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reading);
  curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeLimitMs);
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, limit_ms);
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
  const CURLcode code = curl_easy_perform(handle.get());
  return answerOf(code, handle.get(), std::move(reading));
}

}  // namespace cypresswall::cypressctl
