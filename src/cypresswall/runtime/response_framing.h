/// Where an HTTP response ends, and whether all of it arrived (RFC 9112, sections 4 to 6). A client
/// library reports success also for a connection that closes within the head, so the end of a
/// response is established here from the response itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cypresswall::runtime {

/// How the head says where the body ends.
enum class BodyFraming : std::uint8_t {
  kUnknown,  ///< the head has not ended
  kNone,     ///< a response without a body, whatever its fields say
  kLength,
  kChunks,
  kClose,  ///< the body ends when the server closes the connection
};

const char* toString(BodyFraming framing);

/// Why a response is not a whole, valid one.
enum class ResponseDefect : std::uint8_t {
  kHeadIncomplete,
  kHeadMalformed,
  kHeadTooLong,
  /// Several lengths that differ, or a length beside a transfer coding.
  kFramingAmbiguous,
  kBodyTooLong,
  kBodyIncomplete,
  /// The chunks' framing is out of proportion to their content.
  kChunkFramingTooLong,
  /// The bodies of all unfinished responses together are too long, and this one is the longest.
  kMemoryLimit,
};

const char* toString(ResponseDefect defect);

/// Follows one response. Interim responses (status 1xx) before it count as part of its head.
class ResponseFraming {
 public:
  /// Maximum size of all heads and trailers of one response together.
  static constexpr std::size_t kMaximumHeadBytes = 64U << 10;

  /// Maximum framing of chunks in bytes: this, plus kMaximumHeadBytes, for each byte of content.
  static constexpr std::uint64_t kMaximumFramingPerByte = 16;

  enum class Line : std::uint8_t {
    kStatus,
    kField,
    /// The empty line after an interim head.
    kInterimEnd,
    kHeadEnd,
    /// A line behind the body; its fields are not fields of the head.
    kTrailer,
  };

  /// \param head_request whether the request's method is HEAD
  /// \param maximum_body_bytes zero for no limit
  ResponseFraming(bool head_request, std::size_t maximum_body_bytes)
      : head_request_(head_request), maximum_body_bytes_(maximum_body_bytes) {}

  /// \param line with its line end
  Line takeLine(std::string_view line);
  /// Counts bytes of the body, without chunk framing.
  void takeBody(std::size_t bytes);

  /// Compares what was read from the connection, framing included, with what was taken.
  void checkFraming(std::uint64_t bytes_read);
  void reject(ResponseDefect defect);

  /// \return true once a line was taken.
  bool began() const { return head_bytes_ > 0; }
  BodyFraming framing() const { return framing_; }
  std::uint64_t bodyBytes() const { return body_bytes_; }
  /// \return true if the body has ended by what the head declares. False where only the parser of
  ///   chunks or the end of the connection can tell.
  bool complete() const;

  /// \return the first defect found so far; the rest of the response is not worth reading.
  std::optional<ResponseDefect> defect() const { return defect_; }
  /// \return the defect of a response of which nothing more will arrive. The end of chunks is left
  ///   to the parser that removes them.
  /// \param closed_in_order whether the server closed the connection, as opposed to a reset
  std::optional<ResponseDefect> defectAtEnd(bool closed_in_order) const;
  /// \return how far the response got, for logs.
  std::string describe() const;

 private:
  void takeStatusLine(std::string_view line);
  void takeField(std::string_view line);
  void takeLength(std::string_view value);
  void takeTransferCoding(std::string_view value);
  Line endHead();

  bool head_request_;
  std::size_t maximum_body_bytes_;
  int status_ = 0;
  bool in_head_ = false;
  BodyFraming framing_ = BodyFraming::kUnknown;
  std::optional<std::uint64_t> length_;
  bool chunked_ = false;
  std::size_t head_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
  std::optional<ResponseDefect> defect_;
};

}  // namespace cypresswall::runtime
