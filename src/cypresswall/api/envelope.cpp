#include "cypresswall/api/envelope.h"

#include <tuple>

namespace cypresswall::api {
namespace {

using WireEnvelope =
    std::tuple<std::uint16_t, common::NodeId, common::NodeId, std::uint16_t, std::string>;

}  // namespace

std::string encodeEnvelope(const Envelope& envelope) {
  const WireEnvelope wire(kProtocolVersion, envelope.sender, envelope.receiver,
                          static_cast<std::uint16_t>(envelope.type), envelope.body);
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, wire);
  return {buffer.data(), buffer.size()};
}

Envelope decodeEnvelope(const char* data, std::size_t size) {
  WireEnvelope wire;
  try {
    wire = common::unpackBounded({data, size}).get().as<WireEnvelope>();
  } catch (const std::exception& error) {
    throw MessageError(std::string("envelope can't be decoded: ") + error.what());
  }
  const auto version = std::get<0>(wire);
  if (version != kProtocolVersion) {
    throw MessageError("peer speaks protocol version " + std::to_string(version) + ", expected " +
                       std::to_string(kProtocolVersion));
  }
  Envelope envelope;
  envelope.sender = std::get<1>(wire);
  envelope.receiver = std::get<2>(wire);
  envelope.type = static_cast<MessageType>(std::get<3>(wire));
  envelope.body = std::move(std::get<4>(wire));
  return envelope;
}

void MessageDispatcher::dispatch(const Envelope& envelope) const {
  const auto handler = handlers_.find(static_cast<std::uint16_t>(envelope.type));
  if (handler == handlers_.end()) {
    throw MessageError("no handler for message type " +
                       std::to_string(static_cast<std::uint16_t>(envelope.type)));
  }
  handler->second(envelope);
}

}  // namespace cypresswall::api
