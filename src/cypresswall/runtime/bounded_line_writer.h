/// Writes lines to a file descriptor without ever blocking on its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace cypresswall::runtime {

/// Lines that the descriptor does not accept are buffered up to a limit and written before later
/// lines; lines beyond the limit are dropped and counted. A partially written line is completed
/// before the next one.
class BoundedLineWriter {
 public:
  /// \param descriptor not owned; must stay open for the lifetime of the writer
  /// \param maximum_buffered_bytes limit of the buffer
  BoundedLineWriter(int descriptor, std::size_t maximum_buffered_bytes)
      : descriptor_(descriptor), maximum_buffered_bytes_(maximum_buffered_bytes) {}

  /// \param line including its line terminator
  void write(std::string line);
  /// Writes what the descriptor accepts now. \return true if the buffer is empty
  bool flush();
  /// Writes the buffered lines, waiting up to `milliseconds` each time that the descriptor accepts
  /// nothing; for use at process exit.
  void flushWithin(int milliseconds);
  /// \return the number of dropped lines that no earlier call returned; zero while lines are
  ///   buffered, so that a report of the loss follows the buffered lines
  std::uint64_t takeDropped();
  std::size_t bufferedBytes() const { return buffered_bytes_; }

 private:
  bool writable(int milliseconds) const;
  /// Writes part of the first line. \return false if the descriptor accepts nothing
  bool writeSome();

  int descriptor_;
  std::size_t maximum_buffered_bytes_;
  std::deque<std::string> lines_;
  /// Number of bytes of the first line already written.
  std::size_t first_written_ = 0;
  std::size_t buffered_bytes_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace cypresswall::runtime
