/// Runs all CppUnit suites registered in the program. The optional argument is the path of one
/// suite or test ("LeaseTest" or "LeaseTest::grantsOnce").
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdio>
#include <iostream>
#include <string>

namespace {

/// \return the full name of the first test at or below `test` whose name, with or without
///   namespaces, is `wanted`; empty if there is none.
std::string findFullName(const CppUnit::Test& test, const std::string& wanted) {
  std::string name = test.getName();
  const std::string ending = "::" + wanted;
  const bool ends_so = name.size() > ending.size() &&
                       name.compare(name.size() - ending.size(), ending.size(), ending) == 0;
  if (name == wanted || ends_so) {
    return name;
  }
  for (int child = 0; child < test.getChildTestCount(); ++child) {
    std::string found = findFullName(*test.getChildTestAt(child), wanted);
    if (!found.empty()) {
      return found;
    }
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::Test* const tests = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  std::string selected;
  if (argc > 1) {
    selected = findFullName(*tests, argv[1]);
    if (selected.empty()) {
      std::cerr << "no test is named " << argv[1] << "\n";
      delete tests;
      return 1;
    }
  }
  CppUnit::TestRunner runner;
  runner.addTest(tests);
  runner.run(result, selected);
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  if (collector.runTests() == 0) {
    std::cerr << "no test was run\n";
    return 1;
  }
  return collector.wasSuccessful() ? 0 : 1;
}
