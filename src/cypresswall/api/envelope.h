/// Messages between daemons: an envelope with sender, receiver and type, and a msgpack body. Each
/// subsystem defines its message structs in its own folder; a struct declares its type as
/// `static constexpr MessageType kType` and its fields with MSGPACK_DEFINE.
#pragma once

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <unordered_map>

#include "cypresswall/common/bounded_unpack.h"
#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::api {

/// Version of the peer protocol. Messages with any other version are rejected.
inline constexpr std::uint16_t kProtocolVersion = 1;
/// The set of messages that a build handles, increased with each change that adds messages. Nodes
/// announce it in their membership record, so that during a rolling upgrade, when builds are mixed,
/// a newer node sends a message, or assigns work that depends on the message, only to nodes that
/// handle the message.
enum class MessageSet : std::uint8_t {
  kFirst = 1,           ///< also assumed for builds that don't announce a set
  kQuarantine = 2,      ///< adds the messages of `quarantine`
  kUsage = 3,           ///< adds the messages of `duties`
  kRateLimits = 4,      ///< adds the messages of `fleet_limits` on servers' limits
  kTenantAccounts = 5,  ///< adds the messages of `fleet_limits` on tenants' limits
  kFairShares = 6,      ///< adds the messages of `fleet_limits` on fair shares of scarce pools
  kForwarding = 7,      ///< adds the messages of `forwarding`
  kAnswerBuilds = 8,    ///< adds the messages of `answer_builds`
  kAnsweredParts = 9,   ///< adds the message of `quarantine` on parts that were answered
  kBuildHistory = 10,   ///< adds the messages of `answer_builds` on the builds that models had
  kReportCopies = 11,   ///< adds the messages of `duties` on copies of usage reports
  kPartAnswers = 12,    ///< adds the messages of `quarantine` that ask when parts were answered
};
inline constexpr MessageSet kHandledMessages = MessageSet::kPartAnswers;
/// Largest encoded envelope that a transport accepts, in bytes.
inline constexpr std::size_t kMaximumEnvelopeBytes = 4U << 20;

/// First message type of each subsystem; each subsystem has a block of one hundred types.
enum class MessageType : std::uint16_t {
  kMembershipFirst = 100,
  kLeaseFirst = 200,
  kIdempotencyFirst = 300,
  kConfigurationFirst = 400,
  kRoutingFirst = 500,
  kOrdersFirst = 600,
  kAdmissionFirst = 700,
  kExecutionFirst = 800,
  kOperatorsFirst = 900,
  kStoreRelayFirst = 1000,
  kQuarantineFirst = 1100,
  kDutiesFirst = 1200,
  kAutoscalingFirst = 1300,
  kFleetLimitsFirst = 1400,
  kForwardingFirst = 1500,
  kAnswerBuildsFirst = 1600,
};

/// \return the `offset`-th message type of the block that starts at `first`.
constexpr MessageType messageType(MessageType first, std::uint16_t offset) {
  return static_cast<MessageType>(static_cast<std::uint16_t>(first) + offset);
}

/// Thrown if an envelope or a message body can't be decoded, or if the message type has no handler.
class MessageError : public common::Error {
 public:
  using common::Error::Error;
};

/// One message between two daemons.
struct Envelope {
  common::NodeId sender;
  /// With incarnation zero, any process at the address accepts the message; otherwise a process
  /// with another incarnation drops it.
  common::NodeId receiver;
  MessageType type{};
  std::string body;

  /// Encodes the body and takes the type from `Message::kType`.
  template <typename Message>
  static Envelope make(const common::NodeId& sender, const common::NodeId& receiver,
                       const Message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return Envelope{sender, receiver, Message::kType, std::string(buffer.data(), buffer.size())};
  }
};

/// Decodes a message body. \throws MessageError
template <typename Message>
Message decodeBody(const std::string& body) {
  try {
    return common::unpackBounded(body).get().as<Message>();
  } catch (const std::exception& error) {
    throw MessageError(std::string("message body can't be decoded: ") + error.what());
  }
}

/// Encodes a whole envelope, without length framing, for a byte transport.
std::string encodeEnvelope(const Envelope& envelope);
/// Inverse of encodeEnvelope(). \throws MessageError on malformed data or another protocol version.
Envelope decodeEnvelope(const char* data, std::size_t size);

/// Sends messages to other daemons. Messages may be lost, delayed, duplicated or reordered.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  /// Sends to `envelope.receiver.address`; never blocks, never throws for an unreachable peer.
  virtual void send(Envelope envelope) = 0;
};

/// Dispatches received envelopes to the handler of their message type.
class MessageDispatcher {
 public:
  /// Registers the handler of a message type, replacing any earlier one.
  template <typename Message>
  void handle(std::function<void(const common::NodeId& sender, const Message& message)> handler) {
    handlers_[static_cast<std::uint16_t>(Message::kType)] =
        [handler = std::move(handler)](const Envelope& envelope) {
          handler(envelope.sender, decodeBody<Message>(envelope.body));
        };
  }
  /// \throws MessageError if the type is unknown or the body can't be decoded.
  void dispatch(const Envelope& envelope) const;

 private:
  std::unordered_map<std::uint16_t, std::function<void(const Envelope&)>> handlers_;
};

}  // namespace cypresswall::api
