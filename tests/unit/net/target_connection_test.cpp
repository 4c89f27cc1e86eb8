#include "support/loopback.hpp"
#include "support/malformed_field_lines.hpp"

#include <knapweedchute/net/target_connection.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

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

    /// Sends one request to a target that answers with `prefix` and then repeats `more` until the
    /// connection closes; returns the bytes that it could send.
    auto send_to_endless_target(const std::string& prefix, const std::string& more,
                                memory_budget* memory = nullptr) -> std::size_t
    {
        auto acceptor = boost::asio::ip::tcp::acceptor{
            loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
        auto sent = std::size_t{0};
        auto target = std::thread{[&] {
            auto other = boost::asio::io_context{};
            auto socket = acceptor.accept(other);
            auto failure = boost::system::error_code{};
            auto block = std::string{};
            while (block.size() < 4'096) {
                block += more;
            }
            sent += boost::asio::write(socket, boost::asio::buffer(prefix), failure);
            while (!failure) {
                sent += boost::asio::write(socket, boost::asio::buffer(block), failure);
            }
        }};
        connection = std::make_shared<target_connection>(
            loop, names, [](const auto& /*idle*/) {}, memory);
        auto order = exchange_order{nullptr, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "r1", true, true};
        order.max_answer_bytes = endless_limit;
        connection->open({loopback_ip, acceptor.local_endpoint().port()}, std::move(order),
                         [this](auto ended) { result = std::move(ended); });
        // Ends when the connection is closed: nothing else keeps the loop busy.
        loop.run_for(seconds{10});
        was_closed = connection->closed();
        connection->close();
        target.join();
        BOOST_REQUIRE(result.has_value());
        return sent;
    }

    /// Sends requests one after the other on one connection; the target answers each with the text
    /// at its index, in two parts if it is longer than `cut`.
    auto send_requests(const std::vector<std::string>& answers, std::size_t cut = std::string::npos)
        -> std::vector<exchange_result>
    {
        auto acceptor = boost::asio::ip::tcp::acceptor{
            loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
        auto target = std::thread{[&] {
            auto other = boost::asio::io_context{};
            auto socket = acceptor.accept(other);
            auto failure = boost::system::error_code{};
            auto request = std::string{};
            for (const auto& answer : answers) {
                const auto length = boost::asio::read_until(
                    socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", failure);
                request.erase(0, length);
                if (!failure) {
                    boost::asio::write(socket, boost::asio::buffer(answer.substr(0, cut)), failure);
                }
                if (!failure && cut < answer.size()) {
                    std::this_thread::sleep_for(milliseconds{3});
                    boost::asio::write(socket, boost::asio::buffer(answer.substr(cut)), failure);
                }
            }
            boost::asio::read(socket, boost::asio::dynamic_buffer(request), failure);
        }};
        connection = std::make_shared<target_connection>(loop, names, [](const auto& /*idle*/) {});
        auto results = std::vector<exchange_result>{};
        for (auto index = std::size_t{0}; index < answers.size() && !connection->closed();
             ++index) {
            const auto id = "r" + std::to_string(index + 1);
            auto order =
                exchange_order{nullptr, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", id, true, true};
            const auto done = [&](auto ended) {
                results.push_back(std::move(ended));
                loop.stop();
            };
            if (index == 0) {
                connection->open({loopback_ip, acceptor.local_endpoint().port()}, std::move(order),
                                 done);
            } else {
                connection->exchange(std::move(order), done);
            }
            loop.restart();
            loop.run_for(seconds{1});
            loop.restart();
            loop.run_for(milliseconds{50});
        }
        was_closed = connection->closed();
        connection->close();
        target.join();
        return results;
    }

    /// Limit of the answers of an endless target.
    static constexpr auto endless_limit = std::size_t{256} * 1'024;
    /// What the buffers of both sockets hold beyond the bytes that were read.
    static constexpr auto socket_buffers = std::size_t{16} * 1'024 * 1'024;

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

BOOST_AUTO_TEST_CASE(answer_with_a_status_out_of_range_is_broken_at_its_head)
{
    for (const auto* status : {"000", "001", "099", "600", "999"}) {
        for (const auto* framing : {"Content-Length: 2\r\n\r\n", "\r\n"}) {
            loop.restart();
            const auto results =
                send_requests({"HTTP/1.1 " + std::string{status} + " OK\r\nId: r1\r\n" + framing});
            BOOST_REQUIRE_MESSAGE(results.size() == 1U, status);
            BOOST_TEST((results.front().status == exchange_status::broken), status);
            BOOST_TEST(was_closed);
        }
    }
}

BOOST_AUTO_TEST_CASE(answer_with_a_malformed_field_name_is_broken)
{
    for (const auto& line : malformed_field_lines()) {
        for (const auto* earlier : {"", "X-First: 1\r\n"}) {
            loop.restart();
            const auto results = send_requests({"HTTP/1.1 200 OK\r\n" + std::string{earlier} +
                                                line + "\r\nContent-Length: 2\r\n\r\nab"});
            BOOST_REQUIRE_MESSAGE(results.size() == 1U, earlier + line);
            BOOST_TEST((results.front().status == exchange_status::broken), earlier + line);
        }
    }
}

BOOST_AUTO_TEST_CASE(folded_line_of_a_head_is_seen_wherever_the_reads_end)
{
    const auto answer = std::string{"HTTP/1.1 200 OK\r\nX-First: 1\r\n"
                                    " Content-Length: 9\r\nContent-Length: 2\r\n\r\nab"};
    for (auto cut = std::size_t{1}; cut < answer.size(); ++cut) {
        loop.restart();
        const auto results = send_requests({answer}, cut);
        BOOST_REQUIRE_MESSAGE(results.size() == 1U, cut);
        BOOST_TEST((results.front().status == exchange_status::broken), cut);
    }
}

BOOST_AUTO_TEST_CASE(body_that_begins_with_a_blank_is_not_taken_for_a_folded_line)
{
    const auto answer =
        std::string{"HTTP/1.1 200 OK\r\nX-First: 1\r\nContent-Length: 8\r\n\r\n \r\n \r\n\tx"};
    for (auto cut = std::size_t{1}; cut < answer.size(); ++cut) {
        loop.restart();
        const auto results = send_requests({answer}, cut);
        BOOST_REQUIRE_MESSAGE(results.size() == 1U, cut);
        BOOST_TEST((results.front().status == exchange_status::answered), cut);
        BOOST_TEST(results.front().answer.body == " \r\n \r\n\tx", cut);
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

BOOST_AUTO_TEST_CASE(answer_without_end_is_broken_and_the_connection_closes)
{
    struct endless_answer
    {
        std::string name;
        std::string prefix;
        std::string more;
    };
    const auto head = std::string{"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"};
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto answers = std::vector<endless_answer>{
        {"header line", head + "Name: ", "x"},
        {"header fields", head, "Name: x\r\n"},
        {"status line", "HTTP/1.1 200 ", "x"},
        {"no protocol", "", "x"},
        {"line ends", "", "\r\n"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"answers to others", "", "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 0\r\n\r\n"},
        {"tiny chunks", chunked, "1\r\nx\r\n"},
        {"chunk extension", chunked + "1;", "name=value;"},
        {"chunk size", chunked, "0"},
        {"trailers", chunked + "0\r\n", "Name: x\r\n"},
        {"body without length", head + "\r\n", "x"},
        {"body over the limit", head + "Content-Length: 99999999999\r\n\r\nx", "x"}};
    for (const auto& [name, prefix, more] : answers) {
        result.reset();
        loop.restart();
        const auto begun = steady_clock::now();
        const auto sent = send_to_endless_target(prefix, more);
        BOOST_TEST((result->status == exchange_status::broken), name);
        BOOST_TEST(was_closed, name);
        BOOST_TEST(sent <= endless_limit + socket_buffers, name << " took " << sent << " bytes");
        BOOST_TEST((steady_clock::now() - begun < seconds{5}), name);
    }
}

BOOST_AUTO_TEST_CASE(answer_above_the_memory_of_all_answers_is_broken_and_its_bytes_are_returned)
{
    constexpr auto memory_limit = endless_limit / 4;
    auto counters = counter_set{};
    auto memory = memory_budget{memory_limit, counters};
    send_to_endless_target("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", "x", &memory);
    BOOST_TEST((result->status == exchange_status::broken));
    BOOST_TEST(!result->never_sent);
    BOOST_TEST(result->oversized);
    BOOST_TEST(was_closed);
    BOOST_TEST(counters.value(counter::answers_evicted) == 1U);
    BOOST_TEST(memory.highest() <= memory_limit);
    BOOST_TEST(memory.held() == 0U);
}

BOOST_AUTO_TEST_CASE(answer_followed_by_bytes_without_end_is_complete_and_the_connection_closes)
{
    send_to_endless_target("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nab", "x");
    BOOST_TEST((result->status == exchange_status::answered));
    BOOST_TEST(result->answer.body == "ab");
    BOOST_TEST(was_closed);
}

BOOST_AUTO_TEST_CASE(second_copy_of_an_answer_never_answers_the_next_request)
{
    const auto answer = [](const std::string& id, const std::string& body) {
        return "HTTP/1.1 200 OK\r\n" + (id.empty() ? "" : "Id: " + id + "\r\n") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    // The copy comes in the same read as the first answer.
    auto results = send_requests({answer("r1", "one") + answer("r1", "one"), answer("r2", "two")});
    BOOST_TEST(results.size() == 1U);
    BOOST_TEST(was_closed);
    // The copy comes late, before the answer to the next request, of the same length.
    results = send_requests({answer("r1", "one"), answer("r1", "one") + answer("r2", "two")});
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST(results.back().answer.body == "two");
    BOOST_TEST(was_closed);
    // The copy comes late and nothing follows it.
    results = send_requests({answer("r1", "one"), answer("r1", "one")});
    BOOST_REQUIRE(results.size() <= 2U);
    BOOST_TEST((results.size() == 1U || results.back().status != exchange_status::answered));
    // The copies bear no id at all: the connection is not used again.
    results = send_requests({answer("", "one"), answer("", "one")});
    BOOST_TEST(results.size() == 1U);
    BOOST_TEST(was_closed);
    // An answer without an id on a connection that was in use could be anybody's.
    results = send_requests({answer("r1", "one"), answer("", "one")});
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST((results.back().status == exchange_status::broken));
}

BOOST_AUTO_TEST_CASE(mutated_answer_is_never_the_answer_to_another_request)
{
    constexpr auto rounds = 300;
    const auto answers = std::vector<std::string>{
        "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 1\r\n\r\nx"
        "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\ny"};
    auto random = std::mt19937_64{1};
    for (auto round = 0; round < rounds; ++round) {
        auto bytes = answers.at(random() % answers.size());
        for (auto count = random() % 4; count > 0; --count) {
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        }
        result.reset();
        loop.restart();
        const auto& end =
            send_request(random() % 4 == 0 ? bytes.substr(0, bytes.size() / 2) : bytes);
        const auto* id = find_field(end.answer.fields, "Id");
        BOOST_TEST((end.status != exchange_status::answered || id == nullptr || id->value == "r1"),
                   "round " << round << ": " << bytes);
        BOOST_TEST((end.status != exchange_status::unknown), "round " << round << ": " << bytes);
    }
}

BOOST_AUTO_TEST_CASE(answer_that_ends_at_any_byte_before_its_end_is_not_an_answer)
{
    for (const auto& framing : {"Content-Length: 6\r\n\r\nabcdef",
                                "Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n"}) {
        const auto whole = std::string{"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"} + framing;
        for (auto length = std::size_t{0}; length < whole.size(); ++length) {
            const auto& ended = send_request(whole.substr(0, length));
            BOOST_TEST((ended.status == exchange_status::broken), "after " << length << " bytes");
            loop.restart();
        }
        BOOST_TEST((send_request(whole).status == exchange_status::answered));
        loop.restart();
    }
}

BOOST_AUTO_TEST_CASE(request_that_may_no_longer_be_sent_once_connected_is_never_sent)
{
    auto acceptor =
        boost::asio::ip::tcp::acceptor{loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
    auto order = exchange_order{nullptr, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "r1", true, true};
    order.may_send = [] { return false; };
    connection = std::make_shared<target_connection>(loop, names, [](const auto& /*idle*/) {});
    connection->open({loopback_ip, acceptor.local_endpoint().port()}, std::move(order),
                     [this](auto ended) {
                         result = std::move(ended);
                         loop.stop();
                     });
    loop.run_for(std::chrono::seconds{2});
    auto other = boost::asio::io_context{};
    auto socket = acceptor.accept(other);
    connection->close();
    auto received = std::string{};
    auto failure = boost::system::error_code{};
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), failure);
    BOOST_TEST(received.empty());
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->status == exchange_status::not_run));
    BOOST_TEST(result->never_sent);
}

BOOST_AUTO_TEST_SUITE_END()
