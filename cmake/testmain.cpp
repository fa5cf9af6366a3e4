#define BOOST_TEST_MODULE gypsumcroft
#include <boost/test/unit_test.hpp>
