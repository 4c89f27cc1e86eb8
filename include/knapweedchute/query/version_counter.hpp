#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/query/version_tally.hpp>

namespace knapweedchute {

/// \brief What became of one request, as far as it tells something of the version that served it.
struct version_observation
{
    bool incomplete = false; ///< It failed, or shards are missing.
    bool empty = false;      ///< It is complete without a hit.
    bool slow = false;       ///< It took much longer than usual.

    [[nodiscard]] auto operator==(const version_observation&) const -> bool = default;
};

/// \brief Counts the requests of one version.
class version_counter
{
public:
    /// \brief Notes a finished request.
    auto add(const version_observation& seen, time_point now) noexcept -> void;

    /// \brief Counts so far.
    [[nodiscard]] auto tally() const noexcept -> const version_tally& { return counts_; }

private:
    version_tally counts_;
    duration::rep last_interval_ = -1;
    duration::rep last_slow_interval_ = -1;
};

} // namespace knapweedchute
