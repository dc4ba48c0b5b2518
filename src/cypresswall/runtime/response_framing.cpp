#include "cypresswall/runtime/response_framing.h"

#include <algorithm>
#include <charconv>

#include "cypresswall/common/header_names.h"

namespace cypresswall::runtime {
namespace {

constexpr std::string_view kBlanks = " \t";
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
/// Statuses above have no class and mean nothing (RFC 9110, section 15).
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string_view withoutLineEnd(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

std::string_view trimmed(std::string_view text) {
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

/// \return the number in a text of digits only; nothing if it is anything else or too large.
template <typename Number>
std::optional<Number> numberIn(std::string_view text) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  const bool digits = !text.empty() && text.front() != '-';
  return digits && read.ec == std::errc() && read.ptr == end ? std::optional(number) : std::nullopt;
}

/// \return true if another status line begins within the text, as where a part of a surplus
/// response precedes the one that is due, or if the text holds a line end that is not the line's
/// own.
bool holdsAnotherLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusAt = kVersion.size() + 2;
  constexpr std::size_t kStatusDigits = 3;
  for (auto at = text.find(kVersion); at != text.npos; at = text.find(kVersion, at + 1)) {
    const std::string_view status = text.substr(std::min(at + kStatusAt, text.size()));
    if (status.size() >= kStatusDigits && numberIn<int>(status.substr(0, kStatusDigits))) {
      return true;
    }
  }
  return text.find('\r') != text.npos;
}

}  // namespace

const char* toString(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kUnknown:
      return "unknown";
    case BodyFraming::kNone:
      return "none";
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kClose:
      return "close";
  }
  return "unknown";
}

const char* toString(ResponseDefect defect) {
  switch (defect) {
    case ResponseDefect::kHeadIncomplete:
      return "head-incomplete";
    case ResponseDefect::kHeadMalformed:
      return "head-malformed";
    case ResponseDefect::kHeadTooLong:
      return "head-too-long";
    case ResponseDefect::kFramingAmbiguous:
      return "framing-ambiguous";
    case ResponseDefect::kBodyTooLong:
      return "body-too-long";
    case ResponseDefect::kBodyIncomplete:
      return "body-incomplete";
    case ResponseDefect::kChunkFramingTooLong:
      return "chunk-framing-too-long";
    case ResponseDefect::kMemoryLimit:
      return "memory-limit";
  }
  return "unknown";
}

ResponseFraming::Line ResponseFraming::takeLine(std::string_view line) {
  head_bytes_ += line.size();
  if (head_bytes_ > kMaximumHeadBytes) {
    reject(ResponseDefect::kHeadTooLong);
  }
  if (framing_ != BodyFraming::kUnknown) {
    return Line::kTrailer;
  }
  if (!in_head_) {
    takeStatusLine(withoutLineEnd(line));
    return Line::kStatus;
  }
  const std::string_view content = withoutLineEnd(line);
  if (content.empty()) {
    return endHead();
  }
  takeField(content);
  return Line::kField;
}

void ResponseFraming::takeStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusAt = kVersion.size() + 2;
  constexpr std::size_t kStatusDigits = 3;
  in_head_ = true;
  length_.reset();
  chunked_ = false;
  const std::string_view rest = line.substr(std::min(kStatusAt, line.size()));
  const auto status = numberIn<int>(rest.substr(0, kStatusDigits));
  const bool ended =
      rest.size() == kStatusDigits || rest.substr(0, kStatusDigits + 1).ends_with(' ');
  const bool valid =
      status && *status >= kFirstStatus && *status <= kLastStatus && *status != kSwitchingProtocols;
  if (!line.starts_with(kVersion) || !valid || !ended || holdsAnotherLine(rest)) {
    reject(ResponseDefect::kHeadMalformed);
    return;
  }
  status_ = *status;
}

