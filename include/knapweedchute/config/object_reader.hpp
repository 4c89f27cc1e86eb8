#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/error.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedchute {

/// \brief List of all faults found in a document, each with its path.
using fault_list = std::vector<error>;

/// \brief Parses JSON text without exceptions.
/// \param reason Filled when nothing is returned; `where` holds the byte offset.
[[nodiscard]] auto parse_json(std::string_view text, error& reason)
    -> std::optional<nlohmann::json>;

/// \brief Reads the keys of one JSON object and records each fault with its path.
///
/// \detail Missing keys, wrong types, values out of range and unknown keys are faults:
/// \code
/// auto reader = object_reader{json, "/services/0", faults};
/// const auto name = reader.text("name");
/// reader.finish();
/// \endcode
class object_reader
{
public:
    /// \param object Value that should be an object.
    /// \param path   Path of the object, for faults.
    /// \param faults List that receives the faults.
    object_reader(const nlohmann::json& object, std::string path, fault_list& faults);

    /// \name Required keys
    /// @{
    [[nodiscard]] auto text(std::string_view key) -> std::string;
    [[nodiscard]] auto integer(std::string_view key, std::int64_t minimum, std::int64_t maximum)
        -> std::int64_t;
    [[nodiscard]] auto number(std::string_view key, double minimum, double maximum) -> double;
    [[nodiscard]] auto endpoint(std::string_view key) -> address;
    /// @}

    /// \name Optional keys
    /// @{
    [[nodiscard]] auto text_or(std::string_view key, std::string fallback) -> std::string;
    [[nodiscard]] auto integer_or(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                                  std::int64_t fallback) -> std::int64_t;
    [[nodiscard]] auto number_or(std::string_view key, double minimum, double maximum,
                                 double fallback) -> double;
    [[nodiscard]] auto flag_or(std::string_view key, bool fallback) -> bool;
    [[nodiscard]] auto endpoint_or(std::string_view key, address fallback) -> address;
    [[nodiscard]] auto endpoints(std::string_view key) -> std::vector<address>;
    /// @}

    /// \brief Calls `visit` with each element of an array and its path, if the key exists.
    auto each(std::string_view key,
              const std::function<void(const nlohmann::json&, const std::string&)>& visit) -> void;

    /// \brief Returns a reader for an inner object that records faults in the same list.
    [[nodiscard]] auto nested(const nlohmann::json& object, std::string path) -> object_reader
    {
        return {object, std::move(path), *faults_};
    }

    /// \brief Returns the value of an optional key, or null.
    [[nodiscard]] auto child(std::string_view key) -> const nlohmann::json*;

    /// \brief Returns the path of a key of this object.
    [[nodiscard]] auto path_of(std::string_view key) const -> std::string;

    /// \brief Records a fault at a key.
    auto fault(std::string_view key, error_code code, std::string what) -> void;

    /// \brief Records a fault for each key that was not read.
    auto finish() -> void;

private:
    [[nodiscard]] auto required(std::string_view key) -> const nlohmann::json*;

    const nlohmann::json* object_;
    std::string path_;
    fault_list* faults_;
    std::set<std::string, std::less<>> read_keys_;
};

/// \brief Parses the text of one JSON object and reads its keys; unknown keys are faults.
/// \param faults Receives all faults; earlier content is cleared.
/// \param read   Called with the reader of the object; returns the value.
/// \returns The value, or nothing if there is any fault.
template <typename Read>
[[nodiscard]] auto read_document(std::string_view text, fault_list& faults, Read read)
    -> std::optional<decltype(read(std::declval<object_reader&>()))>
{
    faults.clear();
    auto reason = error{};
    const auto json = parse_json(text, reason);
    if (!json) {
        faults.push_back(reason);
        return std::nullopt;
    }
    auto reader = object_reader{*json, "", faults};
    auto value = read(reader);
    reader.finish();
    return faults.empty() ? std::optional{std::move(value)} : std::nullopt;
}

/// \brief Parses the text of one JSON object and reads its keys; unknown keys are ignored.
/// \param reason Filled with the first fault when nothing is returned.
/// \param read   Called with the reader of the object; returns the value.
template <typename Read>
[[nodiscard]] auto decode_object(std::string_view text, error& reason, Read read)
    -> std::optional<decltype(read(std::declval<object_reader&>()))>
{
    const auto json = parse_json(text, reason);
    if (!json) {
        return std::nullopt;
    }
    auto faults = fault_list{};
    auto reader = object_reader{*json, "", faults};
    auto value = read(reader);
    if (!faults.empty()) {
        reason = faults.front();
        return std::nullopt;
    }
    return value;
}

} // namespace knapweedchute
