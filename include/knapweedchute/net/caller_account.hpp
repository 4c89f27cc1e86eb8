#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace knapweedchute {

/// \brief Limits the bytes that callers can make a process hold, over all their connections.
/// \detail Above the limit connections are ended: first those that hold much and whose request has
///         not been sent to a target, the largest first, then large ones in progress, and small
///         ones last, so that ordinary requests go on beside large ones. Not thread-safe.
class caller_account
{
public:
    /// \brief The bytes that one connection holds.
    class holding
    {
    public:
        /// \param account Must outlive the holding.
        /// \param end     Called once, when the connection must end; it must defer the work.
        holding(caller_account& account, std::function<void()> end);
        holding(const holding&) = delete;
        auto operator=(const holding&) -> holding& = delete;
        ~holding();

        /// \brief Sets the bytes held; this or another connection may have to end.
        /// \detail Has no effect once the connection must end.
        /// \param in_progress Whether its request may have been sent to a target.
        auto set(std::size_t bytes, bool in_progress) -> void;

        /// \brief Whether the connection must end.
        [[nodiscard]] auto ended() const noexcept -> bool { return ended_; }

    private:
        friend class caller_account;

        caller_account* account_;
        std::function<void()> end_;
        std::size_t bytes_ = 0;
        std::size_t index_ = 0; ///< Position in the account while `bytes_` is above zero.
        bool in_progress_ = false;
        bool ended_ = false;
    };

    /// Maximum bytes of a connection that is ended only after all others.
    static constexpr auto small_bytes = std::size_t{16} * 1'024;

    /// \param limit Bytes that all connections may hold together.
    explicit caller_account(std::size_t limit) : limit_{limit} {}
    caller_account(const caller_account&) = delete;
    auto operator=(const caller_account&) -> caller_account& = delete;
    ~caller_account() = default;

    /// \brief Bytes that all connections may hold together.
    [[nodiscard]] auto limit() const noexcept -> std::size_t { return limit_; }

    /// \brief Bytes that all connections hold, those that must end excluded.
    [[nodiscard]] auto held() const noexcept -> std::size_t { return held_; }

    /// \brief Maximum of `held` so far, in bytes.
    [[nodiscard]] auto highest() const noexcept -> std::size_t { return highest_; }

private:
    auto update(holding& changed, std::size_t bytes) -> void;
    auto end_one() -> void;
    auto remove(holding& removed) -> void;

    std::size_t limit_;
    std::size_t held_ = 0;
    std::size_t highest_ = 0;
    std::vector<holding*> holdings_; ///< Those that hold bytes.
};

} // namespace knapweedchute