void ResponseFraming::takeField(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !common::isHeaderName(line.substr(0, colon)) ||
      holdsAnotherLine(line.substr(colon))) {
    reject(ResponseDefect::kHeadMalformed);
    return;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trimmed(line.substr(colon + 1));
  if (common::sameHeaderName(name, "Content-Length")) {
    takeLength(value);
  } else if (common::sameHeaderName(name, "Transfer-Encoding")) {
    takeTransferCoding(value);
  }
}

void ResponseFraming::takeLength(std::string_view value) {
  const auto length = numberIn<std::uint64_t>(value);
  if (!length) {
    reject(ResponseDefect::kHeadMalformed);
  } else if (length_ && *length_ != *length) {
    reject(ResponseDefect::kFramingAmbiguous);
  }
  length_ = length;
}

void ResponseFraming::takeTransferCoding(std::string_view value) {
  // No request asks for another coding.
  if (chunked_ || !common::sameHeaderName(value, "chunked")) {
    reject(ResponseDefect::kHeadMalformed);
  }
  chunked_ = true;
}

ResponseFraming::Line ResponseFraming::endHead() {
  in_head_ = false;
  if (status_ < kFirstFinalStatus) {
    return Line::kInterimEnd;
  }
  if (chunked_ && length_) {
    reject(ResponseDefect::kFramingAmbiguous);
    return Line::kHeadEnd;
  }
  if (head_request_ || status_ == kNoContent || status_ == kNotModified) {
    framing_ = BodyFraming::kNone;
  } else if (chunked_) {
    framing_ = BodyFraming::kChunks;
  } else {
    framing_ = length_ ? BodyFraming::kLength : BodyFraming::kClose;
  }
  const bool too_long = maximum_body_bytes_ != 0 && length_.value_or(0) > maximum_body_bytes_;
  if (framing_ == BodyFraming::kLength && too_long) {
    reject(ResponseDefect::kBodyTooLong);
  }
  return Line::kHeadEnd;
}

void ResponseFraming::takeBody(std::size_t bytes) {
  body_bytes_ += bytes;
  if (maximum_body_bytes_ != 0 && body_bytes_ > maximum_body_bytes_) {
    reject(ResponseDefect::kBodyTooLong);
  }
}

bool ResponseFraming::complete() const {
  return framing_ == BodyFraming::kNone ||
         (framing_ == BodyFraming::kLength && body_bytes_ == length_);
}

void ResponseFraming::checkFraming(std::uint64_t bytes_read) {
  const std::uint64_t most =
      head_bytes_ + body_bytes_ + kMaximumHeadBytes + kMaximumFramingPerByte * body_bytes_;
  if (framing_ == BodyFraming::kChunks && bytes_read > most) {
    reject(ResponseDefect::kChunkFramingTooLong);
  }
}

std::optional<ResponseDefect> ResponseFraming::defectAtEnd(bool closed_in_order) const {
  if (defect_) {
    return defect_;
  }
  switch (framing_) {
    case BodyFraming::kUnknown:
      return ResponseDefect::kHeadIncomplete;
    case BodyFraming::kLength:
      return body_bytes_ == length_ ? std::nullopt : std::optional(ResponseDefect::kBodyIncomplete);
    case BodyFraming::kClose:
      return closed_in_order ? std::nullopt : std::optional(ResponseDefect::kBodyIncomplete);
    case BodyFraming::kNone:
    case BodyFraming::kChunks:
      return std::nullopt;
  }
  return std::nullopt;
}

std::string ResponseFraming::describe() const {
  if (framing_ == BodyFraming::kUnknown) {
    return std::to_string(head_bytes_) + " bytes of a head";
  }
  std::string text = std::to_string(body_bytes_);
  if (framing_ == BodyFraming::kLength) {
    text += " of " + std::to_string(*length_);
  }
  return text + " bytes of a body, by " + toString(framing_);
}

void ResponseFraming::reject(ResponseDefect defect) {
  if (!defect_) {
    defect_ = defect;
  }
}

}  // namespace cypresswall::runtime
