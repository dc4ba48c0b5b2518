/// Damages the HTTP/1.1 responses on one connection, as servers in trouble do: they stop early,
/// declare two lengths or none, have an invalid status, come twice, or never end.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/common/random.h"

namespace cypresswall::emulation {

enum class DamageKind : std::uint8_t {
  kStopInStatusLine,
  kStopInHead,
  /// Stops after some of the digits of Content-Length.
  kStopInLength,
  kStopInBody,
  /// Declares a second length that differs, or a length beside chunks.
  kDifferentLengths,
  /// Has a status that no response can have.
  kInvalidStatus,
  /// Ends a response that had a length by closing the connection.
  kWithoutLength,
  /// Sends the response again, late or with the next request: whole, or half of it.
  kSentTwice,
  kEndlessHead,
  kEndlessBody,
};

struct ResponseDamage {
  /// Kinds to draw from; empty for none.
  std::vector<DamageKind> kinds;
  /// Share of the responses that are damaged, 0 to 1.
  double share = 1.0;
  /// Responses that stop are reset instead of closed in order.
  bool reset = false;
};

class ResponseDamager {
 public:
  enum class Then : std::uint8_t {
    kGoOn,
    kClose,
    kReset,
    /// Send `filler` again and again until the client closes the connection.
    kRepeatFiller,
    /// Send `filler` after a while, unless the next response has begun by then.
    kSendFillerLate,
    /// Send `filler` when the next request arrives, before its response.
    kSendFillerWithNextRequest,
  };
  struct Output {
    std::string bytes;
    Then then = Then::kGoOn;
    std::string filler;
    /// Close the connection once `filler` was sent late.
    bool then_close = false;
  };

  /// \param damage may change between responses; must outlive this object, as `random`
  ResponseDamager(const ResponseDamage& damage, common::RandomSource& random)
      : damage_(damage), random_(random) {}

  /// Called for bytes of the client; the bytes of the server that follow them are the next
  /// response.
  void takeRequest();
  /// \return what to send instead of `bytes`
  Output takeResponse(std::string_view bytes);
  /// \return true while a response has begun and a request has not followed it.
  bool responseBegan() const { return stage_ != Stage::kNextResponse; }
  bool damaged() const { return kind_.has_value(); }

 private:
  enum class Stage : std::uint8_t { kNextResponse, kHead, kBody };

  /// Decides how the response is damaged, now that its head is known.
  Output damageHead(std::string_view body);
  /// Passes bytes until the limit.
  Output pass(std::string_view bytes);
  /// \return how many bytes of the response pass before it stops
  std::size_t stopPosition(std::optional<std::size_t> length);
  std::string withInvalidStatus();
  std::string withSecondLength(std::optional<std::size_t> length);
  Output withoutEnd();

  const ResponseDamage& damage_;
  common::RandomSource& random_;
  Stage stage_ = Stage::kNextResponse;
  std::optional<DamageKind> kind_;
  std::string head_;
  /// Bytes that pass before `at_limit_` is done; none if all pass.
  std::optional<std::size_t> limit_;
  Then at_limit_ = Then::kGoOn;
  std::string copy_;
};

}  // namespace cypresswall::emulation
