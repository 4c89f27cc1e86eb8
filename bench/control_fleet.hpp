#pragma once

#include "support/platform_stand_in.hpp"

#include <knapweedchute/config/configuration_store.hpp>
#include <knapweedchute/runtime/query_instance.hpp>

#include <memory>
#include <string>
#include <vector>

namespace knapweedchute::bench {

/// \brief Instances without callers or targets, in one process on loopback addresses.
class control_fleet
{
public:
    /// \param count       Instances.
    /// \param zones       Availability zones that they are spread over.
    /// \param loss_permil Datagrams lost, in thousandths.
    control_fleet(std::size_t count, std::size_t zones, unsigned loss_permil);
    control_fleet(const control_fleet&) = delete;
    auto operator=(const control_fleet&) -> control_fleet& = delete;
    ~control_fleet();

    /// \brief Waits until every instance knows every other; false if that takes too long.
    [[nodiscard]] auto wait_until_joined() const -> bool;

    /// \brief Has a file with this many targets accepted.
    /// \returns Seconds until it is in force everywhere; negative if that takes over 20.
    [[nodiscard]] auto apply(std::size_t targets) -> double;

    /// \brief Ends one instance without notice.
    auto kill(std::size_t index) -> void;

    /// \name Totals over all instances
    /// @{
    [[nodiscard]] auto total(counter which) const -> std::uint64_t;
    [[nodiscard]] auto platform_reads() const -> std::uint64_t { return platform_->reads(); }
    [[nodiscard]] auto size() const -> std::size_t { return nodes_.size(); }
    /// @}

private:
    struct node
    {
        std::unique_ptr<network_filter> gate;
        std::unique_ptr<query_instance> instance;
    };

    [[nodiscard]] auto in_force_everywhere(std::uint64_t version) const -> bool;

    std::unique_ptr<test::platform_stand_in> platform_;
    std::vector<node> nodes_;
    std::uint64_t version_ = 0;
};

/// \brief Processor time of this process in seconds.
[[nodiscard]] auto process_cpu_seconds() -> double;

/// \brief Resident memory of this process in bytes.
[[nodiscard]] auto process_resident_bytes() -> double;

} // namespace knapweedchute::bench
