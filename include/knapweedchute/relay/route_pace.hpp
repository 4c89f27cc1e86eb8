#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/route/route.hpp>

#include <string>
#include <unordered_map>

namespace knapweedchute {

/// \brief Time that one target usually takes for a request of a route, learned from answers.
class route_pace
{
public:
    /// \brief Notes how long a useful answer took.
    auto on_answer(const route& of, duration elapsed) -> void;

    /// \brief Usual time; a part of the route's goal until answers are known.
    [[nodiscard]] auto usual(const route& of) const -> duration;

    /// \brief Time after which a request counts as straggling; more than half the goal is no delay
    ///        worth hedging, since slowness is general then.
    [[nodiscard]] auto straggling_after(const route& of) const -> duration;

private:
    std::unordered_map<std::string, duration> usual_;
};

} // namespace knapweedchute
