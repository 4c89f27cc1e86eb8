#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/extra_request_window.hpp>

#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Settings for the reports of usage to the platform.
struct usage_settings
{
    address platform_address;      ///< Accepts the reports.
    milliseconds window{5'000};    ///< Length of a window.
    milliseconds late{10'000};     ///< From the end of a window until its report is late.
    milliseconds lease{3'000};     ///< Time within which no two others may hold the duty.
    milliseconds min_lease{1'000}; ///< Shortest lease that the store gives.
    double calls_per_second = 1.0; ///< Reports that the platform accepts from all instances.

    [[nodiscard]] auto operator==(const usage_settings&) const -> bool = default;
};

/// \brief Settings of an entry process.
struct entry_settings
{
    std::string instance;                 ///< Unique name of the instance.
    std::string availability_zone;        ///< Availability zone of the instance.
    address caller_address;               ///< Listening address for callers.
    address readiness_address;            ///< Listening address for platform readiness checks.
    address directory_address;            ///< Listening address for callers' address queries.
    address admin_address;                ///< Listening address for operators (state, metrics).
    address peer_address;                 ///< Listening address for peers (datagrams and feed).
    std::uint32_t processor_permil = 0;   ///< Processor share, in thousandths of a core.
    std::vector<address> seeds;           ///< Peer addresses used to join the cluster.
    address store_address;                ///< Address of the platform's key-value store.
    extra_request_limits extras;          ///< Limits of hedges and retries over all instances.
    milliseconds address_lifetime{1'000}; ///< How long callers may cache an address answer.
    milliseconds stop_grace{6'000};       ///< Time from the stop signal until the kill.
    /// Time within which a change of the store must be in use: the least of the limits of routes,
    /// leaving targets and excluded zones.
    milliseconds propagation_limit{3'000};
    /// Time after its revocation from which a key is accepted nowhere; empty: no such limit.
    std::optional<milliseconds> revocation_limit;
    std::optional<usage_settings> usage; ///< Reports of usage; empty: none are due.
    /// Latency that a KiB from another availability zone is worth, in ms; 0: no price.
    double zone_byte_price = 0.0;
    bool share_by_demand = false; ///< Whether instances lend each other shared room.
    std::size_t memory_limit = default_memory_limit; ///< Memory of the process, in bytes.

    double caller_memory_share = 0.25;    ///< Fraction of the memory that callers may fill.
    std::size_t max_descriptors = 0;      ///< Descriptors of the process; 0: as the system says.
    milliseconds body_time_limit{60'000}; ///< Maximum time for a whole body of a caller.

    static constexpr auto default_memory_limit = std::size_t{256} << 20U;
};

/// \brief Time within which changes are in use where revoked keys must be refused in time.
/// \detail Part of the limit, so that an instance whose source of changes was lost still has proof
///         when it has found another one.
[[nodiscard]] constexpr auto key_propagation(milliseconds revocation_limit) noexcept -> milliseconds
{
    return revocation_limit * 3 / 5;
}

/// \brief Age of what is known up to which keys are accepted.
/// \detail The rest of the limit is for what no call to the store can tell: a watch that hears
///         nothing for a moment before the store drops its history, and drifting clocks.
[[nodiscard]] constexpr auto max_key_age(milliseconds revocation_limit) noexcept -> milliseconds
{
    return revocation_limit * 3 / 4;
}

} // namespace knapweedchute
