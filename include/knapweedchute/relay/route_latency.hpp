#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/route/route.hpp>

#include <string>
#include <unordered_map>

namespace knapweedchute {

/// \brief Moving average of the latency of all targets' useful answers, by route.
class route_latency
{
public:
    /// \brief Records the latency of a useful answer.
    auto on_answer(const route& matched_route, duration elapsed) -> void;

    /// \brief Returns the typical latency; a fraction of the latency goal before the first answer.
    [[nodiscard]] auto typical(const route& matched_route) const -> duration;

    /// \brief Returns the time after which a request counts as a straggler.
    [[nodiscard]] auto straggler_threshold(const route& matched_route) const -> duration;

private:
    std::unordered_map<std::string, duration> typical_;
};

} // namespace knapweedchute
