#include "support/loopback.hpp"

#include <knapweedchute/net/asio_timer_queue.hpp>
#include <knapweedchute/net/caller_listener.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <list>
#include <string>
#include <thread>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

const auto names = header_names{"Id", "Wait", "Only", "Not-Run", "Proof", "Proofs", "Missing"};

/// Answers with the bytes of the headers' names and values that it received.
class field_bytes_handler final : public request_handler
{
public:
    explicit field_bytes_handler(const caller_limits& limits) : limits_{limits} {}

    auto handle(relayed_request request, responder respond) -> std::uint64_t override
    {
        auto bytes = std::size_t{0};
        for (const auto& field : request.fields) {
            bytes += field.name.size() + field.value.size();
        }
        respond({200, {}, "fields of " + std::to_string(bytes) + " bytes"});
        return 0;
    }
    auto cancel(std::uint64_t) -> void override {}
    [[nodiscard]] auto limits() const -> caller_limits override { return limits_; }

private:
    caller_limits limits_;
};

/// One address that answers.
class open_address
{
public:
    open_address(const caller_limits& limits, caller_guard* guard)
        : handler_{limits}, listener_{loop_, handler_, timers_, names, nullptr, guard}
    {
        auto reason = error{};
        BOOST_REQUIRE(listener_.open({loopback_ip, port}, reason));
        thread_ = std::thread{[this] { loop_.run(); }};
    }
    open_address(const open_address&) = delete;
    auto operator=(const open_address&) -> open_address& = delete;
    ~open_address()
    {
        loop_.stop();
        thread_.join();
    }

    [[nodiscard]] auto serves(const std::string& fields, std::size_t bytes) const -> bool
    {
        const auto answer =
            send_raw(port, "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "Connection: close\r\n\r\n");
        return answer.find("fields of " + std::to_string(bytes) + " bytes") != std::string::npos;
    }

    /// Sends a body in chunks, and after it a trailer field.
    [[nodiscard]] auto status_with_trailer(std::size_t length) const -> std::string
    {
        const auto answer = send_raw(port, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: " +
                                               std::string(length, 't') + "\r\n\r\n");
        return answer.substr(0, 12).substr(std::min<std::size_t>(answer.size(), 9));
    }

    const std::uint16_t port = free_port();

private:
    boost::asio::io_context loop_;
    asio_timer_queue timers_{loop_};
    field_bytes_handler handler_;
    caller_listener listener_;
    std::thread thread_;
};

struct raised_limit_fixture
{
    caller_guard guard{{std::size_t{16} << 20U, 100, milliseconds{5'000}}};
    open_address subject{{262'144}, &guard};
};

/// Limits far above the memory of callers.
struct small_memory_fixture
{
    caller_guard guard{{std::size_t{1} << 20U, 100, milliseconds{5'000}}};
    open_address subject{{1'000'000'000, 1'000'000'000}, &guard};
};

/// As the addresses for readiness, operators and peers.
struct own_address_fixture
{
    open_address subject{{}, nullptr};
};

} // namespace

BOOST_AUTO_TEST_SUITE(long_field_suite)

// Guards against review/8: a header within a raised limit, but longer than the HTTP library's own
// container of headers holds, ended the process.
BOOST_FIXTURE_TEST_CASE(header_of_any_length_within_the_limit_is_served, raised_limit_fixture)
{
    for (const auto length : {std::size_t{65'533}, std::size_t{65'534}, std::size_t{66'000}}) {
        const auto text = std::string(length, 'x');
        BOOST_TEST(subject.serves("X: " + text + "\r\n", 1 + length), "value of " << length);
        BOOST_TEST(subject.serves(text + ": y\r\n", length + 1), "name of " << length);
    }
    BOOST_TEST(subject.serves("", 0));
}

// Guards against a head that is longer than what is read ahead: its connection was closed without
// an answer although the limit allows it.
BOOST_FIXTURE_TEST_CASE(head_longer_than_the_read_ahead_is_served_within_the_limit,
                        raised_limit_fixture)
{
    for (const auto length : {std::size_t{67'400}, std::size_t{70'000}, std::size_t{100'000},
                              std::size_t{131'072}, std::size_t{262'000}}) {
        const auto text = std::string(length, 'x');
        BOOST_TEST(subject.serves("X: " + text + "\r\n", 1 + length), "value of " << length);
        BOOST_TEST(subject.status_with_trailer(length) == "200", "trailer of " << length);
    }
    BOOST_TEST(subject.status_with_trailer(263'000) == "400");
    BOOST_TEST(subject.serves("", 0));
}

// Guards against a limit that the callers' memory can't honour: such a request was read up to that
// memory and refused as one to send again.
BOOST_FIXTURE_TEST_CASE(head_that_no_memory_can_hold_is_refused_for_good, small_memory_fixture)
{
    BOOST_TEST(subject.serves("X: " + std::string(60'000, 'x') + "\r\n", 60'001));
    const auto answer =
        send_raw(subject.port,
                 "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3'000'000, 'x') + "\r\n\r\n");
    BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 431");
    const auto promised = send_raw(subject.port, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
                                                 "900000000\r\n\r\n");
    BOOST_TEST(promised.substr(0, 12) == "HTTP/1.1 413");
    BOOST_TEST(subject.serves("", 0));
}

// Guards against heads of many short lines, whose fields take far more memory than their bytes and
// were in no account.
BOOST_FIXTURE_TEST_CASE(fields_of_unfinished_heads_count_as_memory_of_callers, raised_limit_fixture)
{
    auto head = std::string{"GET / HTTP/1.1\r\nHost: h\r\n"};
    while (head.size() < 240'000) {
        head += "a:\r\n";
    }
    auto callers_loop = boost::asio::io_context{};
    auto callers = std::list<boost::asio::ip::tcp::socket>{};
    for (auto index = 0; index < 8; ++index) {
        auto& socket = callers.emplace_back(callers_loop);
        socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), subject.port});
        auto failure = boost::system::error_code{};
        boost::asio::write(socket, boost::asio::buffer(head), failure);
    }
    auto refused = 0;
    for (auto& socket : callers) {
        auto answer = std::string{};
        auto failure = boost::system::error_code{};
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failure);
        refused += answer.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    // Each has 60,000 fields, 3.6 MiB at least; the callers of the fixture have 16 MiB.
    BOOST_TEST(refused >= 4);
    BOOST_TEST(subject.serves("", 0));
}

// Guards against a trailer field that no limit bounds: it ended the process at its own addresses.
BOOST_FIXTURE_TEST_CASE(trailers_beyond_the_limit_of_a_header_get_400_at_own_addresses,
                        own_address_fixture)
{
    const auto limit = caller_limits{}.header_bytes;
    BOOST_TEST(subject.status_with_trailer(limit - 100) == "200");
    for (const auto length : {limit, std::size_t{65'533}, std::size_t{65'534}, std::size_t{66'000},
                              std::size_t{70'000}, std::size_t{250'000}}) {
        BOOST_TEST(subject.status_with_trailer(length) == "400", "trailer of " << length);
    }
    BOOST_TEST(subject.serves("", 0));
}

BOOST_AUTO_TEST_SUITE_END()
