#include "support/loopback.hpp"

#include <knapweedchute/net/asio_timer_queue.hpp>
#include <knapweedchute/net/caller_listener.hpp>

#include <boost/test/unit_test.hpp>

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
    [[nodiscard]] auto limits() const -> caller_limits override { return {header_bytes}; }

    static constexpr auto header_bytes = std::size_t{262'144};
};

struct long_field_fixture
{
    boost::asio::io_context loop;
    asio_timer_queue timers{loop};
    field_bytes_handler handler;
    caller_guard guard{{std::size_t{16} << 20U, 100, milliseconds{5'000}}};
    caller_listener listener{loop, handler, timers, names, nullptr, &guard};
    std::uint16_t port = free_port();
    std::thread thread;

    long_field_fixture()
    {
        auto reason = error{};
        BOOST_REQUIRE(listener.open({loopback_ip, port}, reason));
        thread = std::thread{[this] { loop.run(); }};
    }
    long_field_fixture(const long_field_fixture&) = delete;
    auto operator=(const long_field_fixture&) -> long_field_fixture& = delete;
    ~long_field_fixture()
    {
        loop.stop();
        thread.join();
    }

    auto serves(const std::string& fields, std::size_t bytes) -> bool
    {
        const auto answer = send_raw(port, "GET / HTTP/1.1\r\nHost: h\r\n" + fields +
                                               "Connection: close\r\n\r\n");
        return answer.find("fields of " + std::to_string(bytes) + " bytes") != std::string::npos;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(long_field_suite, long_field_fixture)

// Guards against review/8: a header within a raised limit, but longer than the HTTP library's own
// container of headers holds, ended the process.
BOOST_AUTO_TEST_CASE(header_of_any_length_within_the_limit_is_served)
{
    for (const auto length : {std::size_t{65'533}, std::size_t{65'534}, std::size_t{66'000}}) {
        const auto text = std::string(length, 'x');
        BOOST_TEST(serves("X: " + text + "\r\n", 1 + length), "value of " << length);
        BOOST_TEST(serves(text + ": y\r\n", length + 1), "name of " << length);
    }
    BOOST_TEST(serves("", 0));
}

BOOST_AUTO_TEST_SUITE_END()
