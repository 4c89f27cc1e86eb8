#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>

namespace knapweedchute {

/// \brief Bounds the lines that are written in a time.
/// \detail What matters less is held back first: it must leave a part of the burst unused.
class line_budget
{
public:
    /// \param lines_per_second Lines in the long run.
    /// \param burst            Lines at once after a quiet time.
    line_budget(double lines_per_second, double burst) noexcept
        : rate_{lines_per_second}, burst_{burst}, left_{burst}
    {
    }

    /// \brief Takes room for some lines if there is enough.
    /// \param reserve Part of the burst that must be left, 0 to 1.
    [[nodiscard]] auto take(double lines, double reserve, time_point now) noexcept -> bool;

private:
    double rate_;
    double burst_;
    double left_;
    time_point filled_;
};

} // namespace knapweedchute
