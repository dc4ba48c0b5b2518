#include "cypresswall/runtime/bounded_line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace cypresswall::runtime {

void BoundedLineWriter::write(std::string line) {
  const bool fits = buffered_bytes_ + line.size() <= maximum_buffered_bytes_ || flush();
  if (!fits && buffered_bytes_ + line.size() > maximum_buffered_bytes_) {
    ++dropped_;
    return;
  }
  buffered_bytes_ += line.size();
  lines_.push_back(std::move(line));
  flush();
}

bool BoundedLineWriter::flush() {
  while (!lines_.empty()) {
    if (!writable(0) || !writeSome()) {
      return false;
    }
  }
  return true;
}

void BoundedLineWriter::flushWithin(int milliseconds) {
  while (!lines_.empty() && writable(milliseconds) && writeSome()) {
  }
}

std::uint64_t BoundedLineWriter::takeDropped() {
  return lines_.empty() ? std::exchange(dropped_, 0) : 0;
}

bool BoundedLineWriter::writable(int milliseconds) const {
  pollfd wanted{descriptor_, POLLOUT, 0};
  return poll(&wanted, 1, milliseconds) == 1 && (wanted.revents & POLLOUT) != 0;
}

bool BoundedLineWriter::writeSome() {
  const std::string& line = lines_.front();
  // A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
  const std::size_t size = std::min<std::size_t>(line.size() - first_written_, PIPE_BUF);
  const ssize_t written = ::write(descriptor_, line.data() + first_written_, size);
  if (written < 0) {
    return errno == EINTR;
  }
  const auto bytes = static_cast<std::size_t>(written);
  first_written_ += bytes;
  buffered_bytes_ -= bytes;
  if (first_written_ == line.size()) {
    lines_.pop_front();
    first_written_ = 0;
  }
  return true;
}

}  // namespace cypresswall::runtime
