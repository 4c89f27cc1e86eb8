#pragma once

#include <knapweedchute/core/counter.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief The counters of one process. Every member may be called from any thread.
class counter_set
{
public:
    /// \brief Adds `amount` to a counter.
    auto add(counter which, std::uint64_t amount = 1) noexcept -> void;

    /// \brief Current value of a counter.
    [[nodiscard]] auto value(counter which) const noexcept -> std::uint64_t;

    /// \brief All counters in the Prometheus text format.
    [[nodiscard]] auto prometheus_text() const -> std::string;

private:
    std::array<std::atomic<std::uint64_t>, counter_count> values_{};
};

} // namespace knapweedchute
