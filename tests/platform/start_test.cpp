#include "world.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

namespace lavenderhoist::platform_test {
namespace {

// The platform signals changed settings at any time, also while a node reads them for the first
// time: here from a pipe, on which it waits.
TEST(platform_start, a_signal_to_read_settings_again_does_not_end_a_starting_node) {
    const auto folder = std::filesystem::temp_directory_path();
    const auto pipe = (folder / ("lh-start-" + std::to_string(::getpid()))).string();
    ASSERT_EQ(::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR), 0);
    harness::process node(
        std::vector<std::string>{std::string(LAVENDERHOIST_BINARIES) + "/lh-sidecar", "--settings",
                                 pipe},
        pipe + ".log");
    int writer = -1;
    EXPECT_TRUE(wait_until([&] {
        writer = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK); // fails until the node reads
        return writer >= 0;
    }));
    node.send(SIGHUP);
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_TRUE(node.is_running());
    ::close(writer);
    node.kill();
    std::filesystem::remove(pipe);
    std::filesystem::remove(pipe + ".log");
}

} // namespace
} // namespace lavenderhoist::platform_test
