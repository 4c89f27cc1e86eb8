#include <knapweedchute/core/impl/line_appender.hpp>

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <sstream>
#include <string>

namespace knapweedchute::impl {
namespace {

/// A pipe that polls as writable takes this much at once (PIPE_BUF of Linux), so no line is torn.
constexpr auto longest_line = std::size_t{4'096};

} // namespace

auto line_appender::append(const log4cplus::spi::InternalLoggingEvent& event) -> void
{
    auto text = std::ostringstream{};
    layout->formatAndAppend(text, event);
    auto line = text.str();
    if (line.size() > longest_line) {
        line.resize(longest_line - 1);
        line += '\n';
    }
    if (lost_ > told_) {
        tell_loss();
    }
    if (!write_line(line)) {
        lost_ += 1;
    }
}

auto line_appender::write_line(std::string_view line) const -> bool
{
    auto wanted = pollfd{descriptor_, POLLOUT, 0};
    if (poll(&wanted, 1, 0) < 1 || (wanted.revents & POLLOUT) == 0) {
        return false;
    }
    return write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

auto line_appender::tell_loss() -> void
{
    const auto count = lost_.load();
    if (write_line("level=WARN log: Lines lost. count=" + std::to_string(count - told_) + "\n")) {
        told_ = count;
    }
}

} // namespace knapweedchute::impl
