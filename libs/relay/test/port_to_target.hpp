#pragma once

#include "lavenderhoist/net/deadline_queue.hpp"
#include "lavenderhoist/relay/crash_watch.hpp"
#include "lavenderhoist/relay/target_port.hpp"

#include <boost/asio/io_context.hpp>

namespace lavenderhoist::relay {

/** \brief A port to a target of the service `back` that a test plays; its answers echo `x-id` and
 * bear `x-signed`, its refusals `x-refused`. */
class port_to_target {
public:
    /** \param slots of the target, and connections that it takes. */
    port_to_target(boost::asio::io_context& context, const net::tcp::endpoint& where, int slots)
        : deadlines_(context.get_executor()),
          port_(context.get_executor(), names_, "node", deadlines_, crashes_) {
        target_settings settings;
        settings.id = "target";
        settings.service = "back";
        settings.where = where;
        settings.slots = slots;
        settings.max_connections = slots;
        settings.is_accepting = true;
        port_.set_target(settings);
    }

    target_port& port() noexcept { return port_; }

private:
    static wire_names make_names() {
        wire_names names;
        names.request_id = "x-id";
        names.not_executed = "x-refused";
        names.signature = "x-signed";
        names.time_left_ms = "x-left";
        names.target_id = "x-target";
        names.caller = "x-caller";
        return names;
    }

    wire_names names_{make_names()};
    net::deadline_queue deadlines_;
    crash_watch crashes_{"node"};
    target_port port_;
};

} // namespace lavenderhoist::relay
