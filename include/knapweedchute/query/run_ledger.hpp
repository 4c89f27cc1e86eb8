#pragma once

#include <knapweedchute/core/error.hpp>
#include <knapweedchute/core/request_id.hpp>
#include <knapweedchute/core/time.hpp>
#include <knapweedchute/query/refusal.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace knapweedchute {

/// \brief Issues ids for non-idempotent requests and admits each id at most once.
///
/// \detail An id contains the instance and its incarnation, so other instances and later
///         incarnations refuse it. An admitted id is stored until it expires, so memory use is
///         bounded by the rate of issue.
class run_ledger
{
public:
    /// \brief Body or refusal that is returned when a request is repeated.
    using recorded_result = std::variant<std::string, refusal>;

    /// \param instance    Name of this instance.
    /// \param incarnation Incarnation of this process.
    /// \param key         Key that signs the ids.
    /// \param lifetime    Time until an id expires.
    /// \param start       Start of this process, the origin of expiry times.
    run_ledger(std::string instance, std::uint64_t incarnation, message_key key, duration lifetime,
               time_point start);

    /// \brief Issues a new id.
    [[nodiscard]] auto issue_id(time_point now) -> std::string;

    /// \brief Admits a request if its id is valid and new.
    /// \returns Nothing if the request may run; otherwise the recorded result or a refusal.
    [[nodiscard]] auto admit(const std::string& id, time_point now)
        -> std::optional<recorded_result>;

    /// \brief Records the result of an admitted request; ignored if the id has expired.
    auto record_result(const std::string& id, recorded_result result) -> void;

    /// \brief Number of stored ids.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return admitted_.size(); }

private:
    auto remove_expired(std::uint64_t now_ms) -> void;
    [[nodiscard]] auto milliseconds_at(time_point now) const noexcept -> std::uint64_t;

    std::string instance_;
    std::uint64_t incarnation_;
    message_key key_;
    duration lifetime_;
    time_point start_;
    std::uint64_t next_sequence_ = 1;
    std::map<std::string, std::optional<recorded_result>> admitted_;
    std::deque<std::pair<std::uint64_t, std::string>> expiries_;
};

} // namespace knapweedchute
