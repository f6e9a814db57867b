// Joins RapidCheck properties and CppUnit tests.
#pragma once

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>

/// Fails the CppUnit test where the property does not hold; the counterexample and its seed go to standard error.
#define CHECK_PROPERTY(description, ...) CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, __VA_ARGS__))
