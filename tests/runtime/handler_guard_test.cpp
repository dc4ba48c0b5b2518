#include "cypresswall/common/handler_guard.h"

#include <asio/post.hpp>
#include <new>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cypresswall/runtime/asio_scheduler.h"
#include "cypresswall/runtime/curl_multi.h"
#include "cypresswall/runtime/event_loop.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::runtime {
namespace {

using std::chrono::milliseconds;
using testing::httpAnswer;
using testing::runUntil;

class LineSink final : public common::LogSink {
 public:
  bool enabled(common::LogLevel) const override { return true; }
  void write(common::LogLevel, const std::string& line) override { lines.push_back(line); }
  std::vector<std::string> lines;
};

/// Throws on the first part of a body, or at the end.
class FailingHandler final : public CurlTransferHandler {
 public:
  void onBody(std::string_view) override {
    if (fails_on_body) {
      throw std::length_error("body");
    }
  }
  void onDone(CurlResponse response) override {
    done = std::move(response);
    if (!fails_on_body) {
      throw std::bad_alloc();
    }
  }
  bool fails_on_body = false;
  std::optional<CurlResponse> done;
};

class HandlerGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandlerGuardTest);
  CPPUNIT_TEST(timerThatThrowsEndsAloneAndIsNamed);
  CPPUNIT_TEST(callbackOfAnAnswerThatThrowsEndsAlone);
  CPPUNIT_TEST(streamWhoseHandlerThrowsIsBroken);
  CPPUNIT_TEST(streamWhoseHandlerThrowsAtItsEndEndsAlone);
  CPPUNIT_TEST(eventLoopGoesOnAfterAnyHandler);
  CPPUNIT_TEST(linesAreLimitedInNumberAndSize);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against: an exception of one timer's callback ends the process.
  void timerThatThrowsEndsAloneAndIsNamed() {
    AsioScheduler scheduler(context_, &guard_);
    bool later_ran = false;
    scheduler.schedule(common::Duration{0}, [] { throw std::runtime_error("odd value"); });
    scheduler.schedule(milliseconds(1), [&] { later_ran = true; });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return later_ran; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_.lines.size());
    expectInLine("source=timer");
    expectInLine("timerThatThrowsEndsAloneAndIsNamed");
    expectInLine("error=\"odd value\"");
    CPPUNIT_ASSERT_EQUAL(1.0, counters_.total("cypresswall_failed_handlers_total"));
  }

  // Guards against: an exception while an answer is read ends the process, or no later answer is
  // read.
  void callbackOfAnAnswerThatThrowsEndsAlone() {
    int answers = 0;
    for (int i = 0; i < 3; ++i) {
      server_.answer(httpAnswer(200, "body"));
      curl_.fetch(request("/answer"), [&](const CurlResponse&) {
        ++answers;
        throw std::bad_alloc();
      });
      CPPUNIT_ASSERT(runUntil(context_, [&] { return answers == i + 1; }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, curl_.running());
    expectInLine("source=answer origin=" + server_.address() + "/answer");
  }

  // Guards against: a stream of which an event could not be handled ends as if it were whole.
  void streamWhoseHandlerThrowsIsBroken() {
    FailingHandler handler;
    handler.fails_on_body = true;
    server_.answer(httpAnswer(200, "event"));
    const auto transfer = curl_.start(request("/stream"), handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler.done.has_value(); }));
    CPPUNIT_ASSERT(handler.done->outcome == CurlOutcome::kBroken);
    CPPUNIT_ASSERT_EQUAL(std::string("the handler of the answer failed"), handler.done->error);
    expectInLine("error=body");
    expectAnswered();
  }

  // Guards against: an exception at the end of a stream ends the process.
  void streamWhoseHandlerThrowsAtItsEndEndsAlone() {
    FailingHandler handler;
    server_.answer(httpAnswer(200, "event"));
    const auto transfer = curl_.start(request("/stream"), handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler.done.has_value(); }));
    CPPUNIT_ASSERT(handler.done->outcome == CurlOutcome::kAnswered);
    expectAnswered();
  }

  // Guards against: an exception that no inner boundary took ends the process.
  void eventLoopGoesOnAfterAnyHandler() {
    int ran = 0;
    for (int i = 0; i < 3; ++i) {
      asio::post(context_, [&] {
        ++ran;
        throw std::out_of_range("handler");
      });
    }
    asio::post(context_, [&] { context_.stop(); });
    runEventLoop(context_, guard_);
    CPPUNIT_ASSERT_EQUAL(3, ran);
    expectInLine("source=event_loop");
  }

  // Guards against: input that fails again and again, or quotes itself, fills the log.
  void linesAreLimitedInNumberAndSize() {
    const std::string huge(1U << 20, 'x');
    for (int i = 0; i < 1000; ++i) {
      CPPUNIT_ASSERT(!guard_.run(
          common::EventSource::kPeerMessage, [&] { return std::string(huge); },
          [&] { throw std::runtime_error(huge); }));
    }
    CPPUNIT_ASSERT_EQUAL(1000.0, counters_.total("cypresswall_failed_handlers_total"));
    // The failures may fall into two seconds.
    CPPUNIT_ASSERT(log_.lines.size() <= 2 * common::HandlerGuard::kLinesPerSecond);
    CPPUNIT_ASSERT(log_.lines.front().size() < 2000);
  }

 private:
  CurlRequest request(const std::string& target) const {
    CurlRequest request;
    request.address = server_.address();
    request.target = target;
    return request;
  }

  void expectAnswered() {
    std::optional<CurlResponse> response;
    server_.answer(httpAnswer(200, "next"));
    curl_.fetch(request("/next"), [&](CurlResponse answer) { response = std::move(answer); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return response.has_value(); }));
    CPPUNIT_ASSERT(response->outcome == CurlOutcome::kAnswered);
  }

  void expectInLine(const std::string& text) const {
    CPPUNIT_ASSERT(!log_.lines.empty());
    CPPUNIT_ASSERT_MESSAGE(log_.lines.front(), log_.lines.front().find(text) != std::string::npos);
  }

  asio::io_context context_;
  LineSink log_;
  common::CounterRegistry counters_;
  common::HandlerGuard guard_{log_, counters_};
  testing::ScriptedServer server_{context_};
  CurlMulti curl_{context_, {}, nullptr, nullptr, &guard_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandlerGuardTest);

}  // namespace
}  // namespace cypresswall::runtime
