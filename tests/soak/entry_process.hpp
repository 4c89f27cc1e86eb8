#pragma once

#include <sys/types.h>

#include <string>

namespace knapweedchute::soak {

/// \brief One entry daemon as a process of its own.
class entry_process
{
public:
    /// \param program Path of the daemon.
    /// \param settings Path of its settings.
    /// \param log      Path that its output is added to.
    entry_process(std::string program, std::string settings, std::string log);
    entry_process(const entry_process&) = delete;
    auto operator=(const entry_process&) -> entry_process& = delete;
    ~entry_process();

    /// \brief Starts it, unless it runs.
    auto start() -> void;

    /// \brief Sends a signal, if it runs.
    auto signal(int number) const -> void;

    /// \brief Whether it runs; notes its end.
    [[nodiscard]] auto running() -> bool;

    /// \brief Largest resident size so far, in bytes; 0 if it does not run.
    [[nodiscard]] auto peak_memory_bytes() const -> std::size_t;

    /// \brief Descriptors that it has open now; 0 if it does not run.
    [[nodiscard]] auto open_descriptors() const -> std::size_t;

    /// \brief Whether it has a socket open.
    /// \param inode Number of the socket, as the system's table of connections states it.
    [[nodiscard]] auto owns_socket(const std::string& inode) const -> bool;

    /// \brief Exit code of the latest end by itself, or the negative of the signal that ended it.
    [[nodiscard]] auto exit_code() const noexcept -> int { return exit_code_; }

private:
    [[nodiscard]] auto descriptor_folder() const -> std::string;

    std::string program_;
    std::string settings_;
    std::string log_;
    pid_t process_ = 0;
    int exit_code_ = 0;
};

} // namespace knapweedchute::soak
