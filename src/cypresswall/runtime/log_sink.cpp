#include "cypresswall/runtime/log_sink.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <cstdint>
#include <log4cplus/config.hxx>
#include <memory>

#include "cypresswall/runtime/bounded_line_writer.h"

namespace cypresswall::runtime {
namespace {

/// UTC time with milliseconds; all other fields are part of the message.
constexpr const char* kLinePattern = "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z %m%n";

log4cplus::LogLevel toLog4cplus(common::LogLevel level) {
  switch (level) {
    case common::LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case common::LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case common::LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case common::LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

/// Maximum size of the output buffered while the reader is stalled.
constexpr std::size_t kMaximumBufferedBytes = std::size_t{256} << 10U;
/// How long process exit waits for the reader to accept buffered lines.
constexpr int kFinalFlushTimeoutMilliseconds = 50;

}  // namespace

/// Formats events and passes them to a non-blocking writer.
class LineAppender final : public log4cplus::Appender {
 public:
  LineAppender() { setLayout(std::make_unique<log4cplus::PatternLayout>(kLinePattern)); }
  ~LineAppender() override { destructorImpl(); }
  LineAppender(const LineAppender&) = delete;
  LineAppender& operator=(const LineAppender&) = delete;

  void close() override {
    writer_.flushWithin(kFinalFlushTimeoutMilliseconds);
    closed = true;
  }
  std::uint64_t takeDropped() { return writer_.takeDropped(); }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    writer_.write(formatEvent(event));
  }

 private:
  BoundedLineWriter writer_{STDOUT_FILENO, kMaximumBufferedBytes};
};

namespace {

/// Initializes log4cplus for the lifetime of the process. It is never shut down, as the destructor
/// of the library's Initializer would do: shutdown joins the library's threads, which is
/// unnecessary at process exit and did not return on the users' platform.
log4cplus::Logger makeLogger() {
  log4cplus::initialize();
  return log4cplus::Logger::getInstance("cypresswall");
}

}  // namespace

common::LogLevel parseLogLevel(const std::string& name) {
  for (const auto level : {common::LogLevel::kDebug, common::LogLevel::kInfo,
                           common::LogLevel::kWarning, common::LogLevel::kError}) {
    if (name == toString(level)) {
      return level;
    }
  }
  throw LogLevelError("'" + name + "' is no log level; use debug, info, warning or error");
}

const char* toString(common::LogLevel level) {
  switch (level) {
    case common::LogLevel::kDebug:
      return "debug";
    case common::LogLevel::kInfo:
      return "info";
    case common::LogLevel::kWarning:
      return "warning";
    case common::LogLevel::kError:
      return "error";
  }
  return "error";
}

Log4cplusSink::Log4cplusSink(common::LogLevel level)
    : logger_(makeLogger()), appender_(new LineAppender()), level_(level) {
  // log4cplus's threads only serve asynchronous appenders, which are not used.
  log4cplus::setThreadPoolSize(1);
  logger_.setLogLevel(log4cplus::ALL_LOG_LEVEL);
  logger_.setAdditivity(false);
  logger_.removeAllAppenders();
  logger_.addAppender(log4cplus::SharedAppenderPtr(appender_.get()));
}

Log4cplusSink::~Log4cplusSink() { logger_.removeAllAppenders(); }

void Log4cplusSink::write(common::LogLevel level, const std::string& line) {
  writeLine(level, line);
  if (const std::uint64_t dropped = appender_->takeDropped(); dropped > 0) {
    writeLine(common::LogLevel::kWarning,
              "event=log_lines_dropped lines=" + std::to_string(dropped));
  }
}

void Log4cplusSink::writeLine(common::LogLevel level, const std::string& line) {
  const std::string whole = std::string("level=") + toString(level) + " " + process_pairs_ + line;
  logger_.forcedLog(toLog4cplus(level), whole);
}

void Log4cplusSink::setProcess(const std::string& node, const std::string& zone) {
  process_pairs_ =
      "node=" + common::quoteLogValue(node) + " zone=" + common::quoteLogValue(zone) + " ";
}

}  // namespace cypresswall::runtime
