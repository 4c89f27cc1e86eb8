#include <knapweedchute/entry/entry_settings_reader.hpp>

namespace knapweedchute {
namespace {

constexpr auto longest_period_ms = std::int64_t{600'000};
constexpr auto shortest_period_s = 0.001;
constexpr auto longest_period_s = 600.0;
constexpr auto most_cores = 1'024.0;
constexpr auto permil = 1'000.0;
constexpr auto most_extras = 1e6;

auto read_settings(object_reader& reader) -> entry_settings
{
    const auto period = [&](std::string_view key) {
        return milliseconds{reader.integer(key, 1, longest_period_ms)};
    };
    const auto seconds_at = [&](std::string_view key) {
        const auto value = reader.number(key, shortest_period_s, longest_period_s);
        return std::chrono::round<milliseconds>(std::chrono::duration<double>(value));
    };
    auto value = entry_settings{};
    value.instance = reader.text("instance");
    value.availability_zone = reader.text("availability_zone");
    value.caller_address = reader.endpoint("caller_address");
    value.readiness_address = reader.endpoint("readiness_address");
    value.directory_address = reader.endpoint("directory_address");
    value.admin_address = reader.endpoint("admin_address");
    value.peer_address = reader.endpoint("peer_address");
    value.store_address = reader.endpoint("store_address");
    // Seeds name the admin addresses of peers; datagrams go to their peer port.
    for (const auto& seed : reader.endpoints("seeds")) {
        value.seeds.push_back({seed.ip, value.peer_address.port});
    }
    value.address_lifetime = period("address_lifetime_ms");
    value.stop_grace = seconds_at("stop_grace_s");
    value.extras.window = seconds_at("extra_window_s");
    value.extras.ratio = reader.number("extra_ratio", 0.0, 1.0);
    value.processor_permil =
        static_cast<std::uint32_t>(reader.number("processor_share", 0.0, most_cores) *
                                   reader.number("cores", 0.0, most_cores) * permil);
    value.extras.allowance = reader.number("extra_allowance", 0.0, most_extras);
    return value;
}

} // namespace

auto entry_settings_reader::read(std::string_view text) -> std::optional<entry_settings>
{
    return read_document(text, faults_, read_settings);
}

} // namespace knapweedchute
