#pragma once

#include <knapweedchute/entry/entry_instance.hpp>

#include <string>

namespace knapweedchute {

/// \brief Applies changes of the settings file while the process runs.
/// \detail A change is noticed by a signal or by polling the file. A file with faults is not
///         applied: the active settings stay.
class settings_follower
{
public:
    /// \param instance Receives the changed settings.
    /// \param path     Path of the settings file.
    settings_follower(entry_instance& instance, std::string path);

    /// \brief Starts to poll the file for changes that come without a signal.
    auto start() -> void;

    /// \brief Reads the file and applies the settings that can change without a restart.
    auto reload() -> void;

private:
    [[nodiscard]] auto read_file() const -> std::string;

    entry_instance* instance_;
    std::string path_;
    std::string last_text_;
};

} // namespace knapweedchute
