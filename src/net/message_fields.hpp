#pragma once

#include <knapweedchute/net/impl/http_library.hpp>
#include <knapweedchute/relay/http_field.hpp>

namespace knapweedchute::impl {

/// \brief Returns the headers of a message to forward, without those of framing and connection.
[[nodiscard]] inline auto forwarded_fields(const boost::beast::http::fields& parsed) -> field_list
{
    auto fields = field_list{};
    for (const auto& field : parsed) {
        if (field.name() != boost::beast::http::field::content_length) {
            fields.push_back({std::string{field.name_string()}, std::string{field.value()}});
        }
    }
    remove_connection_fields(fields);
    return fields;
}

} // namespace knapweedchute::impl
