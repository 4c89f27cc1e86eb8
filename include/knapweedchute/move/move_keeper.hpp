#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/move/move_evidence.hpp>
#include <knapweedchute/move/move_order.hpp>
#include <knapweedchute/move/move_plan.hpp>
#include <knapweedchute/move/move_record.hpp>
#include <knapweedchute/move/version_watch.hpp>
#include <knapweedchute/target/target_registry.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief A record that should be stored for a service.
struct wanted_record
{
    std::string service; ///< Service that moves.
    move_record record;  ///< What should be stored.
    time_point since;    ///< Since when it is wanted.

    [[nodiscard]] auto operator==(const wanted_record&) const -> bool = default;
};

/// \brief Carries out ordered moves between versions on one instance.
///
/// \detail The new version gets a small share on trial; what it does with it is compared with the
///         old one over all instances. Without a fault it is handed everything, and the move ends
///         well only some time later, since the old targets are then stopped at once. A fault
///         found by anyone ends the trial everywhere. What all must agree on is a record in the
///         platform's store: it is obeyed, whatever this instance has seen itself. Does no I/O and
///         reads no clock.
class move_keeper
{
public:
    /// \param registry Targets; told which version gets how much.
    /// \param watch    Counts of requests by version.
    /// \param source   Number of this start of this instance, unlike any other.
    move_keeper(target_registry& registry, version_watch& watch, std::uint64_t source);

    /// \name What is heard
    /// @{
    /// \brief A move is ordered.
    auto order(const move_order& wanted) -> void;
    /// \brief The order for a service is gone.
    auto withdraw(const std::string& service) -> void;
    /// \brief Exactly these services have orders.
    auto keep_only(const std::set<std::string>& services) -> void;
    /// \brief What is stored for a service.
    auto on_record(const std::string& service, const move_record& stored, time_point now) -> void;
    /// \brief What an instance counted, this one or a peer.
    auto merge(const std::vector<evidence_row>& rows) -> void;
    /// @}

    /// \brief Counts, judges and sets how much each version gets.
    auto advance(time_point now, std::int64_t unix_ms) -> void;

    /// \brief Records that should be stored now.
    [[nodiscard]] auto wanted() const -> std::vector<wanted_record>;

    /// \brief Up to `count` rows to tell a peer, in turn.
    [[nodiscard]] auto next_rows(std::size_t count) -> std::vector<evidence_row>;

    /// \brief Whether any move is ordered.
    [[nodiscard]] auto idle() const noexcept -> bool { return moves_.empty(); }

private:
    struct moving
    {
        move_order order;
        std::optional<move_record> stored;
        time_point stored_since;
        std::optional<wanted_record> wanted;
    };

    auto advance_one(moving& one, time_point now, std::int64_t unix_ms) -> void;
    auto want(moving& one, const move_record& record, time_point now) -> void;
    auto apply(const moving& one, const move_decision& decision) -> void;
    [[nodiscard]] auto decide(const moving& one, std::int64_t unix_ms) -> move_decision;

    target_registry* registry_;
    version_watch* watch_;
    std::uint64_t source_;
    move_evidence evidence_;
    std::map<std::string, moving> moves_;
};

} // namespace knapweedchute
