#include <knapweedchute/config/operators_file_reader.hpp>

#include <set>

namespace knapweedchute {
namespace {

constexpr auto max_connections = std::int64_t{10'000};
constexpr auto max_cold_requests = std::int64_t{10'000};
constexpr auto max_deadline_ms = std::int64_t{60'000};
constexpr auto default_deadline_ms = std::int64_t{1'000};
constexpr auto default_cold_requests = std::int64_t{4};
constexpr auto max_warmup_ms = std::int64_t{3'600'000};
constexpr auto default_warmup_ms = std::int64_t{5'000};
constexpr auto permil = std::int64_t{1'000};
constexpr auto max_unix_s = std::int64_t{4'102'444'800};

template <typename Items>
auto check_unique(const Items& items, const std::string& path, fault_list& faults) -> void
{
    auto seen = std::set<std::string>{};
    auto index = std::size_t{0};
    for (const auto& item : items) {
        if (!seen.insert(item.name).second) {
            faults.push_back({error_code::invalid_value,
                              path + "/" + std::to_string(index) + "/name",
                              "'" + item.name + "' is declared twice"});
        }
        ++index;
    }
}

} // namespace

auto operators_file_reader::read(std::string_view text) -> std::optional<operators_file>
{
    faults_.clear();
    auto reason = error{};
    const auto json = parse_json(text, reason);
    if (!json) {
        faults_.push_back(reason);
        return std::nullopt;
    }
    auto file = operators_file{};
    auto reader = object_reader{*json, "", faults_};
    reader.each("availability_zones", [&](const auto& element, const auto& path) {
        auto zone = object_reader{element, path, faults_};
        file.availability_zones.push_back({zone.text("name"), zone.flag_or("out", false)});
        zone.finish();
    });
    reader.each("services", [&](const auto& element, const auto& path) {
        file.services.push_back(read_service(element, path));
    });
    reader.finish();
    check_names(file);
    return faults_.empty() ? std::optional{std::move(file)} : std::nullopt;
}

auto operators_file_reader::read_service(const nlohmann::json& json, const std::string& path)
    -> service_spec
{
    auto reader = object_reader{json, path, faults_};
    auto service = service_spec{};
    service.name = reader.text("name");
    service.workspace = reader.text("workspace");
    service.version = reader.text("version");
    service.connections_per_replica = reader.integer("connections_per_replica", 1, max_connections);
    service.cold_requests =
        reader.integer_or("cold_requests", 1, max_cold_requests, default_cold_requests);
    service.warmup =
        milliseconds{reader.integer_or("warmup_ms", 1, max_warmup_ms, default_warmup_ms)};
    service.minimum_coverage_permil = reader.integer_or("minimum_coverage_permil", 0, permil, 0);
    service.default_deadline =
        milliseconds{reader.integer_or("deadline_ms", 1, max_deadline_ms, default_deadline_ms)};
    reader.each("versions", [&](const auto& element, const auto& element_path) {
        service.versions.push_back(read_version(element, element_path));
    });
    if (const auto* rollout = reader.child("move"); rollout != nullptr) {
        service.rollout = read_rollout(*rollout, reader.path_of("move"));
    }
    reader.finish();
    return service;
}

auto operators_file_reader::read_version(const nlohmann::json& json, const std::string& path)
    -> version_spec
{
    auto reader = object_reader{json, path, faults_};
    auto version = version_spec{reader.text("name"), {}};
    reader.each("targets", [&](const auto& element, const auto& element_path) {
        auto target = object_reader{element, element_path, faults_};
        version.targets.push_back({target.endpoint("address"), target.text("availability_zone")});
        target.finish();
    });
    reader.finish();
    return version;
}

auto operators_file_reader::read_rollout(const nlohmann::json& json, const std::string& path)
    -> rollout_spec
{
    auto reader = object_reader{json, path, faults_};
    auto rollout = rollout_spec{};
    rollout.to = reader.text("to");
    rollout.finish_by_unix_s = reader.integer("finish_by_unix_s", 1, max_unix_s);
    reader.each("steps_permil", [&](const auto& element, const auto& element_path) {
        const auto previous = rollout.steps_permil.empty() ? 0 : rollout.steps_permil.back();
        const auto rising = element.is_number_integer() &&
                            element.template get<std::int64_t>() > previous &&
                            element.template get<std::int64_t>() <= permil;
        if (!rising) {
            faults_.push_back({error_code::invalid_value, element_path,
                               "steps must rise and lie between 1 and 1000"});
            return;
        }
        rollout.steps_permil.push_back(element.template get<std::int64_t>());
    });
    if (rollout.steps_permil.empty() || rollout.steps_permil.back() != permil) {
        reader.fault("steps_permil", error_code::invalid_value, "the last step must be 1000");
    }
    reader.finish();
    return rollout;
}

auto operators_file_reader::check_names(const operators_file& file) -> void
{
    check_unique(file.availability_zones, "/availability_zones", faults_);
    check_unique(file.services, "/services", faults_);
    auto index = std::size_t{0};
    for (const auto& service : file.services) {
        check_service(file, service, "/services/" + std::to_string(index));
        ++index;
    }
}

auto operators_file_reader::check_service(const operators_file& file, const service_spec& service,
                                          const std::string& path) -> void
{
    check_unique(service.versions, path + "/versions", faults_);
    if (service.find_version(service.version) == nullptr) {
        faults_.push_back({error_code::invalid_value, path + "/version", "no such version"});
    }
    if (service.rollout && service.find_version(service.rollout->to) == nullptr) {
        faults_.push_back({error_code::invalid_value, path + "/move/to", "no such version"});
    }
    auto zones = std::set<std::string>{};
    for (const auto& zone : file.availability_zones) {
        zones.insert(zone.name);
    }
    auto addresses = std::set<address>{};
    for (auto version = std::size_t{0}; version < service.versions.size(); ++version) {
        const auto& targets = service.versions[version].targets;
        for (auto index = std::size_t{0}; index < targets.size(); ++index) {
            const auto where =
                path + "/versions/" + std::to_string(version) + "/targets/" + std::to_string(index);
            if (!zones.contains(targets[index].availability_zone)) {
                faults_.push_back({error_code::invalid_value, where + "/availability_zone",
                                   "no such availability zone"});
            }
            if (!addresses.insert(targets[index].where).second) {
                faults_.push_back(
                    {error_code::invalid_value, where + "/address", "declared twice"});
            }
        }
    }
}

} // namespace knapweedchute
