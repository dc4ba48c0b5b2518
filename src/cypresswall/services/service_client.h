/// Client interface to plain HTTP services (tracking portal, booking). Implemented over HTTP and by
/// the simulator.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/api/server_connections.h"
#include "cypresswall/common/header_field.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/rate_limit_notice.h"
#include "cypresswall/common/server_announcement.h"
#include "cypresswall/common/server_identity.h"
#include "cypresswall/common/time.h"

namespace cypresswall::services {

using HttpHeader = common::HeaderField;

/// One attempt at a service request.
struct ServiceRequest {
  std::string request_id;
  std::uint32_t attempt = 1;
  std::string method;
  /// Path with query, beginning with a slash.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  common::Duration time_limit{0};
  /// True if the request may be sent on a kept connection: the caller of the client can repeat it
  /// after ServiceOutcome::kStale.
  bool may_reuse_connection = false;
};

/// Outcome of an attempt. Only kNotSent, kRefused and kMisdirected prove that the service did not
/// run the request.
enum class ServiceOutcome : std::uint8_t {
  kAnswered,
  kNotSent,  ///< no byte reached the service
  kRefused,  ///< the service reported "not-run" in its outcome header
  /// Another server than the one that was named answered, and did not run the request.
  kMisdirected,
  kBroken,  ///< bytes were sent, but no complete answer was received
  /// The request was sent on a kept connection that the back end had closed, or whose answer was
  /// not one to this request. The service may have run it, but the back end has not failed.
  kStale,
};

struct ServiceResponse {
  ServiceOutcome outcome = ServiceOutcome::kNotSent;
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string error;
  /// How far the answer got and how its end was found, for logs; may be empty.
  std::string extent;
  /// The rate limit announced in the answer; empty if the service did not answer.
  std::optional<common::RateLimitNotice> rate_limit;
};

/// Handle of a running call; destroying the handle abandons the call, whose outcome is then
/// unknown.
class ServiceCall {
 public:
  virtual ~ServiceCall() = default;
};

class ServiceClient {
 public:
  virtual ~ServiceClient() = default;
  /// \param server the back end that was chosen; named in the request if the protocol allows it, so
  ///   that another server at its address does not run the request
  /// \param callback called exactly once, never before this function returns, unless the returned
  ///   object is destroyed first
  virtual std::unique_ptr<ServiceCall> call(const common::ServerIdentity& server,
                                            ServiceRequest request,
                                            std::function<void(ServiceResponse)> callback) = 0;
  /// \return true if a request to this address may find an idle connection.
  virtual bool hasIdleConnection(const common::Address& /*address*/) const { return false; }
  /// Sets the function that is told what a back end announces in an answer, whatever its status. It
  /// is called before the answer is delivered.
  void observeAnnouncements(common::AnnouncementObserver observer) {
    announcement_observer_ = std::move(observer);
  }
  /// Sets where the client reports connections that it opens, or could not open.
  void reportConnectionsTo(const api::ServerConnections* connections) {
    connections_ = connections;
  }

 protected:
  /// \return a function that reports whether a connection to the server was established
  std::function<void(bool established)> connectionReporter(const common::Address& address) const {
    return [this, address](bool established) {
      if (connections_ != nullptr) {
        connections_->report(address, established);
      }
    };
  }
  void announce(const common::ServerIdentity& server,
                const common::ServerAnnouncement& announcement) const {
    if (announcement_observer_) {
      announcement_observer_(server.toString(), announcement);
    }
  }

  /// Records that another server answers at the address of this one, which has ended. It is not
  /// used again before its declaration has had time to go.
  void announceReplaced(const common::ServerIdentity& server) const {
    constexpr common::Duration kPause = std::chrono::seconds(2);
    announce(server, {false, kPause});
  }

 private:
  common::AnnouncementObserver announcement_observer_;
  const api::ServerConnections* connections_ = nullptr;
};

}  // namespace cypresswall::services
