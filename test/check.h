// Runs RapidCheck properties as CppUnit assertions.
#pragma once

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>

/// Fails the CppUnit test if the property does not hold. RapidCheck prints the counterexample and its seed to standard error.
#define CHECK_PROPERTY(description, ...) CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, __VA_ARGS__))
