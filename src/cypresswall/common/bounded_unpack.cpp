#include "cypresswall/common/bounded_unpack.h"

#include <cstdint>
#include <string>

namespace cypresswall::common {
namespace {

/// Walks through bytes without building values. Each value takes at least a byte, so that a
/// container can't hold more values than bytes follow.
class BoundsVisitor : public msgpack::null_visitor {
 public:
  explicit BoundsVisitor(std::size_t size) : most_values_(std::min(size, kMaximumMsgpackValues)) {}

  bool start_array(std::uint32_t count) { return enter(count); }                   // NOLINT
  bool start_map(std::uint32_t count) { return enter(2 * std::uint64_t{count}); }  // NOLINT
  bool end_array() { return leave(); }                                             // NOLINT
  bool end_map() { return leave(); }                                               // NOLINT
  void parse_error(std::size_t, std::size_t) { reject("malformed"); }              // NOLINT
  void insufficient_bytes(std::size_t, std::size_t) { reject("cut off"); }         // NOLINT

  /// \return what is wrong with the bytes, or null
  const char* defect() const { return defect_; }

 private:
  bool enter(std::uint64_t count) {
    values_ += count;
    return values_ <= most_values_ ? ++depth_ <= kMaximumMsgpackDepth || reject("nested too deeply")
                                   : reject("too many values");
  }
  bool leave() {
    --depth_;
    return true;
  }
  bool reject(const char* defect) {
    defect_ = defect_ == nullptr ? defect : defect_;
    return false;
  }

  std::size_t most_values_;
  std::uint64_t values_ = 0;
  std::size_t depth_ = 0;
  const char* defect_ = nullptr;
};

}  // namespace

msgpack::object_handle unpackBounded(std::string_view bytes) {
  BoundsVisitor bounds(bytes.size());
  const bool whole = msgpack::parse(bytes.data(), bytes.size(), bounds);
  if (!whole || bounds.defect() != nullptr) {
    throw MsgpackError(std::string("bytes are no msgpack value: ") +
                       (bounds.defect() != nullptr ? bounds.defect() : "malformed"));
  }
  try {
    return msgpack::unpack(bytes.data(), bytes.size());
  } catch (const msgpack::unpack_error& error) {
    throw MsgpackError(std::string("bytes are no msgpack value: ") + error.what());
  }
}

}  // namespace cypresswall::common
