#include "cypresswall/execution/recorded_answer.h"

#include <cstdint>
#include <exception>
#include <map>
#include <msgpack.hpp>
#include <utility>
#include <vector>

#include "cypresswall/common/bounded_unpack.h"

namespace cypresswall::execution {
namespace {

/// Maximum number of headers in a recorded answer. Records that declare more are rejected when
/// decoded, so that a corrupt record cannot cause a large allocation; no back end sends that many
/// headers.
constexpr std::size_t kMaximumHeaders = 1024;

struct WireHeader {
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value)
};

struct WireAnswer {
  std::uint8_t outcome = 0;
  int status = 0;
  std::vector<WireHeader> headers;
  std::string body;
  std::string error_message;
  MSGPACK_DEFINE(outcome, status, headers, body, error_message)
};

WireAnswer toWire(const ServiceCallAnswer& answer) {
  WireAnswer wire;
  wire.outcome = static_cast<std::uint8_t>(answer.outcome);
  wire.status = answer.status;
  for (const auto& header : answer.headers) {
    wire.headers.push_back({header.name, header.value});
  }
  wire.body = answer.body;
  wire.error_message = answer.error.message;
  return wire;
}

ServiceCallAnswer fromWire(WireAnswer wire) {
  ServiceCallAnswer answer;
  // Any recorded outcome other than "done" becomes "unknown", because the request may have run.
  const bool done = wire.outcome == static_cast<std::uint8_t>(Outcome::kDone);
  answer.outcome = done ? Outcome::kDone : Outcome::kUnknown;
  answer.status = wire.status;
  for (auto& header : wire.headers) {
    answer.headers.push_back({std::move(header.name), std::move(header.value)});
  }
  answer.body = std::move(wire.body);
  answer.error.kind = ErrorKind::kBackendFailed;
  answer.error.outcome = answer.outcome;
  answer.error.message = std::move(wire.error_message);
  return answer;
}

}  // namespace

std::string encodeRecordedAnswer(const ServiceCallAnswer& answer, std::size_t maximum_bytes) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, toWire(answer));
  if (buffer.size() > maximum_bytes) {
    return {};
  }
  return {buffer.data(), buffer.size()};
}

std::optional<ServiceCallAnswer> decodeRecordedAnswer(const std::string& recorded) {
  if (recorded.empty()) {
    return std::nullopt;
  }
  try {
    auto wire = common::unpackBounded(recorded).get().as<WireAnswer>();
    return wire.headers.size() > kMaximumHeaders ? std::nullopt
                                                 : std::optional(fromWire(std::move(wire)));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace cypresswall::execution
