#pragma once

#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/config/settings.hpp>

#include <optional>
#include <string_view>

namespace knapweedchute {

/// \brief Reads and validates the settings of a process.
class settings_reader
{
public:
    /// \brief Parses `text`; returns nothing if there is any fault.
    [[nodiscard]] auto read(std::string_view text) -> std::optional<settings>;

    /// \brief Returns the faults of the last call of `read`, each with its path.
    [[nodiscard]] auto faults() const noexcept -> const fault_list& { return faults_; }

private:
    fault_list faults_;
};

} // namespace knapweedchute
