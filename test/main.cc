// Runs all tests and prints "N passed, N failed" as the last line.
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

auto main() -> int
{
    CppUnit::TestResult events;
    CppUnit::TestResultCollector results;
    events.addListener(&results);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(events);
    CppUnit::TextOutputter(&results, std::cerr).write();
    const auto failed = results.testFailuresTotal();
    std::cout << results.runTests() - failed << " passed, " << failed << " failed\n";
    return results.wasSuccessful() ? 0 : 1;
}
