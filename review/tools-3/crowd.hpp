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

    /** Opens the connections. For this time, one that is turned away tries again. */
    void open(int ms) {
        for (std::size_t i = 0; i < connections_; ++i) {
            open_.push_back(std::make_unique<connection>());
            open_.back()->open(through_.callers);
        }
        persist(ms, "");
    }

    /** Sends the bodies, a chunk to each connection in turn. */
    void send() {
        const auto chunk = whole_chunk();
        for (std::size_t i = 0; i < open_.size(); ++i) {
            send_in_time(*open_[i], head("crowd-" + std::to_string(i)));
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

    /** For this time, one that is turned away tries again and sends its body. */
    void persist(int ms) {
        std::string body = head("crowd-again");
        for (std::size_t i = 0; i < chunks_; ++i) {
            body += whole_chunk();
        }
        persist(ms, body + "0\r\n\r");
    }

    std::size_t size() const { return open_.size(); }
    std::size_t body_bytes() const { return chunks_ * chunk_bytes_; }

    void close() { open_.clear(); }

private:
    static std::string head(const std::string& id) {
        return request_head("POST", "/leny950/2f", id, 6000) + "Transfer-Encoding: chunked\r\n\r\n";
    }

    std::string whole_chunk() const {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", chunk_bytes_);
        return size + std::string(chunk_bytes_, 'x') + "\r\n";
    }

    void persist(int ms, const std::string& text) {
        const auto until = steady::now() + milliseconds(ms);
        std::vector<pollfd> states(open_.size());
        while (steady::now() < until) {
            for (std::size_t i = 0; i < open_.size(); ++i) {
                states[i] = {open_[i]->fd(), POLLRDHUP, 0};
            }
            ::poll(states.data(), states.size(), 1);
            for (std::size_t i = 0; i < open_.size(); ++i) {
                const bool has_ended = (states[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
                if ((has_ended || !open_[i]->is_open()) && open_[i]->open(through_.callers)) {
                    send_in_time(*open_[i], text);
                }
            }
        }
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
