#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/query/version_tally.hpp>

namespace knapweedchute {

/// \brief Outcome of one request, as evidence about the version that served it.
struct version_observation
{
    bool incomplete = false; ///< The request failed or shards are missing.
    bool empty = false;      ///< The answer is complete but has no hits.
    bool slow = false;       ///< The latency was far above the baseline.

    [[nodiscard]] auto operator==(const version_observation&) const -> bool = default;
};

/// \brief Counts request outcomes of one version.
class version_counter
{
public:
    /// \brief Records a finished request.
    auto record_request(const version_observation& observation, time_point now) noexcept -> void;

    /// \brief Current counts.
    [[nodiscard]] auto tally() const noexcept -> const version_tally& { return counts_; }

private:
    version_tally counts_;
    duration::rep last_interval_ = -1;
    duration::rep last_slow_interval_ = -1;
};

} // namespace knapweedchute
