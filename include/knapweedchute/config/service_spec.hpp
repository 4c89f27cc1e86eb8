#pragma once

#include <knapweedchute/config/rollout_spec.hpp>
#include <knapweedchute/config/version_spec.hpp>
#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief One service as the operators declare it.
struct service_spec
{
    std::string name;                         ///< Name that callers use.
    std::string workspace;                    ///< Workspace that owns the service.
    std::string version;                      ///< Version that serves.
    std::vector<version_spec> versions;       ///< Versions that exist.
    std::optional<rollout_spec> rollout;      ///< Rollout in progress, if any.
    std::int64_t connections_per_replica = 0; ///< Connections that one target accepts in total.
    std::int64_t cold_requests = 0;           ///< Maximum concurrent requests to a cold target.
    milliseconds warmup{0};                   ///< Time that a target needs from cold to warm.
    std::int64_t minimum_coverage_permil = 0; ///< Minimum coverage of an answer, in thousandths.
    milliseconds default_deadline{0};         ///< Deadline of a query that states none.

    [[nodiscard]] auto operator==(const service_spec&) const -> bool = default;

    /// \brief Returns the declared version with this name, or null.
    [[nodiscard]] auto find_version(std::string_view version_name) const noexcept
        -> const version_spec*;
};

} // namespace knapweedchute
