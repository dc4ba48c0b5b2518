/// The request that a connection receives, as far as it has arrived, within its limits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cypresswall/http/caller_memory.h"
#include "cypresswall/http/request_limits.h"

namespace cypresswall::http {

struct ServerState;

/// Why a request is refused before it has arrived.
struct Refusal {
  int status = 400;
  std::string reason;
  /// True if the same request may be accepted a little later.
  bool temporary = false;
};

/// The parser's callbacks pass it the sizes of the head and the bytes of the body. Each function
/// that returns false has refused the request.
class IncomingRequest {
 public:
  /// Names the request to which a parser belongs that begins its first message while the object
  /// exists: the callbacks of RESTinio's parser do not tell the connection.
  class Reading {
   public:
    explicit Reading(IncomingRequest& request) : outer_(current()) { current() = &request; }
    ~Reading() { current() = outer_; }
    Reading(const Reading&) = delete;
    Reading& operator=(const Reading&) = delete;
    /// \return the innermost request of this thread; null if there is none
    static IncomingRequest*& current();

   private:
    IncomingRequest* outer_;
  };

  /// Both references must outlive the object.
  IncomingRequest(const ServerState& server, MemoryAccount& memory);
  ~IncomingRequest();
  IncomingRequest(const IncomingRequest&) = delete;
  IncomingRequest& operator=(const IncomingRequest&) = delete;

  /// Begins a request on `parser`, which belongs to this connection until release().
  void begin(const void* parser);
  /// Called before the parser is destroyed.
  void release();
  /// \return the request that `parser` receives; null if it has begun none
  static IncomingRequest* of(const void* parser);

  /// \param bytes of the target, of a field's name or of its value; also those of trailers
  bool addHead(std::size_t bytes);
  /// \param announced_bytes length of the body, if the head tells it
  bool completeHead(std::optional<std::uint64_t> announced_bytes);
  bool appendBody(std::string_view bytes);
  /// Refuses the request because of an error of this process.
  void fail(const char* reason);
  /// \return the body that has arrived
  std::string takeBody();
  /// Frees the body that has arrived.
  void discard() { body_ = std::string(); }

  bool headComplete() const { return head_complete_; }
  const RequestLimits& limits() const { return limits_; }
  const std::optional<Refusal>& refusal() const { return refusal_; }

 private:
  bool refuse(int status, std::string reason, bool temporary = false);
  bool reserve(std::size_t bytes);

  const ServerState& server_;
  MemoryAccount& memory_;
  const void* parser_ = nullptr;
  RequestLimits limits_;
  std::size_t head_bytes_ = 0;
  bool head_complete_ = false;
  /// Size that the body has in the end, or its limit if that is not known.
  std::size_t expected_bytes_ = 0;
  /// Size of the body that is charged to `memory_`.
  std::size_t reserved_bytes_ = 0;
  std::string body_;
  std::optional<Refusal> refusal_;
};

}  // namespace cypresswall::http
