#include "support/loopback.hpp"

#include <knapweedchute/entry/fixed_handler.hpp>
#include <knapweedchute/net/asio_timer_queue.hpp>
#include <knapweedchute/net/caller_listener.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <vector>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

const auto names = header_names{"Id", "Wait", "Only", "Not-Run", "Proof", "Proofs", "Missing"};

/// Echoes requests; leaves those for /hold unanswered and counts their cancellation.
class echo_handler final : public request_handler
{
public:
    auto handle(relayed_request request, responder respond) -> std::uint64_t override
    {
        handled += 1;
        if (request.target == "/hold") {
            held = std::move(respond);
            return 7;
        }
        if (request.target == "/large") {
            respond({200, {}, std::string(large_answer, 'x')});
            return 0;
        }
        respond({200, request.fields, request.method + " " + request.target + " " + request.body});
        return 0;
    }
    auto cancel(std::uint64_t request) -> void override { cancelled += request == 7 ? 1 : 0; }
    [[nodiscard]] auto limits() const -> caller_limits override
    {
        return {header_bytes.load(), 64, milliseconds{150}, idle_timeout.load()};
    }

    /// More than the socket buffers between listener and caller hold.
    static constexpr auto large_answer = std::size_t{24} << 20U;

    responder held;
    std::atomic<int> handled{0};
    std::atomic<int> cancelled{0};
    std::atomic<std::size_t> header_bytes{400};
    std::atomic<milliseconds> idle_timeout{milliseconds{300}};
};

struct session_fixture
{
    boost::asio::io_context loop;
    asio_timer_queue timers{loop};
    echo_handler handler;
    counter_set counters;
    memory_budget memory{2 * echo_handler::large_answer, counters};
    caller_listener listener{loop, handler, timers, names, &memory};
    std::uint16_t port = free_port();
    std::thread thread;

    session_fixture()
    {
        auto reason = error{};
        BOOST_REQUIRE(listener.open({loopback_ip, port}, reason));
        thread = std::thread{[this] { loop.run(); }};
    }
    session_fixture(const session_fixture&) = delete;
    auto operator=(const session_fixture&) -> session_fixture& = delete;
    ~session_fixture()
    {
        loop.stop();
        thread.join();
    }

