#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Settings of one process, constant while it runs. See docs/settings.md.
struct settings
{
    std::string instance;             ///< Unique name of this instance.
    std::string availability_zone;    ///< Availability zone that it runs in.
    std::string deployment;           ///< Name that separates deployments.
    std::string key;                  ///< Secret shared by the instances.
    std::string operator_key;         ///< Secret that operators present on the admin address.
    address caller_address;           ///< Address for callers.
    address admin_address;            ///< Address for operators.
    address peer_address;             ///< UDP and TCP address for other instances.
    address platform_address;         ///< The platform's key-value service.
    std::vector<address> seeds;       ///< Peer addresses to join through.
    std::int64_t worker_threads = 0;  ///< Threads that send requests to targets.
    std::int64_t http_threads = 0;    ///< Threads that serve callers.
    std::int64_t max_queries = 0;     ///< Queries in progress before new ones are refused.
    std::int64_t max_body_bytes = 0;  ///< Maximum request body in bytes.
    std::int64_t store_readers = 0;   ///< Instances per availability zone that read the store.
    milliseconds probe_period{0};     ///< Time between membership probes.
    milliseconds store_period{0};     ///< Time between reads of the store by a reader.
    milliseconds address_lifetime{0}; ///< Time that callers cache addresses.
    milliseconds freshness_limit{0};  ///< Maximum time to serve without store or peer contact.

    [[nodiscard]] auto operator==(const settings&) const -> bool = default;
};

} // namespace knapweedchute
