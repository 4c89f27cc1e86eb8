#include <knapweedchute/config/settings_reader.hpp>

namespace knapweedchute {
namespace {

constexpr auto min_key_length = std::size_t{16};
constexpr auto max_threads = std::int64_t{64};
constexpr auto max_queries = std::int64_t{1'000'000};
constexpr auto max_body_bytes = std::int64_t{1'048'576};
constexpr auto max_period_ms = std::int64_t{600'000};

auto read_key(object_reader& reader, std::string_view name) -> std::string
{
    auto key = reader.text(name);
    if (!key.empty() && key.size() < min_key_length) {
        reader.fault(name, error_code::invalid_value, "expected at least 16 characters");
    }
    return key;
}

auto read_name(object_reader& reader, std::string_view name) -> std::string
{
    constexpr auto max_name_length = std::size_t{64};
    auto value = reader.text(name);
    if (value.find('.') != std::string::npos || value.size() > max_name_length) {
        reader.fault(name, error_code::invalid_value, "expected up to 64 characters, no dots");
    }
    return value;
}

auto read_settings(object_reader& reader) -> settings
{
    const auto period = [&](std::string_view key, std::int64_t fallback) {
        return milliseconds{reader.integer_or(key, 1, max_period_ms, fallback)};
    };
    auto value = settings{};
    value.instance = read_name(reader, "instance");
    value.availability_zone = reader.text("availability_zone");
    value.deployment = reader.text("deployment");
    value.key = read_key(reader, "key");
    value.operator_key = read_key(reader, "operator_key");
    value.caller_address = reader.endpoint("caller_address");
    value.admin_address = reader.endpoint("admin_address");
    value.peer_address = reader.endpoint("peer_address");
    value.platform_address = reader.endpoint("platform_address");
    value.seeds = reader.endpoints("seeds");
    value.worker_threads = reader.integer_or("worker_threads", 1, max_threads, 2);
    value.http_threads = reader.integer_or("http_threads", 1, max_threads, 2);
    value.max_queries = reader.integer_or("most_queries", 1, max_queries, 2'000);
    value.max_body_bytes = reader.integer_or("largest_body", 1, max_body_bytes, 65'536);
    value.store_readers = reader.integer_or("store_readers", 1, 8, 2);
    value.probe_period = period("probe_period_ms", 500);
    value.store_period = period("store_period_ms", 1'000);
    value.address_lifetime = period("address_lifetime_ms", 5'000);
    value.freshness_limit = period("freshness_limit_ms", 5'000);
    return value;
}

} // namespace

auto settings_reader::read(std::string_view text) -> std::optional<settings>
{
    return read_document(text, faults_, read_settings);
}

} // namespace knapweedchute
