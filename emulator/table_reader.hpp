#pragma once

#include "experiment_config.hpp"

#include <toml++/toml.h>

#include <limits>
#include <set>
#include <string>

namespace knapweedchute::emulator {

/// \brief Reads the keys of one TOML table and reports those that nobody read.
class table_reader
{
public:
    /// \param path Path of the table, for messages; empty for the document.
    table_reader(const toml::table& table, std::string path)
        : table_{&table}, path_{std::move(path)}
    {
    }

    /// \brief Returns a number between `lowest` and `highest`, or `fallback` if the key is absent.
    [[nodiscard]] auto number(const char* key, double fallback, double lowest,
                              double highest = std::numeric_limits<double>::max()) -> double
    {
        const auto* node = find(key);
        if (node == nullptr) {
            return fallback;
        }
        const auto value = node->value<double>();
        if (!value || *value < lowest || *value > highest) {
            fail(key, "a number from " + std::to_string(lowest) + " to " + std::to_string(highest) +
                          " expected");
        }
        return *value;
    }

    [[nodiscard]] auto count(const char* key, std::size_t fallback, double lowest, double highest)
        -> std::size_t
    {
        return static_cast<std::size_t>(
            number(key, static_cast<double>(fallback), lowest, highest));
    }

    [[nodiscard]] auto time_ms(const char* key, duration fallback) -> duration
    {
        const auto ms = std::chrono::duration<double, std::milli>(
            number(key, std::chrono::duration<double, std::milli>(fallback).count(), 0.0, 1e7));
        return std::chrono::duration_cast<duration>(ms);
    }

    [[nodiscard]] auto flag(const char* key, bool fallback) -> bool
    {
        const auto* node = find(key);
        const auto value = node == nullptr ? fallback : node->value<bool>();
        if (!value) {
            fail(key, "true or false expected");
        }
        return *value;
    }

    [[nodiscard]] auto text(const char* key, const std::string& fallback) -> std::string
    {
        const auto* node = find(key);
        const auto value = node == nullptr ? fallback : node->value<std::string>();
        if (!value) {
            fail(key, "a text expected");
        }
        return *value;
    }

    /// \brief Returns a list; null if the key is absent.
    [[nodiscard]] auto list(const char* key) -> const toml::array*
    {
        const auto* node = find(key);
        if (node != nullptr && !node->is_array()) {
            fail(key, "a list expected");
        }
        return node == nullptr ? nullptr : node->as_array();
    }

    /// \brief Returns a table; an empty one if the key is absent.
    [[nodiscard]] auto table(const char* key) -> table_reader
    {
        static const auto none = toml::table{};
        const auto* node = find(key);
        if (node != nullptr && !node->is_table()) {
            fail(key, "a table expected");
        }
        return {node == nullptr ? none : *node->as_table(), name_of(key)};
    }

    /// \brief Throws `config_error` if the table has a key that was not read.
    auto expect_all_read() const -> void
    {
        for (const auto& [key, value] : *table_) {
            if (!read_.contains(std::string{key.str()})) {
                throw config_error{"unknown key " + name_of(std::string{key.str()})};
            }
        }
    }

    [[noreturn]] auto fail(const std::string& key, const std::string& expected) const -> void
    {
        throw config_error{name_of(key) + ": " + expected};
    }

private:
    [[nodiscard]] auto find(const char* key) -> const toml::node*
    {
        read_.insert(key);
        return table_->get(key);
    }

    [[nodiscard]] auto name_of(const std::string& key) const -> std::string
    {
        return path_.empty() ? key : path_ + "." + key;
    }

    const toml::table* table_;
    std::string path_;
    std::set<std::string> read_;
};

} // namespace knapweedchute::emulator
