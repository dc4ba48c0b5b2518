#include "standins/fronts/json_http.h"

#include <charconv>
#include <utility>

namespace cypresswall::standins {

using nlohmann::json;

void respondJson(http::Responder& responder, int status, const json& body,
                 std::vector<http::Header> headers) {
  headers.push_back({"Content-Type", "application/json"});
  responder.respond(status, headers, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::optional<double> rateLimitOr(const json& object, std::optional<double> fallback) {
  const auto field = object.find("rate_limit");
  if (field == object.end()) {
    return fallback;
  }
  return field->is_null() ? std::nullopt
                          : std::optional(requiredField<double>(object, "rate_limit"));
}

std::optional<common::Duration> pauseOr(const json& object,
                                        std::optional<common::Duration> fallback) {
  const auto field = object.find("pause_ms");
  if (field == object.end()) {
    return fallback;
  }
  return field->is_null() ? std::nullopt
                          : std::optional(millisecondsOr(object, "pause_ms", common::Duration{0}));
}

std::vector<http::Header> announcementHeaders(bool leaving,
                                              const std::optional<common::Duration>& pause) {
  std::vector<http::Header> headers;
  if (leaving) {
    headers.push_back({"X-Cypresswall-Leaving", "1"});
  }
  if (pause) {
    headers.push_back({"Retry-After", std::to_string(common::toSeconds(*pause))});
  }
  return headers;
}

std::vector<http::Header> rateLimitHeaders(const std::optional<double>& requests_per_second) {
  if (!requests_per_second) {
    return {};
  }
  return {{"X-Cypresswall-Rate-Limit", std::to_string(*requests_per_second)}};
}

void respondError(http::Responder& responder, int status, const std::string& message) {
  respondJson(responder, status, json{{"error", message}});
}

json parseObject(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    throw RequestError("the body is no JSON object");
  }
  return parsed;
}

common::Duration millisecondsOr(const json& object, const char* name, common::Duration fallback) {
  const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
  return std::chrono::milliseconds(fieldOr<std::int64_t>(object, name, whole));
}

std::uint64_t queryNumberOr(const http::Request& request, const std::string& name,
                            std::uint64_t fallback) {
  const auto value = request.query.find(name);
  if (value == request.query.end()) {
    return fallback;
  }
  std::uint64_t number = 0;
  const char* end = value->second.data() + value->second.size();
  const auto parsed = std::from_chars(value->second.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    throw RequestError(name + " is no whole number");
  }
  return number;
}

void respondingToErrors(const ResponderPointer& responder, const std::function<void()>& handler) {
  try {
    handler();
  } catch (const RequestError& error) {
    respondError(*responder, 400, error.what());
  }
}

}  // namespace cypresswall::standins
