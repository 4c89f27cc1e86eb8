#pragma once

// clang-format off
#include <knapweedchute/net/impl/http_library.hpp>
#include <boost/beast/http/serializer.hpp>
// clang-format on

#include <string>

namespace knapweedchute::impl {

/// \brief HTTP 1.1 in the notation of the HTTP library.
inline constexpr auto http_1_1 = 11U;

/// \brief Serializes a message with its framing.
/// \param head_only Omits the body; the headers still state its length.
template <bool IsRequest>
[[nodiscard]] auto
serialize_message(boost::beast::http::message<IsRequest, boost::beast::http::string_body> message,
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
