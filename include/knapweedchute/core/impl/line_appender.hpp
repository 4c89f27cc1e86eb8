#pragma once

#include <log4cplus/appender.h>

#include <atomic>
#include <cstdint>
#include <string_view>

namespace knapweedchute::impl {

/// \brief Writes log lines to a descriptor that may be read slowly, and never waits for it.
///
/// \detail A line for which there is no room is dropped and counted; the next line that fits is
///         preceded by one that tells the count. Other processes that share the descriptor see no
///         change of its mode.
class line_appender final : public log4cplus::Appender
{
public:
    /// \param descriptor Open descriptor; not closed.
    explicit line_appender(int descriptor) : descriptor_{descriptor} {}
    line_appender(const line_appender&) = delete;
    auto operator=(const line_appender&) -> line_appender& = delete;
    ~line_appender() override { destructorImpl(); }

    /// \brief Does nothing: the descriptor belongs to the process.
    auto close() -> void override { closed = true; }

    /// \brief Lines dropped so far.
    [[nodiscard]] auto lost() const noexcept -> std::uint64_t { return lost_; }

protected:
    auto append(const log4cplus::spi::InternalLoggingEvent& event) -> void override;

private:
    [[nodiscard]] auto write_line(std::string_view line) const -> bool;
    auto tell_loss() -> void;

    int descriptor_;
    std::atomic<std::uint64_t> lost_{0};
    std::uint64_t told_ = 0;
};

} // namespace knapweedchute::impl
