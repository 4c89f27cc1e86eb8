#pragma once

#include <knapweedchute/move/move_record.hpp>

#include <string>

namespace knapweedchute {

/// \brief Stores records of moves where all instances and the operator read them.
class record_writer
{
public:
    record_writer() = default;
    record_writer(const record_writer&) = delete;
    auto operator=(const record_writer&) -> record_writer& = delete;
    virtual ~record_writer() = default;

    /// \brief Stores a record in place of the one last heard; without effect if that has changed.
    virtual auto write(const std::string& service, const move_record& record) -> void = 0;
};

} // namespace knapweedchute
