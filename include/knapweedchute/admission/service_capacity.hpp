#pragma once

#include <knapweedchute/route/route.hpp>
#include <knapweedchute/target/target_registry.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Estimates how many requests of a route this instance can have at targets at once.
/// \detail For services with few slots that many instances share: each instance counts on its
///         part of the slots that the targets publish.
class service_capacity
{
public:
    explicit service_capacity(const target_registry& registry) : registry_{&registry} {}

    /// \brief Sets the number of instances that share the targets, at least 1.
    auto set_instance_count(std::size_t count) noexcept -> void
    {
        set_fraction(1.0 / static_cast<double>(count));
    }

    /// \brief Sets the fraction of the targets' slots that this instance counts on.
    auto set_fraction(double fraction) noexcept -> void { fraction_ = fraction; }

    /// \brief Returns this instance's part of the slots of the scarcest service that is needed.
    /// \param matched_route Route of the request.
    /// \param services      Services of the request's parts.
    /// \returns Slots, for queries of the scarcest shard without which the minimum coverage is not
    ///          reached; 0 if no usable target can answer, so that the request cannot be served.
    [[nodiscard]] auto slots_of(const route& matched_route,
                                const std::vector<std::string>& services) const -> double;

private:
    const target_registry* registry_;
    double fraction_ = 1.0;
};

} // namespace knapweedchute
