#pragma once

#include "configuration_history.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweedchute::soak {

/// \brief What a probe asks for.
enum class probe_kind : std::uint8_t
{
    newest,    ///< The route that was added last.
    older,     ///< One that was added before.
    removed,   ///< One that was removed.
    never,     ///< One that never existed.
    relocated, ///< The one that moves between two services.
    split,     ///< The one whose weights change.
    timed      ///< The one whose time-out is switched; its targets take longer.
};

/// \brief Name of a kind for messages.
[[nodiscard]] auto to_string(probe_kind kind) -> std::string;

/// \brief One request that shows which version is in force.
struct probe
{
    probe_kind kind = probe_kind::newest; ///< What it asks for.
    std::string route;                    ///< Name of the route.
    std::string id;                       ///< Identity of the request.
    std::size_t instance = 0;             ///< Instance that it was sent to.
    std::uint64_t lifetime = 0;           ///< Starts of that instance before it was sent.
    time_point sent;                      ///< When it was sent.
    bool in_touch = false;                ///< Whether the instance was in touch then.
};

/// \brief How a probe ended.
struct probe_answer
{
    unsigned status = 0;     ///< Status; 0: no answer.
    std::string service;     ///< Service whose body it bears; empty: none that is known.
    time_point ended;        ///< When it ended.
    bool undisturbed = true; ///< Whether nothing has disturbed its measured time.
};

/// \brief Chooses the route of the next probe of a kind.
/// \param number Number of the probe, from which the choice is made.
/// \returns Name of the route; empty if no version has had such a one.
[[nodiscard]] auto choose_route(const configuration_history& history, probe_kind kind,
                                std::uint64_t number) -> std::string;

/// \brief Holds the answers to probes against the versions that may be in force.
class configuration_judge
{
public:
    /// \brief Answers of one kind at one instance.
    struct tally
    {
        std::size_t asked = 0;  ///< All.
        std::size_t newest = 0; ///< As the newest version allows.
        std::size_t other = 0;  ///< As only other versions allow.
    };

    /// \param history Versions; must outlive this object.
    explicit configuration_judge(const configuration_history& history) : history_{&history} {}

    /// \brief Judges an answer.
    auto judge(const probe& asked, const probe_answer& answer) -> void;

    /// \brief Everything that broke a rule.
    [[nodiscard]] auto faults() const noexcept -> const std::vector<std::string>&
    {
        return faults_;
    }

    /// \brief Begins to count anew what each instance answers.
    auto begin_window() -> void { window_.clear(); }

    /// \brief Notes a fault for each instance and kind that isn't answered as the newest version
    ///        allows, since the window began; no version may be sent in it.
    auto expect_newest(std::size_t instances, const std::string& when) -> void;

    /// \brief What was asked, in touch or not, and how often it showed no version.
    [[nodiscard]] auto summary() const -> std::string;

private:
    struct shown_version
    {
        std::size_t position = 0;
        time_point when;
    };

    /// Whether a version allows an answer.
    [[nodiscard]] auto allows(std::size_t position, const probe& asked,
                              const probe_answer& answer) const -> bool;
    /// Whether an answer shows anything of the version in force.
    [[nodiscard]] auto shows_version(const probe& asked, const probe_answer& answer) const -> bool;
    /// Newest version, as a position, that allows an answer.
    [[nodiscard]] auto newest_allowing(const probe& asked, const probe_answer& answer) const
        -> std::optional<std::size_t>;
    auto check_bound(std::size_t allowing, const probe& asked, const probe_answer& answer) -> void;
    auto check_order(const probe& asked, const probe_answer& answer) -> void;
    auto fault(const probe& asked, const probe_answer& answer, const std::string& what) -> void;

    const configuration_history* history_;
    std::map<std::pair<std::size_t, std::uint64_t>, shown_version> shown_;
    std::map<std::pair<std::size_t, probe_kind>, tally> window_;
    std::map<probe_kind, std::map<std::string, std::size_t>> counts_;
    std::vector<std::string> faults_;
};

} // namespace knapweedchute::soak
