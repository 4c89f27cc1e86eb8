#pragma once

#include "target_stand_in.hpp"

#include <knapweedchute/relay/exchange_result.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweedchute::soak {

/// \brief Kinds of requests that the soak sends.
enum class request_kind : std::uint8_t
{
    query,      ///< To every shard.
    run_once,   ///< Must not run twice.
    configured, ///< To the service that the version in force names.
    moving      ///< To the service whose version is moved.
};

/// \brief One request of a caller with its end.
struct asked
{
    request_kind kind = request_kind::query; ///< What was asked.
    std::string id;                          ///< Identity of the request.
    std::size_t instance = 0;                ///< Instance that it was sent to.
    std::uint64_t lifetime = 0;              ///< Starts of that instance before it was sent.
    std::uint64_t seen_before = 0;           ///< Version whose effect was known when it was sent.
};

/// \brief Holds every answer against what must always be true, and remembers what is not.
class answer_checker
{
public:
    /// \param shards  Services of a query.
    /// \param targets Service of each target, by id.
    answer_checker(std::vector<std::string> shards, std::map<std::string, std::string> targets);

    /// \brief Notes that a version was written.
    auto on_version(std::uint64_t version) -> void { newest_ = version; }

    /// \brief Notes a target that came later.
    auto on_target(const std::string& id, const std::string& service) -> void
    {
        targets_[id] = service;
    }

    /// \brief Checks an answer.
    /// \returns Whether it is a good one.
    auto check(const asked& request, const exchange_result& result) -> bool;

    /// \brief Checks what all targets ran, at the end.
    auto check_runs(const run_counts& runs) -> void;

    /// \brief Version whose effect an instance has shown in a lifetime; 0: none.
    [[nodiscard]] auto seen(std::size_t instance, std::uint64_t lifetime) const -> std::uint64_t;

    /// \brief Everything that broke a rule.
    [[nodiscard]] auto faults() const noexcept -> const std::vector<std::string>&
    {
        return faults_;
    }

    /// \brief Notes a fault.
    auto fault(const asked& request, const std::string& what) -> void;

    /// Versions in a row that name different services; an instance may be that many behind.
    static constexpr auto configured_services = std::uint64_t{16};

    /// \brief Service that a version names for configured requests.
    [[nodiscard]] static auto configured_service(std::uint64_t version) -> std::string;

private:
    auto check_query(const asked& request, const relayed_answer& answer) -> void;
    auto check_configured(const asked& request, const relayed_answer& answer) -> void;

    std::vector<std::string> shards_;
    std::map<std::string, std::string> targets_;
    std::uint64_t newest_ = 0;
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> seen_;
    std::set<std::string> once_;
    std::set<std::string> refused_;
    std::vector<std::string> faults_;
};

} // namespace knapweedchute::soak
