#include "store_proxy.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <memory>
#include <sstream>
#include <string>

namespace knapweedchute::soak {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr auto buffer_bytes = std::size_t{65'536};

auto endpoint_of(const address& where) -> tcp::endpoint
{
    return {boost::asio::ip::address_v4{where.ip}, where.port};
}

/// Writes an endpoint as the system's table of connections does.
auto table_entry(const tcp::endpoint& endpoint) -> std::string
{
    auto text = std::ostringstream{};
    text << std::hex << std::uppercase << std::setfill('0') << std::setw(8)
         << htonl(endpoint.address().to_v4().to_uint()) << ':' << std::setw(4) << endpoint.port();
    return text.str();
}

/// Finds the inode of the socket at one end of a connection within this machine.
/// \returns The inode; empty if there is no such connection.
auto inode_of(const tcp::endpoint& own_end, const tcp::endpoint& other_end) -> std::string
{
    constexpr auto columns_before_inode = 6;
    const auto wanted_local = table_entry(own_end);
    const auto wanted_remote = table_entry(other_end);
    auto table = std::ifstream{"/proc/net/tcp"};
    for (auto line = std::string{}; std::getline(table, line);) {
        auto columns = std::istringstream{line};
        auto column = std::string{};
        auto local = std::string{};
        auto remote = std::string{};
        columns >> column >> local >> remote;
        if (local != wanted_local || remote != wanted_remote) {
            continue;
        }
        for (auto skipped = 0; skipped < columns_before_inode; ++skipped) {
            columns >> column;
        }
        auto inode = std::string{};
        columns >> inode;
        return inode;
    }
    return "";
}

/// Passes bytes on between two connections until one of them ends.
class proxied_connection final : public std::enable_shared_from_this<proxied_connection>
{
public:
    proxied_connection(tcp::socket from, tcp::socket to) : ends_{std::move(from), std::move(to)} {}

    auto start(const address& where) -> void
    {
        ends_[1].async_connect(endpoint_of(where),
                               [self = shared_from_this()](const error_code& failure) {
                                   if (failure) {
                                       self->close();
                                       return;
                                   }
                                   self->forward(0);
                                   self->forward(1);
                               });
    }

private:
    auto forward(std::size_t end) -> void
    {
        auto& buffer = buffers_.at(end);
        ends_.at(end).async_read_some(
            boost::asio::buffer(buffer),
            [self = shared_from_this(), end](const error_code& failure, std::size_t bytes) {
                if (failure) {
                    self->close();
                    return;
                }
                boost::asio::async_write(self->ends_.at(1 - end),
                                         boost::asio::buffer(self->buffers_.at(end).data(), bytes),
                                         [self, end](const error_code& write_failure, std::size_t) {
                                             if (write_failure) {
                                                 self->close();
                                                 return;
                                             }
                                             self->forward(end);
                                         });
            });
    }

    auto close() -> void
    {
        auto ignored = error_code{};
        for (auto& end : ends_) {
            end.close(ignored);
        }
    }

    std::array<tcp::socket, 2> ends_;
    std::array<std::array<char, buffer_bytes>, 2> buffers_{};
};

} // namespace

store_proxy::store_proxy(boost::asio::io_context& loop, const address& where)
    : loop_{&loop}, acceptor_{loop, endpoint_of(where)}
{
    accept();
}

auto store_proxy::add_instance(const entry_process& process, const address& listener) -> void
{
    instances_.emplace_back(&process, listener);
}

auto store_proxy::accept() -> void
{
    acceptor_.async_accept([this](const error_code& failure, socket from) {
        if (!failure) {
            connect_to_listener(std::move(from));
        }
        accept();
    });
}

auto store_proxy::connect_to_listener(socket from) -> void
{
    auto gone = error_code{};
    const auto instance_end = from.remote_endpoint(gone);
    if (gone) {
        return;
    }
    const auto inode = inode_of(instance_end, acceptor_.local_endpoint());
    const auto owner = std::find_if(instances_.begin(), instances_.end(),
                                    [&](const auto& one) { return one.first->owns_socket(inode); });
    if (owner != instances_.end()) {
        std::make_shared<proxied_connection>(std::move(from), socket{*loop_})->start(owner->second);
    }
}

} // namespace knapweedchute::soak
