#pragma once

#include <compare>
#include <string>

namespace knapweedchute {

/// \brief One document found by a search.
struct hit
{
    std::string document; ///< Id of the document.
    double score = 0.0;   ///< Higher is better.
    std::string text;     ///< Content shown to the caller.

    [[nodiscard]] auto operator<=>(const hit&) const = default;
};

/// \brief Rank order of hits: descending score, then ascending document id.
[[nodiscard]] inline auto ranks_before(const hit& left, const hit& right) noexcept -> bool
{
    return left.score != right.score ? left.score > right.score : left.document < right.document;
}

} // namespace knapweedchute
