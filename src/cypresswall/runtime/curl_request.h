/// One HTTP request made through CurlMulti, and its result.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/common/header_field.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::runtime {

using CurlHeader = common::HeaderField;

/// Whether a request may reuse a connection.
enum class ConnectionUse : std::uint8_t {
  kReuse,
  /// Opens a new connection. The peer may close a reused connection while the request is being
  /// sent, and it is then unknown whether the request was executed.
  kFresh,
  /// Opens a new connection and closes it after the response, for peers that allow few connections.
  kOnce,
};

/// CurlMulti sends a request at most once. Where libcurl by itself would retry a request on another
/// connection, the request ends as kBroken.
struct CurlRequest {
  std::string method = "GET";
  common::Address address;
  /// Path and query, beginning with a slash, already percent-encoded.
  std::string target;
  std::vector<CurlHeader> headers;
  std::string body;
  ConnectionUse connection_use = ConnectionUse::kReuse;
  /// Set for requests to peers whose connections are limited: while the ConnectionPool keeps
  /// connections, this replaces `connection_use`, and the pool decides whether the connection is
  /// kept after the response.
  std::optional<ConnectionUse> pooled_use;
  /// If set: \return false if an answer with these headers is not one to this request. Its
  /// connection is then closed: the answer to this request may still arrive there and would be
  /// taken for the answer to the next one.
  std::function<bool(const std::vector<CurlHeader>&)> belongs_to_request;
  /// If set: called when a new connection for the request is established, or could not be. Not
  /// called if the request uses a kept connection.
  std::function<void(bool established)> on_connection;
  common::Duration connect_time_limit = std::chrono::seconds(1);
  /// Time limit of the whole request; zero for no limit.
  common::Duration total_time_limit{0};
  /// Maximum time without a received byte, rounded up to whole seconds; zero for no limit.
  common::Duration idle_time_limit{0};
  /// A connection whose peer acknowledges nothing for this long, rounded up to whole seconds, is
  /// closed; idle connections are probed with TCP keepalive. Applies only to a connection that this
  /// request opens. Zero selects the system's default.
  common::Duration dead_peer_limit{0};
  /// A request whose response has a longer body fails. Zero, which streams use, means no limit.
  std::size_t maximum_body_bytes = 16U << 20;
  /// Size of the receive buffer of this request.
  std::size_t buffer_bytes = 16U << 10;
};

/// How far a request got.
enum class CurlOutcome : std::uint8_t {
  kAnswered,  ///< a complete response arrived, with any status
  kNotSent,   ///< no byte of the request was sent
  kBroken,    ///< part of the request was sent and no complete response arrived
  /// The request was sent on a kept connection that proved to be closed or silent, before any byte
  /// of a response, or on which the response to another request arrived. The peer may have executed
  /// it. Only for requests with pooled_use.
  kStale,
};

/// Result of a request.
struct CurlResponse {
  CurlOutcome outcome = CurlOutcome::kNotSent;
  /// True if the request was sent on a kept connection; the response may then be a surplus one to
  /// an earlier request.
  bool reused_connection = false;
  /// Zero if no status line arrived.
  int status = 0;
  std::vector<CurlHeader> headers;
  /// Empty if the body was streamed.
  std::string body;
  /// Human-readable; empty if answered.
  std::string error;
  /// How far the response got and how its end was found, for logs; empty if none arrived.
  std::string extent;

  /// \return the first header of that name (case-insensitive), or an empty string.
  std::string header(std::string_view name) const;
};

/// \return `text` percent-encoded for use as one path segment or query value.
std::string percentEncode(std::string_view text);

}  // namespace cypresswall::runtime
