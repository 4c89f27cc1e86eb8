#define BOOST_TEST_MODULE knapweedchute
#include <boost/test/unit_test.hpp>
