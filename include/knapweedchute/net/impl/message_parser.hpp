#pragma once

#include <knapweedchute/net/impl/http_library.hpp>
#include <knapweedchute/relay/http_field.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace knapweedchute::impl {

/// \brief Bounds of one HTTP message.
struct message_limits
{
    std::size_t header_bytes = 0; ///< The head; and each chunk head, and all trailers together.
    std::size_t body_bytes = 0;   ///< Body after decoding.
};

/// \brief One HTTP message as it was received.
struct parsed_message
{
    std::string method;  ///< Method; empty in an answer.
    std::string target;  ///< Path and query; empty in an answer.
    unsigned status = 0; ///< HTTP status; 0 in a request.
    field_list fields;   ///< Headers in the order in which they were sent.
    std::string body;    ///< Body, decoded.
};

/// \brief Parses one HTTP message with the library's grammar into a value of this project.
/// \detail The library's own container of headers throws `std::length_error` for a name or a value
///         of more than 65,533 bytes. Here only the limits of the parser bound a header. They bound
///         the head as a whole, chunk heads and trailers; the library's limit of the header holds
///         only for the part of the head that waits for its end.
template <bool IsRequest>
class message_parser final : public boost::beast::http::basic_parser<IsRequest>
{
    using base = boost::beast::http::basic_parser<IsRequest>;

public:
    explicit message_parser(const message_limits& limits) : limits_{limits}
    {
        constexpr auto max_limit = std::size_t{std::numeric_limits<std::uint32_t>::max()};
        base::header_limit(static_cast<std::uint32_t>(std::min(limits.header_bytes, max_limit)));
        base::body_limit(limits.body_bytes);
        // An eager parser goes on to the body although the header has exceeded the body limit.
        base::eager(false);
    }

    /// \brief Parses what follows the bytes consumed so far.
    /// \param input   Received bytes that were not consumed yet.
    /// \param failure `need_more` if a head, chunk head or trailer section is incomplete;
    ///                `header_limit` if it exceeds the limit; otherwise as the library sets it.
    /// \returns Bytes consumed.
    auto put(boost::asio::const_buffer input, boost::beast::error_code& failure) -> std::size_t
    {
        using boost::beast::http::error;
        const auto in_head = !base::is_header_done();
        const auto consumed = base::put(input, failure);
        if (failure && failure != error::need_more) {
            return consumed;
        }
        // Lines of the head are consumed one by one; the library's limit holds for the rest only.
        head_bytes_ += in_head ? consumed : 0;
        const auto unparsed = failure ? input.size() - consumed : 0;
        if (unparsed + (in_head ? head_bytes_ : 0) > limits_.header_bytes) {
            failure = error::header_limit;
        }
        return consumed;
    }

    [[nodiscard]] auto message() const noexcept -> const parsed_message& { return message_; }

    /// \brief Memory that the message takes so far, bytes.
    [[nodiscard]] auto held_bytes() const noexcept -> std::size_t
    {
        return head_bytes_ + message_.fields.capacity() * sizeof(http_field) +
               message_.body.capacity();
    }

    /// \brief Hands over the message; the parser may only be destroyed after it.
    [[nodiscard]] auto release() noexcept -> parsed_message { return std::move(message_); }

private:
    using string_view = boost::beast::string_view;
    using error_code = boost::beast::error_code;

    auto on_request_impl(boost::beast::http::verb /*known*/, string_view method, string_view target,
                         int /*version*/, error_code& /*failure*/) -> void override
    {
        message_.method = std::string{method};
        message_.target = std::string{target};
    }

    auto on_response_impl(int status, string_view /*reason*/, int /*version*/,
                          error_code& /*failure*/) -> void override
    {
        message_.status = static_cast<unsigned>(status);
    }

    auto on_field_impl(boost::beast::http::field /*known*/, string_view name, string_view value,
                       error_code& failure) -> void override
    {
        constexpr auto separators = std::string_view{": \r\n"}.size();
        if (this->is_header_done()) {
            trailer_bytes_ += name.size() + value.size() + separators;
            if (trailer_bytes_ > limits_.header_bytes) {
                failure = boost::beast::http::error::header_limit;
                return;
            }
        }
        message_.fields.push_back(
            {std::string{name}, std::string{without_blanks({value.data(), value.size()})}});
    }

    auto on_header_impl(error_code& /*failure*/) -> void override {}

    auto on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& failure)
        -> void override
    {
        if (length && *length > message_.body.max_size()) {
            failure = boost::beast::http::error::buffer_overflow;
        } else if (length) {
            message_.body.reserve(static_cast<std::size_t>(*length));
        }
    }

    auto on_body_impl(string_view bytes, error_code& /*failure*/) -> std::size_t override
    {
        message_.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    auto on_chunk_header_impl(std::uint64_t /*size*/, string_view extensions, error_code& failure)
        -> void override
    {
        if (extensions.size() > limits_.header_bytes) {
            failure = boost::beast::http::error::header_limit;
        }
    }

    auto on_chunk_body_impl(std::uint64_t /*remaining*/, string_view bytes, error_code& failure)
        -> std::size_t override
    {
        return on_body_impl(bytes, failure);
    }

    auto on_finish_impl(error_code& /*failure*/) -> void override {}

    message_limits limits_;
    parsed_message message_;
    std::size_t head_bytes_ = 0; ///< Consumed so far.
    std::size_t trailer_bytes_ = 0;
};

} // namespace knapweedchute::impl
