#include <knapweedchute/entry/entry_settings_reader.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto max_period_ms = std::int64_t{600'000};
/// Shorter limits leave no time for a lost call to the store.
constexpr auto min_limit_ms = std::int64_t{1'000};
constexpr auto min_period_s = 0.001;
constexpr auto max_period_s = 600.0;
constexpr auto max_cores = 1'024.0;
constexpr auto permil = 1'000.0;
constexpr auto max_extra_allowance = 1e6;
constexpr auto max_byte_price = 1e6;
constexpr auto mebibyte = std::int64_t{1'048'576};
/// Less leaves no room for answers beside what the process always holds.
constexpr auto min_memory_mb = std::int64_t{64};
constexpr auto min_caller_percent = std::int64_t{5};
constexpr auto max_caller_percent = std::int64_t{50};
constexpr auto default_caller_percent = std::int64_t{25};
constexpr auto max_descriptors = std::int64_t{16'777'216};
constexpr auto max_memory_mb = std::int64_t{1'048'576};

/// Reports of usage are due only if their address is set.
auto read_usage(object_reader& reader) -> std::optional<usage_settings>
{
    const auto read_ms = [&](std::string_view key, milliseconds fallback) {
        return milliseconds{reader.integer_or(key, min_limit_ms, max_period_ms, fallback.count())};
    };
    auto value = usage_settings{};
    value.platform_address = reader.endpoint_or("usage_address", {});
    constexpr auto max_window_s = std::int64_t{86'400};
    value.window = seconds{reader.integer_or("usage_window_s", 1, max_window_s, 5)};
    value.late = seconds{reader.integer_or("usage_late_s", 1, max_window_s, 10)};
    value.lease = read_ms("usage_lease_ms", value.lease);
    value.min_lease = read_ms("usage_min_lease_ms", value.min_lease);
    constexpr auto min_rate = 0.01;
    constexpr auto max_rate = 1e6;
    value.calls_per_second =
        reader.number_or("usage_calls_per_s", min_rate, max_rate, value.calls_per_second);
    return value.platform_address == address{} ? std::nullopt : std::optional{value};
}

auto read_settings(object_reader& reader) -> entry_settings
{
    const auto read_milliseconds = [&](std::string_view key) {
        return milliseconds{reader.integer(key, 1, max_period_ms)};
    };
    const auto read_seconds = [&](std::string_view key) {
        const auto value = reader.number(key, min_period_s, max_period_s);
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
    // Seeds are the admin addresses of peers; datagrams go to their peer port, taken to be the same
    // as that of this instance.
    for (const auto& seed : reader.endpoints("seeds")) {
        value.seeds.push_back({seed.ip, value.peer_address.port});
    }
    value.address_lifetime = read_milliseconds("address_lifetime_ms");
    value.stop_grace = read_seconds("stop_grace_s");
    const auto read_limit = [&](std::string_view key) {
        const auto fallback = entry_settings{}.propagation_limit.count();
        return milliseconds{reader.integer_or(key, min_limit_ms, max_period_ms, fallback)};
    };
    value.propagation_limit = std::min({read_limit("configuration_limit_ms"),
                                        read_limit("drain_limit_ms"), read_limit("zone_limit_ms")});
    constexpr auto default_revocation_ms = std::int64_t{5'000};
    const auto revocation = milliseconds{reader.integer_or("revocation_limit_ms", min_limit_ms,
                                                           max_period_ms, default_revocation_ms)};
    if (reader.flag_or("strict_revocation", false)) {
        value.revocation_limit = revocation;
        value.propagation_limit = std::min(value.propagation_limit, key_propagation(revocation));
    }
    value.usage = read_usage(reader);
    value.share_by_demand = reader.flag_or("share_by_demand", false);
    constexpr auto default_memory_mb =
        static_cast<std::int64_t>(entry_settings::default_memory_limit) / mebibyte;
    value.memory_limit =
        static_cast<std::size_t>(mebibyte * reader.integer_or("memory_limit_mb", min_memory_mb,
                                                              max_memory_mb, default_memory_mb));
    constexpr auto percent = 100.0;
    value.caller_memory_share =
        static_cast<double>(reader.integer_or("caller_memory_percent", min_caller_percent,
                                              max_caller_percent, default_caller_percent)) /
        percent;
    value.max_descriptors =
        static_cast<std::size_t>(reader.integer_or("max_descriptors", 0, max_descriptors, 0));
    value.body_time_limit =
        milliseconds{reader.integer_or("body_time_limit_ms", min_limit_ms, max_period_ms,
                                       entry_settings{}.body_time_limit.count())};
    value.zone_byte_price = reader.number_or("zone_byte_price", 0.0, max_byte_price, 0.0);
    value.extras.window = read_seconds("extra_window_s");
    value.extras.ratio = reader.number("extra_ratio", 0.0, 1.0);
    value.processor_permil =
        static_cast<std::uint32_t>(reader.number("processor_share", 0.0, max_cores) *
                                   reader.number("cores", 0.0, max_cores) * permil);
    value.extras.allowance = reader.number("extra_allowance", 0.0, max_extra_allowance);
    return value;
}

} // namespace

auto entry_settings_reader::read(std::string_view text) -> std::optional<entry_settings>
{
    return read_document(text, faults_, read_settings);
}

} // namespace knapweedchute
