#include <knapweedchute/config/configuration_store.hpp>
#include <knapweedchute/config/operators_file_reader.hpp>

#include <algorithm>
#include <string_view>

namespace knapweedchute {
namespace {

constexpr auto head_key = std::string_view{"configuration"};

auto part_key(const std::string& change, std::uint64_t index) -> std::string
{
    return "configuration.part." + change + "." + std::to_string(index);
}

auto next_head(const configuration_head& base, const std::string& change, const std::string& digest,
               std::uint64_t parts) -> configuration_head
{
    auto head = configuration_head{
        base.version + 1, change, digest, parts, base.change, base.parts, base.recent_changes};
    head.recent_changes.insert(head.recent_changes.begin(), change);
    if (head.recent_changes.size() > configuration_store::max_recent_changes) {
        head.recent_changes.resize(configuration_store::max_recent_changes);
    }
    return head;
}

auto part_count(std::size_t bytes) -> std::uint64_t
{
    return (bytes + configuration_store::max_part_bytes - 1) / configuration_store::max_part_bytes;
}

} // namespace

configuration_store::configuration_store(key_value_store& store, std::size_t attempts)
    : store_{&store}, attempts_{attempts}
{
}

auto configuration_store::read_head(error& reason) -> std::optional<configuration_head>
{
    const auto stored = read_stored_head(reason);
    return stored ? std::optional{stored->head} : std::nullopt;
}

auto configuration_store::read_file(const configuration_head& head, error& reason)
    -> std::optional<configuration>
{
    auto text = std::string{};
    for (auto index = std::uint64_t{0}; index < head.parts; ++index) {
        const auto part = store_->read(part_key(head.change, index), reason);
        if (!part) {
            return std::nullopt;
        }
        text += part->value;
    }
    if (digest_of(text) != head.digest) {
        reason = {error_code::malformed, "configuration", "parts do not match the digest"};
        return std::nullopt;
    }
    return decode_configuration(head.version, head.change, std::move(text), reason);
}

auto configuration_store::apply(const std::string& text, std::uint64_t base_version,
                                const std::string& change, error& reason)
    -> std::optional<std::uint64_t>
{
    if (text.empty() || text.size() > max_file_bytes) {
        reason = {error_code::too_large, "file", "the file must have 1 byte to 16 megabytes"};
        return std::nullopt;
    }
    const auto base = read_stored_head(reason);
    if (!base) {
        reason.code = error_code::store_unavailable;
        return std::nullopt;
    }
    if (base->head.version != base_version) {
        reason = {error_code::conflict, "base",
                  "version " + std::to_string(base->head.version) + " is in place"};
        return std::nullopt;
    }
    const auto digest = digest_of(text);
    if (!write_parts(text, change, reason)) {
        reason.code = error_code::store_unavailable;
        return std::nullopt;
    }
    const auto head = next_head(base->head, change, digest, part_count(text.size()));
    auto maybe_written = false;
    for (auto attempt = std::size_t{0}; attempt < attempts_; ++attempt) {
        if (store_->compare_and_swap(head_key, base->revision, encode_head(head), reason)) {
            remove_parts(base->head.previous_change, base->head.previous_parts);
            return head.version;
        }
        if (reason.code == error_code::conflict) {
            return maybe_written ? resolve_outcome(change, reason) : std::nullopt;
        }
        maybe_written = maybe_written || reason.code == error_code::outcome_unknown;
    }
    reason.code = maybe_written ? error_code::outcome_unknown : error_code::store_unavailable;
    return std::nullopt;
}

auto configuration_store::read_stored_head(error& reason) -> std::optional<stored_head>
{
    const auto stored = store_->read(head_key, reason);
    if (!stored) {
        return std::nullopt;
    }
    if (stored->revision == 0) {
        return stored_head{};
    }
    auto head = decode_head(stored->value, reason);
    return head ? std::optional{stored_head{stored->revision, std::move(*head)}} : std::nullopt;
}

auto configuration_store::write_parts(const std::string& text, const std::string& change,
                                      error& reason) -> bool
{
    for (auto index = std::uint64_t{0}; index < part_count(text.size()); ++index) {
        const auto part = text.substr(index * max_part_bytes, max_part_bytes);
        auto written = false;
        for (auto attempt = std::size_t{0}; attempt < attempts_ && !written; ++attempt) {
            // A conflict means that an earlier attempt succeeded: only this change writes the key.
            written = store_->compare_and_swap(part_key(change, index), 0, part, reason) ||
                      reason.code == error_code::conflict;
        }
        if (!written) {
            return false;
        }
    }
    return true;
}

auto configuration_store::resolve_outcome(const std::string& change, error& reason)
    -> std::optional<std::uint64_t>
{
    for (auto attempt = std::size_t{0}; attempt < attempts_; ++attempt) {
        const auto stored = read_stored_head(reason);
        if (!stored) {
            continue;
        }
        const auto& recent = stored->head.recent_changes;
        const auto found = std::find(recent.begin(), recent.end(), change);
        if (found != recent.end()) {
            return stored->head.version - static_cast<std::uint64_t>(found - recent.begin());
        }
        if (recent.size() < max_recent_changes) {
            reason = {error_code::conflict, "configuration", "another file was accepted first"};
            return std::nullopt;
        }
        break;
    }
    reason = {error_code::outcome_unknown, "configuration", "the answer could not be settled"};
    return std::nullopt;
}

auto configuration_store::remove_parts(const std::string& change, std::uint64_t parts) -> void
{
    for (auto index = std::uint64_t{0}; index < parts; ++index) {
        store_->remove(part_key(change, index));
    }
}

auto decode_configuration(std::uint64_t version, std::string change, std::string text,
                          error& reason) -> std::optional<configuration>
{
    auto reader = operators_file_reader{};
    auto file = reader.read(text);
    if (!file) {
        reason = reader.faults().front();
        return std::nullopt;
    }
    return configuration{version, std::move(change), std::move(text), std::move(*file)};
}

} // namespace knapweedchute
