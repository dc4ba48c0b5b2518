#include "cypresswall/membership/member_packing.h"

#include <zlib.h>

#include <cstdint>

#include "cypresswall/common/bounded_unpack.h"

namespace cypresswall::membership {
namespace {

/// Maximum uncompressed size of a list, enough for about 50,000 members. Without a limit, a small
/// message could expand without bound.
constexpr std::size_t kMaximumBytes = std::size_t{4} << 20;

/// A compressed list, and its uncompressed length in bytes.
struct PackedMembers {
  std::uint32_t bytes = 0;
  std::string compressed;
  MSGPACK_DEFINE(bytes, compressed)
};

template <typename Value>
std::string encode(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

}  // namespace

std::string packMembers(const std::vector<MemberRecord>& records) {
  if (records.empty()) {
    return {};
  }
  const std::string plain = encode(records);
  uLongf length = compressBound(plain.size());
  PackedMembers packed;
  packed.bytes = static_cast<std::uint32_t>(plain.size());
  packed.compressed.resize(length);
  compress2(reinterpret_cast<Bytef*>(packed.compressed.data()), &length,
            reinterpret_cast<const Bytef*>(plain.data()), plain.size(), Z_BEST_SPEED);
  packed.compressed.resize(length);
  return encode(packed);
}

std::optional<std::vector<MemberRecord>> unpackMembers(const std::string& packed) {
  if (packed.empty()) {
    return std::vector<MemberRecord>{};
  }
  try {
    const auto members = common::unpackBounded(packed).get().as<PackedMembers>();
    if (members.bytes > kMaximumBytes) {
      return std::nullopt;
    }
    std::string plain(members.bytes, '\0');
    uLongf length = plain.size();
    const int result = uncompress(reinterpret_cast<Bytef*>(plain.data()), &length,
                                  reinterpret_cast<const Bytef*>(members.compressed.data()),
                                  members.compressed.size());
    if (result != Z_OK || length != plain.size()) {
      return std::nullopt;
    }
    return common::unpackBounded(plain).get().as<std::vector<MemberRecord>>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace cypresswall::membership
