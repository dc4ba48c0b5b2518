/// Helpers of the stand-ins for JSON bodies over http::Responder.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/time.h"
#include "cypresswall/http/server.h"

namespace cypresswall::standins {

using ResponderPointer = std::shared_ptr<http::Responder>;

/// A request that violates the protocol; answered with 400.
class RequestError : public common::Error {
 public:
  using common::Error::Error;
};

void respondJson(http::Responder& responder, int status, const nlohmann::json& body,
                 std::vector<http::Header> headers = {});
/// Reads the fault `rate_limit`: requests per second, or null for none.
std::optional<double> rateLimitOr(const nlohmann::json& object, std::optional<double> fallback);
/// \return the header field in which a server announces how many requests per second it accepts
///   from the whole fleet; empty if it announces no limit
std::vector<http::Header> rateLimitHeaders(const std::optional<double>& requests_per_second);
/// \param leaving whether the server announces that it leaves
/// \param pause time without requests that a refusal asks for
/// \return the header fields that announce both; empty if there is nothing to announce
std::vector<http::Header> announcementHeaders(bool leaving,
                                              const std::optional<common::Duration>& pause = {});
/// Reads the fault `pause_ms`: a time without requests, or null for none.
std::optional<common::Duration> pauseOr(const nlohmann::json& object,
                                        std::optional<common::Duration> fallback);
/// Answers with `{"error": message}`.
void respondError(http::Responder& responder, int status, const std::string& message);

/// \return the body as a JSON object. \throws RequestError
nlohmann::json parseObject(const std::string& body);

/// \return field `name`, or `fallback` if it is absent. \throws RequestError if it has another type
template <typename Value>
Value fieldOr(const nlohmann::json& object, const char* name, Value fallback) {
  const auto field = object.find(name);
  if (field == object.end() || field->is_null()) {
    return fallback;
  }
  try {
    return field->get<Value>();
  } catch (const nlohmann::json::exception& error) {
    throw RequestError(std::string(name) + ": " + error.what());
  }
}

/// \return field `name`. \throws RequestError if it is absent or has another type
template <typename Value>
Value requiredField(const nlohmann::json& object, const char* name) {
  if (!object.contains(name)) {
    throw RequestError(std::string(name) + " is missing");
  }
  return fieldOr<Value>(object, name, Value{});
}

/// Reads a field given in whole milliseconds.
common::Duration millisecondsOr(const nlohmann::json& object, const char* name,
                                common::Duration fallback);

/// \return a query value as a number. \throws RequestError if it is not an integer
std::uint64_t queryNumberOr(const http::Request& request, const std::string& name,
                            std::uint64_t fallback);

/// Calls `handler`; responds with 400 if it throws RequestError.
void respondingToErrors(const ResponderPointer& responder, const std::function<void()>& handler);

}  // namespace cypresswall::standins
