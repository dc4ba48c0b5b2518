#include "tests/process/http_call.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "cypresswall/runtime/response_framing.h"

namespace cypresswall::testing {
namespace {

constexpr long kConnectMilliseconds = 1000;
constexpr long kTotalMilliseconds = 30000;

struct Reading {
  runtime::ResponseFraming framing;
  HttpAnswer answer;
};

std::size_t takeBody(char* data, std::size_t size, std::size_t count, void* target) {
  auto& reading = *static_cast<Reading*>(target);
  reading.framing.takeBody(size * count);
  reading.answer.body.append(data, size * count);
  return size * count;
}

void takeField(const std::string& line, HttpAnswer& answer) {
  const auto colon = line.find(": ");
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const auto end = line.find_first_of("\r\n", colon);
    answer.headers[name] = line.substr(colon + 2, end - colon - 2);
  }
}

std::size_t takeHeader(char* data, std::size_t size, std::size_t count, void* target) {
  auto& reading = *static_cast<Reading*>(target);
  const std::string line(data, size * count);
  if (reading.framing.takeLine(line) == runtime::ResponseFraming::Line::kField) {
    takeField(line, reading.answer);
  }
  return reading.framing.defect() ? 0 : size * count;
}

}  // namespace

std::string HttpAnswer::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

HttpAnswer httpCall(const std::string& method, const std::string& address,
                    const std::string& target, const std::string& body,
                    const std::map<std::string, std::string>& headers) {
  return HttpClient().call(method, address, target, body, headers);
}

HttpClient::HttpClient() : curl_(curl_easy_init(), &curl_easy_cleanup) {}

HttpAnswer HttpClient::call(const std::string& method, const std::string& address,
                            const std::string& target, const std::string& body,
                            const std::map<std::string, std::string>& headers) {
  Reading reading{{method == "HEAD", 0}, {}};
  HttpAnswer& answer = reading.answer;
  curl_easy_reset(curl_.get());
  curl_slist* list = curl_slist_append(nullptr, "Content-Type: application/json");
  for (const auto& [name, value] : headers) {
    std::string header = name;
    header.append(": ").append(value);
    list = curl_slist_append(list, header.c_str());
  }
  const std::string url = "http://" + address + target;
  curl_easy_setopt(curl_.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl_.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(curl_.get(), CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(curl_.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl_.get(), CURLOPT_CONNECTTIMEOUT_MS, kConnectMilliseconds);
  curl_easy_setopt(curl_.get(), CURLOPT_TIMEOUT_MS, kTotalMilliseconds);
  curl_easy_setopt(curl_.get(), CURLOPT_WRITEFUNCTION, &takeBody);
  curl_easy_setopt(curl_.get(), CURLOPT_WRITEDATA, &reading);
  curl_easy_setopt(curl_.get(), CURLOPT_HEADERFUNCTION, &takeHeader);
  curl_easy_setopt(curl_.get(), CURLOPT_HEADERDATA, &reading);
  if (!body.empty()) {
    curl_easy_setopt(curl_.get(), CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl_.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  }
  const CURLcode result = curl_easy_perform(curl_.get());
  long status = 0;
  curl_easy_getinfo(curl_.get(), CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all(list);
  // The processes under test frame by length or chunks, so that a close never ends an answer.
  const auto defect = reading.framing.defectAtEnd(false);
  answer.complete = result == CURLE_OK && !defect;
  if (reading.framing.framing() == runtime::BodyFraming::kUnknown) {
    answer.headers.clear();
  } else {
    answer.status = static_cast<int>(status);
  }
  long request_bytes = 0;
  curl_easy_getinfo(curl_.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
  answer.not_connected = request_bytes == 0;
  if (!answer.complete) {
    answer.error = result != CURLE_OK ? curl_easy_strerror(result) : toString(*defect);
  }
  return reading.answer;
}

}  // namespace cypresswall::testing
