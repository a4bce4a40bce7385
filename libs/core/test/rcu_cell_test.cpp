#include "lavenderhoist/core/rcu_cell.hpp"

#include <gtest/gtest.h>

#include <array>
#include <thread>
#include <vector>

using namespace lavenderhoist;

TEST(rcu_cell, readers_see_whole_values_while_writers_replace_them) {
    using value = std::array<int, 64>;
    rcu_cell<value> cell(std::make_unique<const value>());
    std::atomic<bool> done{false};
    std::atomic<int> torn{0};
    std::vector<std::thread> readers;
    for (int i = 0; i < 3; ++i) {
        readers.emplace_back([&] {
            const rcu_reader registration;
            while (!done) {
                cell.read([&](const value& seen) {
                    for (const int element : seen) {
                        torn += element == seen[0] ? 0 : 1;
                    }
                });
            }
        });
    }
    for (int i = 1; i < 300; ++i) {
        value next;
        next.fill(i);
        cell.replace(std::make_unique<const value>(next));
    }
    done = true;
    for (auto& reader : readers) {
        reader.join();
    }
    EXPECT_EQ(torn, 0);
}
