#pragma once

#include <knapweedchute/core/address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace knapweedchute::impl {

/// \brief Converts an address to the form that the socket functions take.
[[nodiscard]] inline auto socket_address(const address& value) noexcept -> sockaddr_in
{
    auto result = sockaddr_in{};
    result.sin_family = AF_INET;
    result.sin_port = htons(value.port);
    result.sin_addr.s_addr = htonl(value.ip);
    return result;
}

} // namespace knapweedchute::impl
