#include "entry_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

namespace knapweedchute::soak {
namespace {

constexpr auto log_mode = 0644;
constexpr auto not_started = 127;

} // namespace

entry_process::entry_process(std::string program, std::string settings, std::string log)
    : program_{std::move(program)}, settings_{std::move(settings)}, log_{std::move(log)}
{
}

entry_process::~entry_process()
{
    if (running()) {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

auto entry_process::start() -> void
{
    if (running()) {
        return;
    }
    process_ = fork();
    if (process_ == 0) {
        const auto log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // The world's sockets must not live on in the daemon.
        for (auto descriptor = STDERR_FILENO + 1; descriptor < 1'024; ++descriptor) {
            close(descriptor);
        }
        execl(program_.c_str(), program_.c_str(), "--settings", settings_.c_str(), nullptr);
        _exit(not_started);
    }
}

auto entry_process::signal(int number) const -> void
{
    if (process_ > 0) {
        kill(process_, number);
    }
}

auto entry_process::peak_memory_bytes() const -> std::size_t
{
    constexpr auto key = std::string_view{"VmHWM:"};
    constexpr auto kibibyte = std::size_t{1'024};
    auto status = std::ifstream{"/proc/" + std::to_string(process_) + "/status"};
    for (auto line = std::string{}; std::getline(status, line);) {
        if (line.starts_with(key)) {
            return std::stoul(line.substr(key.size())) * kibibyte;
        }
    }
    return 0;
}

auto entry_process::descriptor_folder() const -> std::string
{
    return "/proc/" + std::to_string(process_) + "/fd";
}

auto entry_process::open_descriptors() const -> std::size_t
{
    auto failure = std::error_code{};
    const auto entries = std::filesystem::directory_iterator{descriptor_folder(), failure};
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

auto entry_process::owns_socket(const std::string& inode) const -> bool
{
    auto failure = std::error_code{};
    const auto descriptors = std::filesystem::directory_iterator{descriptor_folder(), failure};
    return std::any_of(begin(descriptors), end(descriptors), [&](const auto& descriptor) {
        auto closed_meanwhile = std::error_code{};
        return std::filesystem::read_symlink(descriptor, closed_meanwhile) ==
               "socket:[" + inode + "]";
    });
}

auto entry_process::running() -> bool
{
    auto status = 0;
    if (process_ > 0 && waitpid(process_, &status, WNOHANG) == process_) {
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        process_ = 0;
    }
    return process_ > 0;
}

} // namespace knapweedchute::soak
