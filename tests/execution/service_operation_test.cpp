#include "cypresswall/execution/service_operation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cypresswall::execution {
namespace {

class ServiceOperationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceOperationTest);
  CPPUNIT_TEST(emptyMethodMatchesAny);
  CPPUNIT_TEST_SUITE_END();

 public:
  void emptyMethodMatchesAny() {
    configuration::HttpServiceDeclaration service;
    service.operations = {{"", "/a/", true}, {"", "/a/b/", true}, {"POST", "/a/b/", false}};
    CPPUNIT_ASSERT_EQUAL(std::string("/a/"), findOperation(service, "PUT", "/a/x").path_prefix);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"),
                         findOperation(service, "PUT", "/a/b/x?y").path_prefix);
    CPPUNIT_ASSERT(findOperation(service, "DELETE", "/a/b/x").repeatable);
    CPPUNIT_ASSERT(!findOperation(service, "POST", "/a/b/x").repeatable);
    CPPUNIT_ASSERT(!findOperation(service, "PUT", "/other").repeatable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceOperationTest);

}  // namespace
}  // namespace cypresswall::execution
