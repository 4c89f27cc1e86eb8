#pragma once

#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/entry/entry_settings.hpp>

#include <optional>
#include <string_view>

namespace knapweedchute {

/// \brief Parses and validates the settings of an entry process.
class entry_settings_reader
{
public:
    /// \brief Parses a settings document.
    /// \param text JSON text.
    /// \returns The settings, or nothing if the document has any fault.
    [[nodiscard]] auto read(std::string_view text) -> std::optional<entry_settings>;

    /// \brief All faults that the last call of `read` found, each with its JSON path.
    [[nodiscard]] auto faults() const noexcept -> const fault_list& { return faults_; }

private:
    fault_list faults_;
};

} // namespace knapweedchute
