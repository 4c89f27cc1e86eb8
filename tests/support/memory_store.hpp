#pragma once

#include <knapweedchute/store/key_value_store.hpp>

#include <functional>
#include <map>
#include <string>

namespace knapweedchute::test {

/// \brief Key-value service in memory with faults at chosen calls.
class memory_store final : public key_value_store
{
public:
    /// \brief What happens to a write.
    enum class fault
    {
        none,
        refused,      ///< Not written, and said so.
        lost_answer,  ///< Written, answer lost.
        lost_request, ///< Not written, answer lost.
    };

    /// \brief Asked before each write; may also act as another operator.
    std::function<fault(std::string_view key)> on_write = [](auto) { return fault::none; };

    /// \brief Whether reads fail.
    bool unreadable = false;

    [[nodiscard]] auto read(std::string_view key, error& reason)
        -> std::optional<stored_value> override
    {
        if (unreadable) {
            reason = {error_code::store_unavailable, std::string{key}, "down"};
            return std::nullopt;
        }
        const auto found = values.find(std::string{key});
        return found == values.end() ? stored_value{} : found->second;
    }

    [[nodiscard]] auto compare_and_swap(std::string_view key, std::uint64_t expected,
                                        const std::string& value, error& reason)
        -> std::optional<std::uint64_t> override
    {
        const auto happening = on_write(key);
        if (happening == fault::refused) {
            reason = {error_code::store_unavailable, std::string{key}, "refused"};
            return std::nullopt;
        }
        auto& stored = values[std::string{key}];
        const auto applies = stored.revision == expected && happening != fault::lost_request;
        if (applies) {
            stored = {++revision_, value};
        }
        if (happening != fault::none) {
            reason = {error_code::outcome_unknown, std::string{key}, "lost"};
            return std::nullopt;
        }
        if (!applies) {
            reason = {error_code::conflict, std::string{key}, "another revision"};
            return std::nullopt;
        }
        return stored.revision;
    }

    auto remove(std::string_view key) -> void override { values.erase(std::string{key}); }

    std::map<std::string, stored_value> values;

private:
    std::uint64_t revision_ = 0;
};

} // namespace knapweedchute::test
