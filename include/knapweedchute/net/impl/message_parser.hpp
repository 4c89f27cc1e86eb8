#pragma once

#include <knapweedchute/net/impl/http_library.hpp>
#include <knapweedchute/relay/http_field.hpp>

#include <string>
#include <utility>

namespace knapweedchute::impl {

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
///         of more than 65,533 bytes. Here only the limits of the parser bound a header.
template <bool IsRequest>
class message_parser final : public boost::beast::http::basic_parser<IsRequest>
{
public:
    [[nodiscard]] auto message() const noexcept -> const parsed_message& { return message_; }

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
                       error_code& /*failure*/) -> void override
    {
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

    auto on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                              error_code& /*failure*/) -> void override
    {
    }

    auto on_chunk_body_impl(std::uint64_t /*remaining*/, string_view bytes, error_code& failure)
        -> std::size_t override
    {
        return on_body_impl(bytes, failure);
    }

    auto on_finish_impl(error_code& /*failure*/) -> void override {}

    parsed_message message_;
};

} // namespace knapweedchute::impl
