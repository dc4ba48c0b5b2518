#include "apps/cypressctl/http_post.h"

#include <curl/curl.h>

#include <memory>

#include "cypresswall/operators/command_api.h"

namespace cypresswall::cypressctl {
namespace {

using operators::PostAnswer;
using operators::PostResult;

constexpr long kConnectTimeLimitMs = 2000;
constexpr std::size_t kMaximumAnswerBytes = 64U << 20;

std::size_t appendBody(char* data, std::size_t size, std::size_t count, void* target) {
  auto& body = *static_cast<std::string*>(target);
  const std::size_t bytes = size * count;
  if (body.size() + bytes > kMaximumAnswerBytes) {
    return 0;
  }
  body.append(data, bytes);
  return bytes;
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

}  // namespace

PostAnswer postCommand(const common::Address& server, const std::string& body,
                       common::Duration time_limit) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                   &curl_easy_cleanup);
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
      curl_slist_append(nullptr, "Content-Type: application/json"), &curl_slist_free_all);
  const std::string url = "http://" + server + operators::kCommandPath;
  const long limit_ms = std::chrono::duration_cast<std::chrono::milliseconds>(time_limit).count();
  PostAnswer answer;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.data());
  curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeLimitMs);
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, limit_ms);
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
  const CURLcode code = curl_easy_perform(handle.get());
  if (code == CURLE_OK) {
    answer.result = PostResult::kAnswered;
    return answer;
  }
  answer.result = provesNotSent(code, handle.get()) ? PostResult::kNotSent : PostResult::kUnknown;
  answer.error = curl_easy_strerror(code);
  return answer;
}

}  // namespace cypresswall::cypressctl
