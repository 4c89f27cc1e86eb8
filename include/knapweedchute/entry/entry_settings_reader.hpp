#pragma once

#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/entry/entry_settings.hpp>

#include <optional>
#include <string_view>

namespace knapweedchute {

/// \brief Reads and checks the settings of an entry process.
class entry_settings_reader
{
public:
    /// \brief Parses `text`; nothing is returned if there is any fault.
    [[nodiscard]] auto read(std::string_view text) -> std::optional<entry_settings>;

    /// \brief Every fault of the last call of `read`, each with its path.
    [[nodiscard]] auto faults() const noexcept -> const fault_list& { return faults_; }

private:
    fault_list faults_;
};

} // namespace knapweedchute
