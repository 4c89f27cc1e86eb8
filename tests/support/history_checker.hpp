#pragma once

#include "coordinator_driver.hpp"

#include <string>
#include <vector>

namespace knapweedchute::test {

/// \brief A rule that a recorded history broke.
struct violation
{
    std::string rule;
    query_key query = 0;

    [[nodiscard]] auto operator==(const violation&) const -> bool = default;
};

/// \brief Checks finished requests: one snapshot, true coverage, hits of answered shards only,
///        an end within the deadline, a true "not run".
[[nodiscard]] auto check_history(const std::vector<driven_result>& history)
    -> std::vector<violation>;

/// \brief Checks that no target ran a non-idempotent request twice.
[[nodiscard]] auto check_executions(const std::map<address, fake_target>& targets)
    -> std::vector<violation>;

} // namespace knapweedchute::test
