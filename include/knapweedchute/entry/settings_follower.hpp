#pragma once

#include <knapweedchute/entry/entry_instance.hpp>

#include <string>

namespace knapweedchute {

/// \brief Takes changed settings over while the process runs, told by a signal or found.
/// \detail Settings with faults are not taken over: what is in force stays.
class settings_follower
{
public:
    /// \param path Settings file.
    settings_follower(entry_instance& instance, std::string path);

    /// \brief Looks now and then whether the file has changed without a word.
    auto start() -> void;

    /// \brief Reads the file and takes over what can be changed without a new start.
    auto read() -> void;

private:
    [[nodiscard]] auto text() const -> std::string;

    entry_instance* instance_;
    std::string path_;
    std::string last_text_;
};

} // namespace knapweedchute
