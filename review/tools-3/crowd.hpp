#pragma once

// Clients that the operators do not control: many connections at once, each with one chunked body
// that stops just short of its end and stays open.

#include "platform.hpp"

namespace review {

class crowd {
public:
    crowd(machine& through, std::size_t connections, std::size_t chunks, std::size_t chunk_bytes)
        : through_(through),
          connections_(connections),
          chunks_(chunks),
          chunk_bytes_(chunk_bytes) {}

    /** Gives this process as many descriptors as the crowd needs. \returns false if it may not have
     * them. */
    bool reserve_descriptors() const {
        constexpr rlim_t others = 300;
        rlimit bound{};
        ::getrlimit(RLIMIT_NOFILE, &bound);
        const rlim_t needed = connections_ + others;
        bound.rlim_cur = std::max(bound.rlim_cur, std::min(needed, bound.rlim_max));
        ::setrlimit(RLIMIT_NOFILE, &bound);
        return bound.rlim_cur >= needed;
    }

    /** Opens the connections and sends the bodies, a chunk to each in turn. */
    void send() {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", chunk_bytes_);
        const auto chunk = size + std::string(chunk_bytes_, 'x') + "\r\n";
        for (std::size_t i = 0; i < connections_; ++i) {
            auto made = std::make_unique<connection>();
            if (made->open(through_.callers)) {
                open_.push_back(std::move(made));
            }
        }
        for (std::size_t i = 0; i < open_.size(); ++i) {
            send_in_time(*open_[i],
                         request_head("POST", "/leny950/2f", "crowd-" + std::to_string(i), 6000) +
                             "Transfer-Encoding: chunked\r\n\r\n");
        }
        for (std::size_t round = 0; round < chunks_; ++round) {
            for (const auto& each : open_) {
                send_in_time(*each, chunk);
            }
        }
        for (const auto& each : open_) {
            send_in_time(*each, "0\r\n\r"); // the last byte of the body is missing
        }
    }

    /** For this time, opens each connection that ended again and sends its body, as one that is
     * turned away tries again. */
    void persist(int ms) {
        const auto until = steady::now() + milliseconds(ms);
        const auto body = whole_body();
        while (steady::now() < until) {
            sleep_ms(1);
            for (const auto& each : open_) {
                char byte = 0;
                const bool has_ended =
                    each->is_open() && ::recv(each->fd(), &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
                const bool was_reset = each->is_open() && !has_ended && is_reset(*each);
                if (has_ended || was_reset || !each->is_open()) {
                    if (each->open(through_.callers)) {
                        send_in_time(*each, body);
                    }
                }
            }
        }
    }

    std::size_t size() const { return open_.size(); }
    std::size_t body_bytes() const { return chunks_ * chunk_bytes_; }

    void close() { open_.clear(); }

private:
    static bool is_reset(const connection& one) {
        pollfd state{one.fd(), POLLIN, 0};
        return ::poll(&state, 1, 0) == 1 && (state.revents & (POLLERR | POLLHUP)) != 0;
    }

    std::string whole_body() const {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", chunk_bytes_);
        std::string text = request_head("POST", "/leny950/2f", "crowd-again", 6000) +
                           "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t i = 0; i < chunks_; ++i) {
            text += size + std::string(chunk_bytes_, 'x') + "\r\n";
        }
        return text + "0\r\n\r";
    }

    /** Gives up a connection whose peer takes nothing. */
    static void send_in_time(connection& to, std::string_view bytes) {
        constexpr int patience_ms = 200;
        while (!bytes.empty() && to.is_open()) {
            pollfd waiting{to.fd(), POLLOUT, 0};
            if (::poll(&waiting, 1, patience_ms) != 1) {
                return;
            }
            const auto count =
                ::send(to.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    machine& through_;
    std::size_t connections_;
    std::size_t chunks_;
    std::size_t chunk_bytes_;
    std::vector<std::unique_ptr<connection>> open_;
};

} // namespace review
