#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/runtime/http_client.hpp>
#include <knapweedchute/store/key_value_store.hpp>

namespace knapweedchute {

/// \brief Accesses the platform's key-value service over HTTP; one thread at a time may use it.
/// \see docs/interface-platform.md
class http_key_value_store final : public key_value_store
{
public:
    /// \param service_address Address of the service.
    /// \param timeout         Time limit for one call.
    /// \param counters        Counts calls and failures.
    http_key_value_store(address service_address, milliseconds timeout, counter_set& counters);

    [[nodiscard]] auto read(std::string_view key, error& reason)
        -> std::optional<stored_value> override;
    [[nodiscard]] auto compare_and_swap(std::string_view key, std::uint64_t expected,
                                        const std::string& value, error& reason)
        -> std::optional<std::uint64_t> override;
    auto remove(std::string_view key) -> void override;

private:
    [[nodiscard]] auto call(const http_request& request, error& reason)
        -> std::optional<http_response>;
    [[nodiscard]] auto url_of(std::string_view key) const -> std::string;

    address service_address_;
    milliseconds timeout_;
    counter_set* counters_;
    http_client client_;
};

} // namespace knapweedchute
