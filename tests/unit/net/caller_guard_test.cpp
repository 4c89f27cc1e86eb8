#include "support/loopback.hpp"

#include <knapweedchute/net/asio_timer_queue.hpp>
#include <knapweedchute/net/caller_listener.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <list>
#include <random>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto unit = caller_account::small_bytes;
const auto names = header_names{"Id", "Wait", "Only", "Not-Run", "Proof", "Proofs", "Missing"};

struct account_fixture
{
    caller_account account{10 * unit};
    std::vector<int> ended;
    std::list<caller_account::holding> holdings;

    auto hold(int name, std::size_t bytes, bool in_progress) -> void
    {
        holdings.emplace_back(account, [this, name] { ended.push_back(name); })
            .set(bytes, in_progress);
    }
};

/// Answers with the size of the body.
class sizing_handler final : public request_handler
{
public:
    auto handle(relayed_request request, responder respond) -> std::uint64_t override
    {
        handled += 1;
        respond({200, {}, "size " + std::to_string(request.body.size())});
        return 0;
    }
    auto cancel(std::uint64_t) -> void override {}
    [[nodiscard]] auto limits() const -> caller_limits override
    {
        return {400, body_limit, milliseconds{5'000}, milliseconds{500}};
    }

    static constexpr auto body_limit = std::size_t{100'000};

    std::atomic<int> handled{0};
};

struct guard_fixture
{
    boost::asio::io_context loop;
    asio_timer_queue timers{loop};
    sizing_handler handler;
    caller_guard guard{{10 * unit, 4, milliseconds{700}}};
    caller_listener listener{loop, handler, timers, names, nullptr, &guard};
    std::uint16_t port = free_port();
    std::thread thread;

    guard_fixture()
    {
        auto reason = error{};
        BOOST_REQUIRE(listener.open({loopback_ip, port}, reason));
        thread = std::thread{[this] { loop.run(); }};
    }
    guard_fixture(const guard_fixture&) = delete;
    auto operator=(const guard_fixture&) -> guard_fixture& = delete;
    ~guard_fixture() { stop(); }

    /// The guard may be asked afterwards.
    auto stop() -> void
    {
        loop.stop();
        if (thread.joinable()) {
            thread.join();
        }
    }

    auto serves() -> bool
    {
        return send_raw(port, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                   .find("size 0") != std::string::npos;
    }
};

const auto chunked = std::string{"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_account_suite, account_fixture)

BOOST_AUTO_TEST_CASE(account_above_its_limit_ends_the_largest_request_that_was_not_sent)
{
    hold(1, 6 * unit, true);
    hold(2, 2 * unit, false);
    hold(3, unit, false);
    hold(4, 2 * unit, false);
    BOOST_TEST(ended.size() == 1U);
    BOOST_TEST((ended.front() == 2 || ended.front() == 4));
    BOOST_TEST(account.held() == 9 * unit);
}

BOOST_AUTO_TEST_CASE(account_filled_by_sent_requests_ends_the_largest_and_no_small_one)
{
    hold(1, 6 * unit, true);
    hold(2, 4 * unit, true);
    hold(3, unit, false);
    BOOST_TEST(ended == std::vector{1});
}

BOOST_AUTO_TEST_CASE(account_over_random_sizes_stays_within_its_limit_and_ends_each_once)
{
    auto random = std::mt19937_64{1};
    for (auto step = 0; step < 5'000; ++step) {
        if (holdings.size() < 40) {
            hold(step, random() % unit, false);
        } else if (random() % 8 == 0) {
            holdings.pop_front();
        } else {
            auto one = holdings.begin();
            std::advance(one, static_cast<std::ptrdiff_t>(random() % holdings.size()));
            one->set(random() % (4 * unit), random() % 2 == 0);
        }
        BOOST_REQUIRE(account.held() <= account.limit());
    }
    holdings.clear();
    BOOST_TEST(account.held() == 0U);
    std::sort(ended.begin(), ended.end());
    BOOST_TEST(!ended.empty());
    BOOST_TEST((std::adjacent_find(ended.begin(), ended.end()) == ended.end()));
}

BOOST_AUTO_TEST_CASE(limits_above_the_memory_of_callers_are_lowered_to_what_it_holds)
{
    const auto limits = caller_limits{1'000, 4'000};
    BOOST_TEST((servable_limits(limits, 4'000) == limits));
    const auto lowered = servable_limits(limits, 1'000);
    BOOST_TEST(lowered.header_bytes == 500U);
    BOOST_TEST(lowered.body_bytes == 1'000U);
    BOOST_TEST((lowered.idle_timeout == limits.idle_timeout));
}

BOOST_AUTO_TEST_CASE(body_time_lies_between_the_idle_timeout_and_the_limit)
{
    const auto limits = caller_limits{};
    constexpr auto longest = milliseconds{60'000};
    BOOST_TEST((body_time(std::nullopt, limits, longest) == longest));
    BOOST_TEST((body_time(milliseconds{1}, limits, longest) == limits.idle_timeout));
    BOOST_TEST((body_time(milliseconds{20'000}, limits, longest) == milliseconds{20'000}));
    BOOST_TEST((body_time(milliseconds{3'600'000}, limits, longest) == longest));
    BOOST_TEST((body_time(std::nullopt, limits, milliseconds{1'000}) == limits.idle_timeout));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(caller_guard_suite, guard_fixture)

BOOST_AUTO_TEST_CASE(one_byte_chunks_up_to_the_body_limit_are_served)
{
    auto bytes = chunked;
    for (auto index = std::size_t{0}; index < sizing_handler::body_limit; ++index) {
        bytes += "1\r\nx\r\n";
    }
    const auto answer = send_raw(port, bytes + "0\r\n\r\n");
    BOOST_TEST(answer.find("size 100000") != std::string::npos, answer);
}

BOOST_AUTO_TEST_CASE(chunk_extensions_and_trailers_that_cost_more_than_they_carry_get_400)
{
    const auto endless = chunked + "1;" + std::string(2'000, 'e');
    BOOST_TEST(send_raw(port, endless).substr(9, 3) == "400");
    auto many = chunked;
    for (auto index = 0; index < 3'000; ++index) {
        many += "1;" + std::string(380, 'e') + "\r\nx\r\n";
    }
    BOOST_TEST(send_raw(port, many).substr(9, 3) == "400");
    BOOST_TEST(send_raw(port, chunked + "0\r\nX: " + std::string(2'000, 't')).substr(9, 3) ==
               "400");
    stop();
    BOOST_TEST(handler.handled == 0);
    BOOST_TEST(guard.ended(caller_end::framing) == 3U);
}

BOOST_AUTO_TEST_CASE(body_that_never_ends_gets_408_although_bytes_keep_coming)
{
    auto callers_loop = boost::asio::io_context{};
    auto socket = boost::asio::ip::tcp::socket{callers_loop};
    socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port});
    auto failure = boost::system::error_code{};
    boost::asio::write(socket, boost::asio::buffer(chunked + "8000\r\n"), failure);
    for (auto sent = 0; sent < 2'000 && socket.available() == 0; ++sent) {
        boost::asio::write(socket, boost::asio::buffer("x", 1), failure);
        std::this_thread::sleep_for(milliseconds{5});
    }
    BOOST_TEST(socket.available() > 0U);
    auto answer = std::array<char, 12>{};
    boost::asio::read(socket, boost::asio::buffer(answer), failure);
    BOOST_TEST(std::string(answer.data() + 9, 3) == "408");
    stop();
    BOOST_TEST(guard.ended(caller_end::time) == 1U);
}

BOOST_AUTO_TEST_CASE(promised_bodies_over_the_memory_get_503_before_they_are_read)
{
    auto callers_loop = boost::asio::io_context{};
    auto promising = std::list<boost::asio::ip::tcp::socket>{};
    for (auto index = 0; index < 2; ++index) {
        auto& socket = promising.emplace_back(callers_loop);
        socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port});
        boost::asio::write(socket, boost::asio::buffer(std::string{
                                       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n"
                                       "Wait: 600\r\n\r\n"}));
    }
    BOOST_TEST(serves());
    // One of them is refused for memory, the other one for its time.
    auto statuses = std::vector<std::string>{};
    for (auto& socket : promising) {
        auto answer = std::string{};
        auto failure = boost::system::error_code{};
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failure);
        statuses.push_back(answer.substr(0, 12).substr(9));
        BOOST_TEST((statuses.back() != "503" || answer.find("Retry-After") != std::string::npos));
    }
    std::sort(statuses.begin(), statuses.end());
    BOOST_TEST(statuses == (std::vector<std::string>{"408", "503"}));
    stop();
    BOOST_TEST(guard.ended(caller_end::memory) == 1U);
    BOOST_TEST(handler.handled == 1);
}

BOOST_AUTO_TEST_CASE(connections_above_their_bound_take_the_place_of_the_longest_waiting)
{
    auto callers_loop = boost::asio::io_context{};
    auto waiting = std::list<boost::asio::ip::tcp::socket>{};
    for (auto index = 0; index < 8; ++index) {
        waiting.emplace_back(callers_loop)
            .connect({boost::asio::ip::make_address_v4("127.0.0.1"), port});
        boost::asio::write(waiting.back(), boost::asio::buffer("GET /", 5));
    }
    BOOST_TEST(serves());
    stop();
    BOOST_TEST(guard.ended(caller_end::room) == 5U);
    BOOST_TEST(guard.ended(caller_end::refused) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
