#include <knapweedchute/net/impl/message_parser.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace knapweedchute;

namespace {

namespace http = boost::beast::http;

constexpr auto header_bytes = std::size_t{512};

struct parser_fixture
{
    impl::message_parser<true> subject{{header_bytes, 64}};

    /// Parses a text that arrives in pieces of a size; returns the failure that ended it.
    auto parse(const std::string& text, std::size_t piece) -> boost::beast::error_code
    {
        auto waiting = std::string{};
        auto failure = boost::beast::error_code{};
        for (auto begin = std::size_t{0}; begin < text.size(); begin += piece) {
            waiting += text.substr(begin, piece);
            do {
                const auto size = waiting.size();
                waiting.erase(0, subject.put(boost::asio::buffer(waiting), failure));
                if (waiting.size() == size || subject.is_done()) {
                    break;
                }
            } while (!failure && !waiting.empty());
            if (subject.is_done() || (failure && failure != http::error::need_more)) {
                break;
            }
        }
        return failure;
    }
};

/// Lines of 32 bytes after one of 31: a piece of 32 bytes ends with the first byte of a line, where
/// the parser consumes all lines before it.
auto head_of(std::size_t bytes) -> std::string
{
    constexpr auto line_bytes = std::size_t{32};
    auto head = std::string{"GET /012345678901234 HTTP/1.1\r\n"};
    while (head.size() + line_bytes + 2 <= bytes) {
        head += "X: " + std::string(line_bytes - 5, 'x') + "\r\n";
    }
    if (head.size() + 2 < bytes) {
        head.insert(head.size() - 2, std::string(bytes - head.size() - 2, 'y'));
    }
    return head + "\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_parser_suite)

// Guards against a head without end: the library's limit counts only what it has not consumed yet,
// so a head that arrives in whole lines had no limit.
BOOST_AUTO_TEST_CASE(head_is_bounded_as_a_whole_in_whatever_pieces_it_arrives)
{
    for (const auto piece : {1, 2, 31, 32, 33, 64, 500, 4'096}) {
        auto within = parser_fixture{};
        const auto failure = within.parse(head_of(header_bytes), static_cast<std::size_t>(piece));
        BOOST_TEST(!failure, "pieces of " << piece << ": " << failure.message());
        BOOST_TEST(within.subject.is_done(), "pieces of " << piece);
        for (const auto bytes : {header_bytes + 1, header_bytes + 32, 8 * header_bytes}) {
            auto beyond = parser_fixture{};
            BOOST_TEST((beyond.parse(head_of(bytes), static_cast<std::size_t>(piece)) ==
                        http::error::header_limit),
                       bytes << " bytes in pieces of " << piece);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
