#include "tests/release_soak/stream_caller.h"

#include <curl/curl.h>

#include <memory>
#include <sstream>

#include "cypresswall/common/prompt.h"
#include "cypresswall/common/request_fingerprint.h"
#include "platform/headers.h"

namespace cypresswall::testing {
namespace {

namespace header = objects_platform;

constexpr long kConnectMilliseconds = 1000;
/// A caller abandons a stream that was silent for four times the target latency of its route.
constexpr long kLongestSilenceSeconds = 4;
constexpr const char* kEventEnd = "\n\n";

struct Reading {
  const StreamCall& call;
  StreamResult result;
  std::string text;
};

ReceivedEvent parseEvent(const std::string& text) {
  ReceivedEvent event;
  std::istringstream words(text);
  std::string field;
  words >> field >> event.number >> field >> event.build >> event.engine;
  return event;
}

/// \return fewer bytes than given, which closes the connection, once enough events came
std::size_t takeBody(char* data, std::size_t size, std::size_t count, void* target) {
  auto& reading = *static_cast<Reading*>(target);
  reading.text.append(data, size * count);
  for (auto end = reading.text.find(kEventEnd); end != std::string::npos;
       end = reading.text.find(kEventEnd)) {
    reading.result.events.push_back(parseEvent(reading.text.substr(0, end)));
    reading.text.erase(0, end + 2);
    if (reading.result.events.size() == reading.call.close_after) {
      return 0;
    }
  }
  return size * count;
}

curl_slist* headersOf(const StreamCall& call) {
  curl_slist* list = nullptr;
  const auto add = [&list](const std::string& name, const std::string& value) {
    list = curl_slist_append(list, (name + ": " + value).c_str());
  };
  add("Host", call.host);
  add(header::kRequestIdHeader, call.request_id);
  add(header::kModelHeader, call.model);
  add(header::kTokenCountsHeader, "100," + std::to_string(call.events));
  add(header::kPartsHeader, common::toString(common::hash64(call.prompt)) + ":100");
  add(header::kDeadlineHeader, std::to_string(call.time_limit.count()));
  if (call.after_event > 0) {
    add(header::kLastEventHeader, std::to_string(call.after_event));
    add(header::kResumesHeader, call.resumes);
  }
  return list;
}

}  // namespace

StreamResult callStream(const std::string& address, const StreamCall& call) {
  constexpr std::chrono::milliseconds kPatience{500};
  Reading reading{call, {}, ""};
  const std::unique_ptr<CURL, void (*)(CURL*)> curl(curl_easy_init(), &curl_easy_cleanup);
  const std::unique_ptr<curl_slist, void (*)(curl_slist*)> headers(headersOf(call),
                                                                   &curl_slist_free_all);
  const std::string url = "http://" + address + call.path;
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, call.request_id.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT_MS, kConnectMilliseconds);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>((call.time_limit + kPatience).count()));
  curl_easy_setopt(curl.get(), CURLOPT_LOW_SPEED_LIMIT, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_LOW_SPEED_TIME, kLongestSilenceSeconds);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &takeBody);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &reading);
  const CURLcode result = curl_easy_perform(curl.get());
  long status = 0;
  long request_bytes = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(curl.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
  reading.result.status = static_cast<int>(status);
  reading.result.complete = result == CURLE_OK && status == 200;
  reading.result.not_connected = request_bytes == 0;
  return reading.result;
}

}  // namespace cypresswall::testing
