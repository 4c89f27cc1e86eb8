#include "support/loopback.hpp"
#include "support/malformed_field_lines.hpp"

#include <knapweedchute/runtime/transfer_worker.hpp>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <string>
#include <thread>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

struct transfer_fixture
{
    transfer_worker worker{[](time_point) { return std::optional<time_point>{}; }};

    /// Sends one request to a target that answers with `bytes` and then closes.
    auto send_request(const std::string& bytes) -> transfer_result
    {
        auto loop = boost::asio::io_context{};
        auto acceptor = boost::asio::ip::tcp::acceptor{
            loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
        auto target = std::thread{[&] {
            auto socket = acceptor.accept();
            auto request = std::string{};
            auto failure = boost::system::error_code{};
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                    failure);
            boost::asio::write(socket, boost::asio::buffer(bytes), failure);
        }};
        auto received = std::promise<transfer_result>{};
        const auto port = acceptor.local_endpoint().port();
        worker.post([&] {
            worker.start({{loopback_ip, port}, "/v1/runs", {}, seconds{5}, true, true},
                         [&](auto result) { received.set_value(std::move(result)); });
        });
        auto result = received.get_future().get();
        target.join();
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(transfer_worker_suite, transfer_fixture)

BOOST_AUTO_TEST_CASE(transfer_whose_answer_ends_before_its_end_is_broken)
{
    const auto whole = std::string{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef"};
    for (auto length = std::size_t{0}; length < whole.size(); ++length) {
        const auto result = send_request(whole.substr(0, length));
        BOOST_TEST((result.status == transfer_status::broken), "after " << length << " bytes");
    }
    const auto result = send_request(whole);
    BOOST_TEST((result.status == transfer_status::answered));
    BOOST_TEST(result.body == "abcdef");
}

BOOST_AUTO_TEST_CASE(transfer_whose_answer_has_a_status_out_of_range_is_no_success)
{
    constexpr auto status_ok = 200L;
    for (const auto* status : {"000", "001", "099", "600", "999"}) {
        const auto result =
            send_request("HTTP/1.1 " + std::string{status} + " OK\r\nContent-Length: 2\r\n\r\nab");
        BOOST_TEST((result.status == transfer_status::broken || result.http_status != status_ok),
                   status);
    }
}

BOOST_AUTO_TEST_CASE(transfer_whose_answer_has_a_malformed_field_name_is_broken)
{
    for (const auto& line : malformed_field_lines()) {
        const auto result = send_request("HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line +
                                         "\r\nContent-Length: 2\r\n\r\nab");
        BOOST_TEST((result.status == transfer_status::broken), line);
    }
}

BOOST_AUTO_TEST_SUITE_END()
