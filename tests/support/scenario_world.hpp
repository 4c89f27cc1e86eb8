#pragma once

#include "platform_stand_in.hpp"
#include "target_stand_in.hpp"

#include <knapweedchute/config/configuration_store.hpp>
#include <knapweedchute/runtime/http_client.hpp>
#include <knapweedchute/runtime/query_instance.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace knapweedchute::test {

/// \brief What came back for one request, as a caller saw it.
struct caller_view
{
    long status = 0;     ///< HTTP status; 0 if there was no response.
    nlohmann::json body; ///< Response body.
};

/// \brief What a background load saw.
struct load_view
{
    std::uint64_t whole = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;         ///< No whole response although the connection was made.
    std::uint64_t unreachable = 0; ///< No connection to an address whose answer was still valid.
    std::vector<std::string> refusals; ///< The first refusals as their callers saw them.
    std::uint64_t violations = 0; ///< Hits of another snapshot or coverage that does not add up.
};

/// \brief Everything that a scenario acts on: stand-ins, instances, gates, a load.
class scenario_world
{
public:
    scenario_world();
    scenario_world(const scenario_world&) = delete;
    auto operator=(const scenario_world&) -> scenario_world& = delete;
    ~scenario_world();

    /// \name Setting up
    /// @{
    auto add_target(const std::string& version, const std::string& zone, target_options options)
        -> std::size_t;
    auto start_entry(const std::string& name, const std::string& zone, int lifetime_ms) -> void;
    auto stop_entry(const std::string& name) -> void;
    auto kill_entry(const std::string& name) -> void;
    auto cut(const std::string& left, const std::string& right, bool closed) -> void;
    /// @}

    /// \name Operators
    /// @{
    auto set_zone(const std::string& zone, bool out) -> void;
    auto set_version(const std::string& version) -> void { version_ = version; }
    auto set_move(const std::string& to, std::int64_t seconds_left) -> void;

    /// \brief Applies what is declared now; returns the version or the error's name.
    [[nodiscard]] auto apply(std::uint64_t base, std::string& failure) -> std::uint64_t;

    /// \brief Offers the last accepted file to one instance, as knapweedctl does.
    auto push(const std::string& entry) -> void;
    /// @}

    /// \name Callers
    /// @{
    [[nodiscard]] auto post(const std::string& entry, const std::string& path,
                            const nlohmann::json& body) -> caller_view;
    [[nodiscard]] auto addresses(const std::string& entry) -> caller_view;
    auto start_load(const std::vector<std::string>& entries) -> void;
    auto stop_load() -> load_view;
    /// @}

    [[nodiscard]] auto platform() -> platform_stand_in& { return *platform_; }
    [[nodiscard]] auto target(std::size_t index) -> target_stand_in& { return *targets_.at(index); }
    [[nodiscard]] auto entry(const std::string& name) -> query_instance&
    {
        return *entries_.at(name).instance;
    }
    [[nodiscard]] auto executions() const -> std::map<std::string, int>;

private:
    struct running_entry
    {
        settings values;
        std::unique_ptr<network_filter> gate;
        std::unique_ptr<query_instance> instance;
    };

    struct declared_target
    {
        std::string version;
        std::string zone;
        address where;
    };

    [[nodiscard]] auto file_text() const -> std::string;
    auto load_loop(const std::vector<std::string>& entries, std::size_t number) -> void;
    [[nodiscard]] static auto ask_addresses(const std::string& where) -> std::vector<std::string>;
    auto judge(const caller_view& view) -> void;

    std::unique_ptr<platform_stand_in> platform_;
    std::vector<std::unique_ptr<target_stand_in>> targets_;
    std::vector<declared_target> declared_;
    std::map<std::string, running_entry> entries_;
    std::set<std::string> zones_;
    std::set<std::string> zones_out_;
    std::string version_ = "v1";
    std::optional<rollout_spec> move_;
    std::uint64_t changes_ = 0;
    nlohmann::json last_accepted_;
    std::uint64_t next_incarnation_ = 1;
    std::uint16_t next_entry_ = 1;
    std::mutex load_mutex_;
    load_view load_;
    std::atomic<bool> loading_{false};
    std::vector<std::thread> load_threads_;
};

} // namespace knapweedchute::test
