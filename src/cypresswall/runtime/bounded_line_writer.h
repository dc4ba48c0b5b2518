/// Writes lines to a file descriptor without ever waiting for its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace cypresswall::runtime {

/// Lines that the descriptor does not take are kept up to a bound and written with later ones;
/// lines beyond the bound are dropped and counted. A line that was begun is ended before the next
/// one.
class BoundedLineWriter {
 public:
  /// \param descriptor stays open while the writer lives; not owned
  /// \param maximum_buffered_bytes bound of what waits
  BoundedLineWriter(int descriptor, std::size_t maximum_buffered_bytes)
      : descriptor_(descriptor), maximum_buffered_bytes_(maximum_buffered_bytes) {}

  /// \param line with its end of line
  void write(std::string line);
  /// Writes what the descriptor takes now. \return true if nothing waits any more
  bool flush();
  /// Waits up to `milliseconds` for the descriptor to take what is left; for the end of a process.
  void flushWithin(int milliseconds);
  /// \return lines dropped since the last call; zero while lines wait, so that a note of it follows
  ///   what was kept
  std::uint64_t takeDropped();
  std::size_t bufferedBytes() const { return kept_bytes_; }

 private:
  bool writable(int milliseconds) const;
  /// Writes a part of the first line. \return false if the descriptor takes nothing
  bool writeSome();

  int descriptor_;
  std::size_t maximum_buffered_bytes_;
  std::deque<std::string> kept_;
  /// Bytes of the first line that were written already.
  std::size_t first_written_ = 0;
  std::size_t kept_bytes_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace cypresswall::runtime
