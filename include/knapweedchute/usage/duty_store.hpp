#pragma once

#include <knapweedchute/usage/duty_holder.hpp>
#include <knapweedchute/usage/usage_reporter.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace knapweedchute {

/// \brief Makes the calls of the duty to the store and to the platform.
/// \detail Each listener is called once. What a refused call tells of the store's keys arrives like
///         changes of the store, before the listener is called.
class duty_store
{
public:
    /// \brief Receives the end of a call, with the store's revision if it took effect.
    using listener = std::function<void(store_outcome outcome, std::uint64_t revision)>;

    duty_store() = default;
    duty_store(const duty_store&) = delete;
    auto operator=(const duty_store&) -> duty_store& = delete;
    virtual ~duty_store() = default;

    virtual auto open_lease(milliseconds life,
                            std::function<void(std::optional<std::uint64_t> lease)> done)
        -> void = 0;
    virtual auto renew(std::uint64_t lease, listener done) -> void = 0;

    /// \brief Writes the holder's key on its lease if there is none.
    virtual auto claim(const duty_record& record, listener done) -> void = 0;

    /// \brief Writes a window's content, if there is none and the duty is still held.
    virtual auto store_content(const report_step& step, std::uint64_t number, listener done)
        -> void = 0;

    /// \brief Marks a window and all before it as reported, if the duty is still held.
    virtual auto close(const report_step& step, std::uint64_t number, listener done) -> void = 0;

    /// \brief Sends a report to the platform.
    /// \param done Told `done` only if the platform has accepted it.
    virtual auto send(const report_step& step, const std::string& holder, std::uint64_t number,
                      duration timeout, listener done) -> void = 0;
};

} // namespace knapweedchute
