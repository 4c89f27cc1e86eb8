#include "names.hpp"
#include "support/view_feed_fixture.hpp"

#include <knapweedchute/feed/feed_subscriber.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

const auto odd_names = std::vector<std::string>{
    "&",    "+",       "#",        "%",          "%41",         " ",        "=",
    "?",    "/",       "\"",       "\\",         "\n",          "\r\n",     "\t",
    "\x7f", {"\0", 1}, "\xc3\xa9", "&after=z-9", "&prefix=op/", " HTTP/1.1"};

/// An instance that starts and reads the whole list from a store on loopback, in small pages.
struct odd_entries_fixture : view_feed_fixture
{
    feed_subscriber subscriber{timers,
                               client,
                               [this](const member&) -> feed_source& { return client; },
                               [this] { return std::vector<member>{self}; },
                               self,
                               feed,
                               std::string{platform::operator_prefix},
                               feed_limits{seconds{3}},
                               [this] { return timers.now().time_since_epoch(); }};

    odd_entries_fixture()
    {
        store.set_page_size(page_size);
        store.put("op/config", R"({"version":1,"routes":[],"services":[]})");
        for (const auto* id : {"a-1", "m-1", "z-1", "z-2", "z-3"}) {
            put_target(id);
        }
    }

    auto put_target(const std::string& id) -> void
    {
        store.put("servers/" + id,
                  R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,)"
                  R"("state":"ready","coldRemainingMs":0,"sequence":4,"born":12})");
    }

    /// Writes entries that no target wrote, so that a page ends at each of them.
    auto put_odd(const std::string& name) -> void
    {
        for (const auto* suffix : {"", "1", "2", "3"}) {
            store.put("servers/m" + name + suffix, "{}");
        }
    }

    /// Reads the list and follows it for some time.
    auto start() -> void
    {
        subscriber.start();
        loop.run_for(milliseconds{600});
    }

    static constexpr auto page_size = std::size_t{2};
    /// Pages that a complete read of the list can need, once for each prefix.
    static constexpr auto max_pages = std::size_t{12};
};

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries_suite)

BOOST_DATA_TEST_CASE_F(odd_entries_fixture, list_whose_pages_end_at_odd_names_is_read_to_its_end,
                       boost::unit_test::data::make(odd_names), name)
{
    put_odd(name);
    start();
    BOOST_TEST(view.ready());
    BOOST_TEST(view.targets().usable("s").size() == 5U);
    BOOST_TEST(store.ranges() <= max_pages);
}

BOOST_AUTO_TEST_SUITE_END()
