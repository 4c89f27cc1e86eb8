#include "support/loopback.hpp"

#include <knapweedchute/net/asio_timer_queue.hpp>
#include <knapweedchute/net/call_client.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

struct call_client_fixture
{
    boost::asio::io_context loop;
    asio_timer_queue timers{loop};
    boost::asio::ip::tcp::acceptor acceptor{loop,
                                            {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
    call_client client{loop, timers, {loopback_ip, acceptor.local_endpoint().port()}};
    std::vector<exchange_status> ends;

    auto call(duration timeout) -> void
    {
        client.call(client.encode("GET", "/", ""), timeout,
                    [this](const auto& result) { ends.push_back(result.status); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(call_client_suite, call_client_fixture)

BOOST_AUTO_TEST_CASE(aborted_call_ends_at_once_and_the_next_one_uses_a_new_connection)
{
    auto connections = std::size_t{0};
    auto target = std::thread{[&] {
        auto other = boost::asio::io_context{};
        auto request = std::string{};
        auto silent = acceptor.accept(other);
        connections += 1;
        boost::asio::read_until(silent, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        auto answering = acceptor.accept(other);
        connections += 1;
        request.clear();
        boost::asio::read_until(answering, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(answering, boost::asio::buffer(std::string{
                                          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}));
    }};
    call(seconds{30});
    timers.at(timers.now() + milliseconds{200}, [this] {
        client.abort_call();
        client.abort_call();
        call(seconds{30});
    });
    while (ends.size() < 2) {
        loop.run_one();
    }
    target.join();
    BOOST_TEST(connections == 2U);
    BOOST_TEST((ends ==
                std::vector<exchange_status>{exchange_status::unknown, exchange_status::answered}));
}

BOOST_AUTO_TEST_CASE(abort_without_a_call_has_no_effect)
{
    client.abort_call();
    BOOST_TEST(ends.empty());
}

BOOST_AUTO_TEST_SUITE_END()
