#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/exchange_result.hpp>

#include <cstdint>
#include <string_view>

namespace knapweedchute {

/// \brief A request, or a part of one, that has run or may have run at a target.
struct target_run
{
    std::string_view workspace; ///< Workspace of the request; empty: none.
    std::uint64_t call = 0;     ///< Id of the request, unique in this process.
    time_point sent;            ///< When it was sent to the target.
    time_point ended;           ///< When the exchange ended.
    exchange_status status = exchange_status::unknown; ///< How the exchange ended.
};

/// \brief Notified of requests that run at targets.
class run_observer
{
public:
    run_observer() = default;
    run_observer(const run_observer&) = delete;
    auto operator=(const run_observer&) -> run_observer& = delete;
    virtual ~run_observer() = default;

    /// \brief Called once for each exchange that is not known not to have run, when it ends.
    virtual auto on_run(const target_run& run) -> void = 0;
};

} // namespace knapweedchute