    auto status_of(const std::string& bytes) -> std::string
    {
        const auto answer = send_raw(port, bytes);
        return answer.size() < 12 ? answer : answer.substr(9, 3);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_session_suite, session_fixture)

BOOST_AUTO_TEST_CASE(complete_request_passes_method_target_body_and_headers)
{
    const auto answer = send_raw(port, "PUT /a?b=c HTTP/1.1\r\nHost: h\r\nX-Kept: 1\r\n"
                                       "Wait: 500\r\nOnly: i-1\r\nConnection: close\r\n"
                                       "Content-Length: 3\r\n\r\nxyz");
    BOOST_TEST(answer.find("PUT /a?b=c xyz") != std::string::npos);
    BOOST_TEST(answer.find("X-Kept: 1") != std::string::npos);
    BOOST_TEST(answer.find("Only") == std::string::npos);
    BOOST_TEST(answer.find("Wait") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(request_in_chunks_is_decoded)
{
    const auto answer =
        send_raw(port, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                       "Connection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    BOOST_TEST(answer.find("POST / abc") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requests_in_one_packet_are_answered_in_order)
{
    const auto answer = send_raw(port, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                       "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto first = answer.find("GET /1");
    const auto second = answer.find("GET /2");
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(second != std::string::npos);
    BOOST_TEST(first < second);
}

BOOST_AUTO_TEST_CASE(malformed_request_gets_400_and_the_connection_closes)
{
    constexpr auto two_framings = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    for (const auto* bytes :
         {"nonsense\r\n\r\n", "GET / HTTP/9.9\r\nHost: h\r\n\r\n", "GET /\r\n\r\n",
          "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
          "GET / HTTP/1.1\r\nHost h\r\n\r\n", "GET / HTTP/1.1\r\nHo st: h\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
          two_framings,
          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"}) {
        BOOST_TEST(status_of(bytes) == "400", bytes);
    }
    BOOST_TEST(handler.handled == 0);
}

BOOST_AUTO_TEST_CASE(request_over_a_limit_gets_the_status_of_that_limit)
{
    BOOST_TEST(status_of("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(500, 'x') + "\r\n\r\n") ==
               "431");
    BOOST_TEST(status_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n") == "413");
    BOOST_TEST(status_of("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" +
                         std::string(65, 'x') + "\r\n0\r\n\r\n") == "413");
    // The body arrives with the header, and looks like the rest of one.
    BOOST_TEST(status_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n" +
                         std::string(65, 'x')) == "413");
    BOOST_TEST(status_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n"
                         "X: y\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n") == "413");
    BOOST_TEST(handler.handled == 0);
}

// Guards against a kept connection that holds the next request to the limits of the one before.
BOOST_AUTO_TEST_CASE(raised_limit_holds_for_the_next_request_on_a_kept_connection)
{
    auto callers_loop = boost::asio::io_context{};
    auto socket = boost::asio::ip::tcp::socket{callers_loop};
    socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port});
    const auto status_of_head = [&](std::size_t bytes) {
        auto failure = boost::system::error_code{};
        boost::asio::write(socket,
                           boost::asio::buffer("GET / HTTP/1.1\r\nHost: h\r\nX: " +
                                               std::string(bytes, 'x') + "\r\n\r\n"),
                           failure);
        auto answer = std::string{};
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "GET / ", failure);
        return answer.substr(0, 12);
    };
    BOOST_TEST(status_of_head(300) == "HTTP/1.1 200");
    handler.header_bytes = 4'000;
    BOOST_TEST(status_of_head(3'000) == "HTTP/1.1 200");
    handler.header_bytes = 400;
    BOOST_TEST(status_of_head(3'000) == "HTTP/1.1 431");
}

BOOST_AUTO_TEST_CASE(slow_request_gets_408)
{
    BOOST_TEST(status_of("GET / HTTP/1.1\r\nHost:") == "408");
    BOOST_TEST(status_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab") == "408");
}

BOOST_AUTO_TEST_CASE(slow_header_gets_408_before_the_idle_timeout)
{
    constexpr auto idle = seconds{20};
    handler.idle_timeout = idle;
    const auto sent = steady_clock::now();
    BOOST_TEST(status_of("GET / HTTP/1.1\r\nHost:") == "408");
    BOOST_TEST((steady_clock::now() - sent < idle / 2));
}

BOOST_AUTO_TEST_CASE(idle_connection_is_closed_without_an_answer)
{
    BOOST_TEST(send_raw(port, "").empty());
}

BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_its_request)
{
    auto client = boost::asio::io_context{};
    {
        auto socket = boost::asio::ip::tcp::socket{client};
        socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port});
        boost::asio::write(
            socket, boost::asio::buffer(std::string{"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"}));
        while (handler.handled == 0) {
            std::this_thread::yield();
        }
    }
    while (handler.cancelled == 0) {
        std::this_thread::yield();
    }
    BOOST_TEST(handler.cancelled == 1);
}

BOOST_AUTO_TEST_CASE(callers_that_do_not_read_large_answers_are_closed_and_others_are_served)
{
    handler.idle_timeout = milliseconds{5'000};
    auto callers_loop = boost::asio::io_context{};
    auto silent = std::vector<boost::asio::ip::tcp::socket>{};
    for (auto index = 0; index < 3; ++index) {
        auto& socket = silent.emplace_back(callers_loop);
        socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port});
        boost::asio::write(
            socket, boost::asio::buffer(std::string{"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"}));
        BOOST_TEST(status_of("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") == "200");
    }
    BOOST_TEST(counters.value(counter::answers_evicted) >= 1U);
    auto received = std::string{};
    auto failure = boost::system::error_code{};
    boost::asio::read(silent.front(), boost::asio::dynamic_buffer(received), failure);
    BOOST_TEST(received.size() < echo_handler::large_answer);
}

BOOST_AUTO_TEST_SUITE_END()
