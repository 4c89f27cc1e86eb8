#include "support/loopback.hpp"

#include <knapweedchute/net/target_connection.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/test/unit_test.hpp>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

const auto names = header_names{"Id", "Wait", "Only", "Not-Run", "Proof", "Proofs", "Missing"};

struct connection_fixture
{
    boost::asio::io_context loop;
    std::optional<exchange_result> result;
    std::shared_ptr<target_connection> connection;

    /// Sends one request to a target that answers with `bytes` and then closes, or stays connected.
    auto send_request(const std::string& bytes, bool stay_connected = false)
        -> const exchange_result&
    {
        auto acceptor = boost::asio::ip::tcp::acceptor{
            loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
        auto target = std::thread{[&] {
            auto other = boost::asio::io_context{};
            auto socket = acceptor.accept(other);
            auto request = std::string{};
            auto failure = boost::system::error_code{};
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                    failure);
            boost::asio::write(socket, boost::asio::buffer(bytes), failure);
            if (stay_connected) {
                auto rest = std::string{};
                boost::asio::read(socket, boost::asio::dynamic_buffer(rest), failure);
            }
        }};
        connection = std::make_shared<target_connection>(loop, names, [](const auto& /*idle*/) {});
        connection->open({loopback_ip, acceptor.local_endpoint().port()},
                         {nullptr, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "r1", true, true},
                         [this](auto ended) {
                             result = std::move(ended);
                             loop.stop();
                         });
        loop.run();
        was_closed = connection->closed();
        connection->close();
        target.join();
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    bool was_closed = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(target_connection_suite, connection_fixture)

BOOST_AUTO_TEST_CASE(complete_answer_keeps_the_connection_open)
{
    const auto& end =
        send_request("HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 2\r\n\r\nab", true);
    BOOST_TEST((end.status == exchange_status::answered));
    BOOST_TEST(end.answer.body == "ab");
    BOOST_TEST(!was_closed);
}

BOOST_AUTO_TEST_CASE(answer_with_trailing_bytes_is_complete_and_the_connection_closes)
{
    const auto& end = send_request(
        "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n", true);
    BOOST_TEST((end.status == exchange_status::answered));
    BOOST_TEST(end.answer.body == "ab");
    BOOST_TEST(was_closed);
}

BOOST_AUTO_TEST_CASE(answer_to_another_request_is_skipped)
{
    const auto& end = send_request("HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 2\r\n\r\nno"
                                   "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nab",
                                   true);
    BOOST_TEST((end.status == exchange_status::answered));
    BOOST_TEST(end.answer.body == "ab");
    BOOST_TEST(was_closed);
}

BOOST_AUTO_TEST_CASE(only_an_answer_to_another_request_is_broken)
{
    const auto& end = send_request("HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 2\r\n\r\nno");
    BOOST_TEST((end.status == exchange_status::broken));
}

BOOST_AUTO_TEST_CASE(answer_without_a_length_ends_with_its_connection)
{
    const auto& end = send_request("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nabc");
    BOOST_TEST((end.status == exchange_status::answered));
    BOOST_TEST(end.answer.body == "abc");
}

BOOST_AUTO_TEST_CASE(truncated_or_malformed_answer_is_broken)
{
    for (const auto* bytes :
         {"", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 2",
          "nonsense\r\n\r\n",
          "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"}) {
        loop.restart();
        result.reset();
        BOOST_TEST((send_request(bytes).status == exchange_status::broken), bytes);
        BOOST_TEST(!result->never_sent);
    }
}

BOOST_AUTO_TEST_CASE(answer_with_not_run_header_is_not_run)
{
    const auto& end =
        send_request("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", true);
    BOOST_TEST((end.status == exchange_status::not_run));
    BOOST_TEST(!end.never_sent);
}

BOOST_AUTO_TEST_CASE(answer_421_is_wrong_target)
{
    const auto& end = send_request("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", true);
    BOOST_TEST((end.status == exchange_status::wrong_target));
}

BOOST_AUTO_TEST_CASE(refused_connection_reports_request_never_sent)
{
    connection = std::make_shared<target_connection>(loop, names, [](const auto& /*idle*/) {});
    connection->open({loopback_ip, free_port()}, {nullptr, "GET", "r1", true, true},
                     [this](auto ended) { result = std::move(ended); });
    loop.run();
    BOOST_TEST((result->status == exchange_status::not_run));
    BOOST_TEST(result->never_sent);
}

BOOST_AUTO_TEST_SUITE_END()
