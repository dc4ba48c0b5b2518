#include "cypresswall/emulation/response_damage.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace cypresswall::emulation {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLengthField = "\r\ncontent-length: ";
constexpr std::string_view kCodingField = "\r\ntransfer-encoding: ";
constexpr std::string_view kLastChunk = "\r\n0\r\n\r\n";
constexpr std::size_t kFillerBytes = 1024;
/// Position in a body of unknown size at which it stops at the latest.
constexpr std::size_t kLatestStop = 400;

/// \return the position of a field's value; npos if there is no such field
std::size_t valuePosition(std::string_view head, std::string_view field) {
  const auto same = [](char left, char right) {
    return std::tolower(static_cast<unsigned char>(left)) == right;
  };
  const auto found = std::search(head.begin(), head.end(), field.begin(), field.end(), same);
  return found == head.end() ? std::string_view::npos
                             : static_cast<std::size_t>(found - head.begin()) + field.size();
}

std::optional<std::size_t> lengthOf(std::string_view head) {
  const auto position = valuePosition(head, kLengthField);
  std::size_t length = 0;
  if (position == std::string_view::npos ||
      std::from_chars(head.data() + position, head.data() + head.size(), length).ec !=
          std::errc()) {
    return std::nullopt;
  }
  return length;
}

std::string withoutField(std::string head, std::string_view field) {
  const auto value = valuePosition(head, field);
  if (value != std::string::npos) {
    const auto begin = value - field.size();
    head.erase(begin, head.find(kLineEnd, value) - begin);
  }
  return head;
}

}  // namespace

void ResponseDamager::takeRequest() {
  if (stage_ == Stage::kBody) {
    stage_ = Stage::kNextResponse;
  }
}

ResponseDamager::Output ResponseDamager::takeResponse(std::string_view bytes) {
  if (stage_ == Stage::kNextResponse) {
    kind_.reset();
    limit_.reset();
    at_limit_ = Then::kGoOn;
    head_.clear();
    copy_.clear();
    if (!damage_.kinds.empty() && random_.unit() < damage_.share) {
      kind_ = damage_.kinds[random_.below(damage_.kinds.size())];
    }
    stage_ = kind_ ? Stage::kHead : Stage::kBody;
  }
  if (stage_ == Stage::kBody) {
    return pass(bytes);
  }
  head_ += bytes;
  const auto head_end = head_.find(kHeadEnd);
  if (head_end == std::string::npos) {
    return {};
  }
  stage_ = Stage::kBody;
  const std::string body = head_.substr(head_end + kHeadEnd.size());
  head_.resize(head_end + kHeadEnd.size());
  return damageHead(body);
}

ResponseDamager::Output ResponseDamager::damageHead(std::string_view body) {
  const auto length = lengthOf(head_);
  std::string head = head_;
  switch (*kind_) {
    case DamageKind::kStopInStatusLine:
    case DamageKind::kStopInHead:
    case DamageKind::kStopInLength:
    case DamageKind::kStopInBody:
      limit_ = stopPosition(length);
      at_limit_ = damage_.reset ? Then::kReset : Then::kClose;
      break;
    case DamageKind::kDifferentLengths:
      head = withSecondLength(length);
      break;
    case DamageKind::kInvalidStatus:
      head = withInvalidStatus();
      break;
    case DamageKind::kWithoutLength:
      if (length.value_or(0) > 0) {
        head = withoutField(head_, kLengthField);
        limit_ = head.size() + (damage_.reset ? random_.below(*length) : *length);
        at_limit_ = damage_.reset ? Then::kReset : Then::kClose;
      }
      break;
    case DamageKind::kSentTwice:
      if (length) {
        limit_ = head_.size() + *length;
      }
      at_limit_ = random_.below(2) == 0 ? Then::kSendFillerLate : Then::kSendFillerWithNextRequest;
      break;
    case DamageKind::kEndlessHead:
    case DamageKind::kEndlessBody:
      return withoutEnd();
  }
  return pass(head.append(body));
}

ResponseDamager::Output ResponseDamager::pass(std::string_view bytes) {
  Output output;
  output.bytes = bytes.substr(0, limit_.value_or(std::string_view::npos));
  if (limit_) {
    *limit_ -= output.bytes.size();
  }
  bool ended = limit_ == std::size_t{0};
  if (kind_ == DamageKind::kSentTwice) {
    copy_ += output.bytes;
    ended = ended || (!limit_ && copy_.ends_with(kLastChunk));
  }
  if (ended && at_limit_ != Then::kGoOn) {
    output.then = std::exchange(at_limit_, Then::kGoOn);
    if (kind_ == DamageKind::kSentTwice) {
      output.then_close = random_.below(2) == 0;
      output.filler = copy_.substr(0, output.then_close ? copy_.size() / 2 : copy_.size());
    }
  }
  return output;
}

std::size_t ResponseDamager::stopPosition(std::optional<std::size_t> length) {
  const std::size_t status_line = head_.find(kLineEnd) + kLineEnd.size();
  const auto digits = valuePosition(head_, kLengthField);
  const bool chunked = valuePosition(head_, kCodingField) != std::string::npos;
  switch (*kind_) {
    case DamageKind::kStopInStatusLine:
      return 1 + random_.below(status_line - 1);
    case DamageKind::kStopInLength:
      if (length) {
        return digits + 1 + random_.below(head_.find(kLineEnd, digits) - digits);
      }
      break;
    case DamageKind::kStopInBody:
      if (length.value_or(0) > 0) {
        return head_.size() + random_.below(*length);
      }
      if (chunked) {
        return head_.size() + random_.below(kLatestStop);
      }
      break;
    default:
      break;
  }
  return status_line + random_.below(head_.size() - status_line);
}

std::string ResponseDamager::withInvalidStatus() {
  constexpr std::array<const char*, 6> kStatuses = {"000", "099", "600", "999", "1000", "20"};
  constexpr std::size_t kStatusDigits = 3;
  std::string head = head_;
  const std::size_t status = head.find(' ') + 1;
  return head.replace(status, kStatusDigits, kStatuses.at(random_.below(kStatuses.size())));
}

std::string ResponseDamager::withSecondLength(std::optional<std::size_t> length) {
  if (length.value_or(0) == 0 && valuePosition(head_, kCodingField) == std::string::npos) {
    return head_;
  }
  const std::size_t other = length ? random_.below(*length) : 1;
  const bool first = random_.below(2) == 0;
  std::string head = head_;
  head.insert(first ? head.find(kLineEnd) : head.size() - kHeadEnd.size(),
              "\r\nContent-Length: " + std::to_string(other));
  return head;
}

ResponseDamager::Output ResponseDamager::withoutEnd() {
  Output output;
  output.then = Then::kRepeatFiller;
  const std::string filler(kFillerBytes, 'x');
  if (kind_ == DamageKind::kEndlessHead) {
    output.bytes = head_.substr(0, head_.size() - kLineEnd.size());
    output.filler = "X-Filler: " + filler + "\r\n";
    return output;
  }
  output.bytes = withoutField(withoutField(head_, kLengthField), kCodingField);
  if (random_.below(2) == 0) {
    output.bytes.insert(output.bytes.find(kLineEnd), "\r\nTransfer-Encoding: chunked");
    output.filler = "400\r\n" + filler + "\r\n";
  } else {
    output.filler = filler;
  }
  return output;
}

}  // namespace cypresswall::emulation
