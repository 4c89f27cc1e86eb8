#pragma once

// clang-format off
#include <knapweedchute/net/impl/http_library.hpp>
#include <boost/beast/http/serializer.hpp>
// clang-format on

#include <string>

namespace knapweedchute::impl {

/// \brief The version that is spoken everywhere, as the HTTP library counts.
inline constexpr auto http_1_1 = 11U;

/// \brief A message with its framing as it goes over a connection, written by the HTTP library.
/// \param head_only Leaves the body out; its length is told all the same.
template <bool IsRequest>
[[nodiscard]] auto
text_of(boost::beast::http::message<IsRequest, boost::beast::http::string_body> message,
        bool head_only = false) -> std::string
{
    message.prepare_payload();
    auto serializer =
        boost::beast::http::serializer<IsRequest, boost::beast::http::string_body>{message};
    serializer.split(head_only);
    auto text = std::string{};
    auto failure = boost::beast::error_code{};
    while (!serializer.is_done() && !(head_only && serializer.is_header_done())) {
        serializer.next(failure, [&](auto&, const auto& buffers) {
            for (auto part = boost::asio::buffer_sequence_begin(buffers);
                 part != boost::asio::buffer_sequence_end(buffers); ++part) {
                const auto bytes = boost::asio::const_buffer{*part};
                text.append(static_cast<const char*>(bytes.data()), bytes.size());
            }
            serializer.consume(boost::asio::buffer_size(buffers));
        });
    }
    return text;
}

} // namespace knapweedchute::impl
