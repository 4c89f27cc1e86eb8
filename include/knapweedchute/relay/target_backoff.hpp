#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/relayed_answer.hpp>
#include <knapweedchute/target/target_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace knapweedchute {

/// \brief Remembers which targets are not sent anything for some time.
/// \detail A target pauses if it asks for it, by 503 with `Retry-After`, or sends without end.
class target_backoff
{
public:
    /// \brief Records an answer: a 503 with `Retry-After` in seconds starts or extends a pause.
    auto on_answer(const target_record& target, const relayed_answer& answer, time_point now)
        -> void;

    /// \brief Records an answer that exceeded a limit: it starts or extends a pause.
    auto on_oversized(const target_record& target, time_point now) -> void;

    /// \brief Returns the end of a target's pause, or nothing if it may be sent requests.
    [[nodiscard]] auto end(const target_record& target, time_point now) const
        -> std::optional<time_point>;

    /// \brief Removes the pauses that have ended.
    auto remove_ended(time_point now) -> void;

private:
    struct pause
    {
        std::int64_t start_unix_ms = 0; ///< Lifetime of the target that it is for.
        time_point end;
    };

    auto pause_until(const target_record& target, time_point end) -> void;

    std::unordered_map<std::string, pause> pauses_;
};

} // namespace knapweedchute
