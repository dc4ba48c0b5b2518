#include "platform/event_splitter.h"

#include <sstream>
#include <vector>

#include "tests/support/property.h"

namespace cypresswall::objects_platform {
namespace {

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(givesWholeEventsInAnySplit);
  CPPUNIT_TEST(buffersPartialEvents);
  CPPUNIT_TEST(readsIdentifiers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void givesWholeEventsInAnySplit() {
    testing::requireProperty("splits", 300, [](const std::vector<std::uint8_t>& lengths) {
      std::vector<std::string> events;
      std::string body;
      for (std::size_t i = 0; i < lengths.size(); ++i) {
        const std::string end = i % 2 == 0 ? "\n" : "\r\n";
        std::ostringstream event;
        event << "id: " << i << end << "data: " << std::string(lengths[i] % 7, 'x') << end << end;
        events.push_back(event.str());
        body += events.back();
      }
      EventSplitter splitter;
      std::vector<std::string> given;
      while (!body.empty()) {
        const std::size_t size = *rc::gen::inRange<std::size_t>(1, body.size() + 1);
        splitter.feed(body.substr(0, size), [&](const std::string& event) {
          given.push_back(event);
          return true;
        });
        body.erase(0, size);
      }
      RC_ASSERT(given == events);
      RC_ASSERT(!splitter.hasPartialEvent());
    });
  }

  void buffersPartialEvents() {
    EventSplitter splitter;
    int events = 0;
    const auto count = [&](const std::string&) { return ++events > 0; };
    splitter.feed("id: 1\ndata: a\n", count);
    CPPUNIT_ASSERT_EQUAL(0, events);
    CPPUNIT_ASSERT(splitter.hasPartialEvent());
    splitter.feed("\n", count);
    CPPUNIT_ASSERT_EQUAL(1, events);
    CPPUNIT_ASSERT(!splitter.hasPartialEvent());
  }

  void readsIdentifiers() {
    CPPUNIT_ASSERT_EQUAL(std::string("17"),
                         identifierOf("x-version: 2\r\nid: 17\r\ndata: b\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("4"), identifierOf("id:4\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::string(), identifierOf("data: id: 4\n\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

}  // namespace
}  // namespace cypresswall::objects_platform
