#pragma once

#include "support/loopback.hpp"

#include <knapweedchute/entry/entry_settings.hpp>

namespace knapweedchute::test {

/// \brief Settings of an entry instance on free ports of the loopback address.
[[nodiscard]] inline auto loopback_entry_settings() -> entry_settings
{
    auto values = entry_settings{};
    values.instance = "i1";
    values.availability_zone = "a";
    const auto ports = free_ports(6);
    auto next = ports.begin();
    for (auto* where :
         {&values.caller_address, &values.readiness_address, &values.directory_address,
          &values.admin_address, &values.peer_address, &values.store_address}) {
        *where = {loopback_ip, *next++};
    }
    values.processor_permil = 1'000;
    values.address_lifetime = seconds{1};
    values.stop_grace = seconds{2};
    return values;
}

} // namespace knapweedchute::test
