#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace knapweedchute {

/// \brief Who holds the duty, as the store says.
struct duty_record
{
    std::string instance;          ///< Name of the holder.
    std::uint64_t incarnation = 0; ///< Number of the holder's start.
    std::uint64_t lease = 0;       ///< Lease of the store on which it holds the duty.
    std::uint64_t revision = 0;    ///< Revision of the store at which it won the duty.
};

/// \brief Times of a duty.
struct duty_limits
{
    milliseconds lease{3'000}; ///< Life of the lease without renewal.
    milliseconds quiet{3'000}; ///< Wait of a new holder before its first call.
};

/// \brief Call to the store that the duty needs next.
enum class duty_step : std::uint8_t
{
    none,       ///< Nothing now.
    open_lease, ///< Open a lease.
    claim,      ///< Write the holder's key on the lease, if there is none.
    renew       ///< Renew the lease.
};

/// \brief End of a call to the store.
enum class store_outcome : std::uint8_t
{
    done,    ///< It took effect.
    refused, ///< It took none, because its condition does not hold.
    unknown  ///< No usable answer; it may have or may yet take effect.
};

/// \brief Wins and keeps the duty of one instance at a time; makes no call itself.
///
/// \detail The duty's number is the revision at which the store accepted the claim: it grows with
///         each change of the store, also after the holder's key is gone. Life of the lease counts
///         from before the call that renewed it, by a clock that runs while the process is frozen.
///         A new holder keeps quiet for a while, so that no two others act within that time.
class duty_holder
{
public:
    /// \param self Name and start of this instance.
    duty_holder(std::string instance, std::uint64_t incarnation, duty_limits limits);

    /// \brief Returns the next call; its end must be told before there is another.
    /// \param now  Time by a clock that runs while the process is frozen.
    /// \param rank Number of instances that claim a free duty before this one.
    [[nodiscard]] auto next(duration now, std::size_t rank) -> duty_step;

    auto on_lease(duration now, std::optional<std::uint64_t> lease) -> void;
    auto on_claim(duration now, store_outcome outcome, std::uint64_t revision) -> void;
    auto on_renewal(duration now, store_outcome outcome) -> void;

    /// \brief Notes a holder that the store names.
    auto on_holder(duration now, const duty_record& record) -> void;

    /// \brief Notes that the store names no holder.
    auto on_vacancy() -> void;

    /// \brief Gives the duty up, because the store says that it is held no more.
    auto on_loss() -> void;

    /// \brief Whether this instance may act as the holder, up to a time.
    [[nodiscard]] auto may_act(duration now, duration until) const -> bool;

    [[nodiscard]] auto holds() const noexcept -> bool { return number_ != 0; }
    [[nodiscard]] auto number() const noexcept -> std::uint64_t { return number_; }
    [[nodiscard]] auto lease() const noexcept -> std::uint64_t { return lease_; }

    /// \brief Returns the holder that the store named last, if it did not go since.
    [[nodiscard]] auto seen() const noexcept -> const std::optional<duty_record>& { return seen_; }

private:
    auto win(duration now, std::uint64_t revision) -> void;
    auto retry_at(duration when) -> void;
    [[nodiscard]] auto lease_time() const -> duration;

    std::string instance_;
    std::uint64_t incarnation_;
    duty_limits limits_;
    std::optional<duty_record> seen_;
    std::optional<duration> vacant_since_;
    bool busy_ = false;      ///< Whether a call is in progress.
    duration begun_{0};      ///< Before the call in progress was made.
    duration not_before_{0}; ///< When the next call may be made.
    std::uint64_t lease_ = 0;
    duration lease_until_{0};
    std::uint64_t number_ = 0; ///< Number of the duty; 0: not held.
    duration acts_from_{0};
};

} // namespace knapweedchute
