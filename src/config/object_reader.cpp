#include <knapweedchute/config/object_reader.hpp>

#include <utility>

namespace knapweedchute {
namespace {

const auto empty_object = nlohmann::json::object();

} // namespace

auto parse_json(std::string_view text, error& reason) -> std::optional<nlohmann::json>
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error& thrown) {
        reason = {error_code::malformed, "byte " + std::to_string(thrown.byte), "not valid JSON"};
        return std::nullopt;
    } catch (const nlohmann::json::exception& thrown) {
        // A number that no double holds.
        reason = {error_code::invalid_value, {}, thrown.what()};
        return std::nullopt;
    }
}

object_reader::object_reader(const nlohmann::json& object, std::string path, fault_list& faults)
    : object_{&object}, path_{std::move(path)}, faults_{&faults}
{
    if (!object.is_object()) {
        faults_->push_back({error_code::invalid_value, path_, "expected an object"});
        object_ = &empty_object;
    }
}

auto object_reader::text(std::string_view key) -> std::string
{
    if (required(key) == nullptr) {
        return {};
    }
    auto value = text_or(key, {});
    if (value.empty()) {
        fault(key, error_code::invalid_value, "expected text that is not empty");
    }
    return value;
}

auto object_reader::integer(std::string_view key, std::int64_t minimum, std::int64_t maximum)
    -> std::int64_t
{
    return required(key) == nullptr ? minimum : integer_or(key, minimum, maximum, minimum);
}

auto object_reader::number(std::string_view key, double minimum, double maximum) -> double
{
    return required(key) == nullptr ? minimum : number_or(key, minimum, maximum, minimum);
}

auto object_reader::endpoint(std::string_view key) -> address
{
    return required(key) == nullptr ? address{} : endpoint_or(key, {});
}

auto object_reader::text_or(std::string_view key, std::string fallback) -> std::string
{
    const auto* value = child(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        fault(key, error_code::invalid_value, "expected text");
        return fallback;
    }
    return value->get<std::string>();
}

auto object_reader::integer_or(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                               std::int64_t fallback) -> std::int64_t
{
    const auto* value = child(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto in_range = value->is_number_integer() && value->get<std::int64_t>() >= minimum &&
                          value->get<std::int64_t>() <= maximum;
    if (!in_range) {
        fault(key, error_code::invalid_value,
              "expected a whole number from " + std::to_string(minimum) + " to " +
                  std::to_string(maximum));
        return fallback;
    }
    return value->get<std::int64_t>();
}

auto object_reader::number_or(std::string_view key, double minimum, double maximum, double fallback)
    -> double
{
    const auto* value = child(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto in_range =
        value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum;
    if (!in_range) {
        fault(key, error_code::invalid_value,
              "expected a number from " + std::to_string(minimum) + " to " +
                  std::to_string(maximum));
        return fallback;
    }
    return value->get<double>();
}

auto object_reader::flag_or(std::string_view key, bool fallback) -> bool
{
    const auto* value = child(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fault(key, error_code::invalid_value, "expected true or false");
        return fallback;
    }
    return value->get<bool>();
}

auto object_reader::endpoint_or(std::string_view key, address fallback) -> address
{
    if (child(key) == nullptr) {
        return fallback;
    }
    auto reason = error{};
    const auto parsed = parse_address(text_or(key, {}), reason);
    if (!parsed) {
        fault(key, reason.code, reason.what);
    }
    return parsed.value_or(fallback);
}

auto object_reader::endpoints(std::string_view key) -> std::vector<address>
{
    auto list = std::vector<address>{};
    each(key, [&](const auto& element, const auto& path) {
        auto reason = error{};
        const auto read = element.is_string()
                              ? parse_address(element.template get<std::string>(), reason)
                              : std::nullopt;
        if (read) {
            list.push_back(*read);
        } else {
            faults_->push_back({error_code::invalid_value, path, "expected IP:PORT"});
        }
    });
    return list;
}

auto object_reader::each(
    std::string_view key,
    const std::function<void(const nlohmann::json&, const std::string&)>& visit) -> void
{
    const auto* value = child(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        fault(key, error_code::invalid_value, "expected an array");
        return;
    }
    auto index = std::size_t{0};
    for (const auto& element : *value) {
        visit(element, path_of(key) + "/" + std::to_string(index));
        ++index;
    }
}

auto object_reader::child(std::string_view key) -> const nlohmann::json*
{
    read_keys_.emplace(key);
    const auto found = object_->find(std::string{key});
    return found == object_->end() ? nullptr : &*found;
}

auto object_reader::path_of(std::string_view key) const -> std::string
{
    return path_ + "/" + std::string{key};
}

auto object_reader::fault(std::string_view key, error_code code, std::string what) -> void
{
    faults_->push_back({code, path_of(key), std::move(what)});
}

auto object_reader::finish() -> void
{
    for (const auto& [key, value] : object_->items()) {
        if (!read_keys_.contains(key)) {
            fault(key, error_code::unknown_key, "this key is not defined here");
        }
    }
}

auto object_reader::required(std::string_view key) -> const nlohmann::json*
{
    const auto* value = child(key);
    if (value == nullptr) {
        fault(key, error_code::invalid_value, "this key is required");
    }
    return value;
}

} // namespace knapweedchute
