#pragma once

#include <knapweedchute/rollout/rollout_record.hpp>

#include <string>

namespace knapweedchute {

/// \brief Stores rollout records where all instances and the operator read them.
class record_writer
{
public:
    record_writer() = default;
    record_writer(const record_writer&) = delete;
    auto operator=(const record_writer&) -> record_writer& = delete;
    virtual ~record_writer() = default;

    /// \brief Replaces the record last read; has no effect if the stored one has changed since.
    virtual auto write(const std::string& service, const rollout_record& record) -> void = 0;
};

} // namespace knapweedchute
