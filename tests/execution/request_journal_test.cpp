#include "cypresswall/execution/request_journal.h"

#include "tests/support/property.h"

namespace cypresswall::execution {
namespace {

class RequestJournalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestJournalTest);
  CPPUNIT_TEST(keepsRunningAndTheLastEndedRequests);
  CPPUNIT_TEST(reusedIdentifierFindsNewerRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keepsRunningAndTheLastEndedRequests() {
    RequestJournal journal(2);
    begin(journal, "running");
    for (const auto* id : {"a", "b", "c"}) {
      journal.end(begin(journal, id), "done", {});
    }
    CPPUNIT_ASSERT(!journal.find("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), journal.find("c")->state);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, journal.running().size());
    CPPUNIT_ASSERT_EQUAL(std::string("running"), journal.running()[0]->request_id);
  }

  void reusedIdentifierFindsNewerRequest() {
    RequestJournal journal(1);
    journal.end(begin(journal, "a"), "done", {});
    begin(journal, "a");
    journal.end(begin(journal, "b"), "done", {});
    CPPUNIT_ASSERT(journal.find("a")->running);
  }

 private:
  static std::shared_ptr<RequestRecord> begin(RequestJournal& journal, const std::string& id) {
    RequestRecord record;
    record.request_id = id;
    return journal.begin(std::move(record));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestJournalTest);

}  // namespace
}  // namespace cypresswall::execution
