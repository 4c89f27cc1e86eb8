#pragma once

#include <knapweedchute/runtime/http_server.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace knapweedchute::test {

/// \brief Small stand-in for the platform's key-value service.
class platform_stand_in
{
public:
    explicit platform_stand_in(const address& where);

    /// \name Faults
    /// @{
    auto set_outage(bool down) -> void { outage_ = down; }

    /// \brief The next writes take effect but their answers are lost.
    auto lose_answers(int count) -> void { lost_answers_ = count; }

    /// \brief The next reads of the configuration's head answer its previous value.
    auto answer_old(int count) -> void { old_answers_ = count; }
    /// @}

    /// \brief Values whose key starts with a prefix.
    [[nodiscard]] auto values_with(const std::string& prefix) -> std::vector<std::string>;

    [[nodiscard]] auto listening() const -> bool { return server_->listening(); }
    [[nodiscard]] auto reads() const -> std::uint64_t { return reads_; }
    [[nodiscard]] auto writes() const -> std::uint64_t { return writes_; }

private:
    struct entry
    {
        std::uint64_t revision = 0;
        std::string value;
        std::string previous;
        std::uint64_t previous_revision = 0;
    };

    [[nodiscard]] auto handle(const http_call& call) -> http_reply;
    [[nodiscard]] auto read(const std::string& key) -> http_reply;
    [[nodiscard]] auto write(const std::string& key, const http_call& call) -> http_reply;

    std::mutex mutex_;
    std::map<std::string, entry> values_;
    std::uint64_t next_revision_ = 1;
    std::atomic<bool> outage_{false};
    std::atomic<int> lost_answers_{0};
    std::atomic<int> old_answers_{0};
    std::atomic<std::uint64_t> reads_{0};
    std::atomic<std::uint64_t> writes_{0};
    std::unique_ptr<http_server> server_;
};

} // namespace knapweedchute::test
