// A registrar's own record of departures. Guards against an acknowledged departure that is
// forgotten when the process ends or the machine loses power, against a log that grows for ever,
// and against one that holds up the event loop.
#include "control_fakes.h"
#include "departurestore.h"

#include <future>

namespace fireflycrank {

namespace {

using control_test::fake_disk;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char const* folder = "data";

wall_time at(std::chrono::milliseconds since_start) {
    return wall_time{since_start};
}

target_announcement leaving(std::string const& id, std::int64_t born,
                            target_phase state = target_phase::departed) {
    target_announcement target;
    target.id = id;
    target.service = "s";
    target.address = "10.0.0.1:80";
    target.started_at = at(milliseconds{born});
    target.state = state;
    return target;
}

std::vector<std::string> ids_of(departure_ledger const& ledger) {
    std::vector<std::string> ids;
    for (auto const& [id, departure] : ledger.departures) {
        ids.push_back(id);
    }
    return ids;
}

// Runs a store's event loop until a condition holds.
template <class condition>
bool run_until(net::io_context& loop, condition const& holds) {
    auto const end = std::chrono::steady_clock::now() + seconds{10};
    while (!holds() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_for(milliseconds{1});
    }
    return holds();
}

} // namespace

TEST_CASE("a departure that is recorded needs no other record for half of its time") {
    departure_log_settings const settings;
    departure_ledger ledger;
    add_departure(ledger, {leaving("a", 100, target_phase::draining), at(seconds{0})}, settings);
    CHECK(covers(ledger, leaving("a", 100, target_phase::draining), settings, at(seconds{59})));
    CHECK_FALSE(
        covers(ledger, leaving("a", 100, target_phase::draining), settings, at(seconds{60})));
    CHECK_FALSE(covers(ledger, leaving("a", 100), settings, at(seconds{1})));
    CHECK_FALSE(
        covers(ledger, leaving("a", 200, target_phase::draining), settings, at(seconds{1})));
    CHECK_FALSE(covers(ledger, leaving("b", 100), settings, at(seconds{1})));
    add_departure(ledger, {leaving("a", 200), at(seconds{1})}, settings);
    add_departure(ledger, {leaving("a", 100), at(seconds{2})},
                  settings); // a late word of the earlier one
    CHECK(ledger.departures.at("a").target.started_at == at(milliseconds{200}));
    CHECK(covers(ledger, leaving("a", 100), settings, at(seconds{3})));
}

TEST_CASE("recorded departures expire, also after a step of the clock") {
    departure_log_settings const settings;
    departure_ledger ledger;
    add_departure(ledger, {leaving("a", 1), at(seconds{0})}, settings);
    add_departure(ledger, {leaving("ahead", 1), at(seconds{500})}, settings);
    remove_expired(ledger, settings, at(seconds{100}));
    CHECK(ids_of(ledger) == std::vector<std::string>{"a", "ahead"});
    remove_expired(ledger, settings, at(seconds{121}));
    CHECK(ids_of(ledger) == std::vector<std::string>{"ahead"});
    remove_expired(ledger, settings, at(seconds{221}));
    CHECK(ledger.departures.empty());
}

// Deregistrations of ids that nobody knows are not bounded by the number of targets.
TEST_CASE("a flood of departures displaces none of an announced target") {
    departure_log_settings settings;
    settings.limits.targets = 100;
    departure_ledger ledger;
    add_departure(ledger, {leaving("real", 1), at(seconds{0})}, settings);
    for (int number = 0; number < 500; ++number) {
        auto other = leaving("other-" + std::to_string(number), 1);
        other.service.clear();
        add_departure(ledger, {other, at(seconds{1} + milliseconds{number})}, settings);
    }
    CHECK(ledger.departures.size() == 100);
    CHECK(ledger.departures.contains("real"));
    std::size_t bytes = 0;
    for (auto const& [id, departure] : ledger.departures) {
        bytes += text_bytes(departure.target);
    }
    CHECK(ledger.text_bytes == bytes);
    remove_expired(ledger, settings, at(seconds{500}));
    CHECK(ledger.text_bytes == 0);
}

// Any moment of a power cut, a full disk or a failed sync.
TEST_CASE("what was written outlives power cuts at any moment") {
    rng random{7};
    departure_log_settings settings;
    settings.checkpoint_bytes = 2'000; // rewritten often
    for (int round = 0; round < 300; ++round) {
        fake_disk disk;
        std::set<std::string> promised;
        unsigned number = 0;
        for (int life = 0; life < 4; ++life) {
            departure_log log;
            auto opened =
                open_departure_log(log, disk.make_layer(), folder, settings, at(seconds{1}));
            REQUIRE(opened);
            auto ledger = std::move(opened).value();
            for (auto const& id : promised) {
                CAPTURE(id);
                CHECK(ledger.departures.contains(id));
            }
            disk.operations_until_power_off = static_cast<int>(next_below(random, 40));
            while (true) {
                std::vector<stored_departure> added;
                for (auto count = 1 + next_below(random, 3); count > 0; --count) {
                    added.push_back({leaving("t" + std::to_string(number++), 1), at(seconds{1})});
                }
                auto const written = write_departures(log, added, settings);
                if (!written) {
                    break;
                }
                for (auto const& one : added) {
                    add_departure(ledger, one, settings);
                    promised.insert(one.target.id);
                }
                if (written.value() && !rewrite_departures(log, ledger)) {
                    break;
                }
            }
            close_wal(log.log);
            disk.crash(random);
            disk.clear_faults();
        }
    }
}

TEST_CASE("the log stays small over many starts and departures") {
    fake_disk disk;
    departure_log_settings settings;
    settings.checkpoint_bytes = 10'000;
    for (int start = 0; start < 50; ++start) {
        departure_log log;
        auto const now = at(seconds{10 * start});
        auto ledger = open_departure_log(log, disk.make_layer(), folder, settings, now);
        REQUIRE(ledger);
        CHECK(ledger.value().departures.size() <= 13 * 40); // of the last 120 s
        for (int number = 0; number < 40; ++number) {
            auto const id = std::to_string(start) + "/" + std::to_string(number);
            stored_departure const added{leaving(id, 1), now};
            auto const written = write_departures(log, {added}, settings);
            REQUIRE(written);
            add_departure(ledger.value(), added, settings);
            if (written.value()) {
                REQUIRE(rewrite_departures(log, ledger.value()));
            }
        }
        close_wal(log.log);
    }
    std::size_t bytes = 0;
    for (auto const& [name, file] : disk.names) {
        bytes += file->bytes.size();
    }
    CHECK(disk.names.size() <= 3);
    CHECK(bytes < 100'000);
}

TEST_CASE("a log that cannot be read is replaced by an empty one") {
    fake_disk disk;
    {
        departure_log log;
        auto const opened = open_departure_log(log, disk.make_layer(), folder, {}, at(seconds{1}));
        REQUIRE(opened);
        REQUIRE(write_departures(log, {{leaving("a", 1), at(seconds{1})}}, {}));
        REQUIRE(write_departures(log, {{leaving("b", 1), at(seconds{1})}}, {}));
        close_wal(log.log);
    }
    for (auto const& [name, file] : disk.names) {
        file->bytes[file->bytes.size() / 2] ^= '\x55';
    }
    departure_log log;
    auto const opened = open_departure_log(log, disk.make_layer(), folder, {}, at(seconds{1}));
    REQUIRE(opened);
    REQUIRE(write_departures(log, {{leaving("c", 1), at(seconds{1})}}, {}));
    close_wal(log.log);
}

// A disk that hangs for seconds must not keep a registrar from serving the directory.
TEST_CASE("a store confirms after the sync, and the loop goes on while the disk hangs") {
    fake_disk disk;
    std::promise<void> disk_moves;
    std::atomic<bool> hangs{false};
    auto files = disk.make_layer();
    files.sync = [&, sync = files.sync, moves = disk_moves.get_future().share()](file_id file) {
        if (hangs) {
            moves.wait();
        }
        return sync(file);
    };
    net::io_context loop;
    departure_store store{loop, files, folder};
    CHECK(store.open(at(seconds{1})).empty());
    hangs = true;
    int confirmed = 0;
    auto const confirm = [&] { ++confirmed; };
    store.record(leaving("a", 1), at(seconds{1}), confirm);
    store.record(leaving("a", 1), at(seconds{1}), confirm); // the notice again
    store.record(leaving("b", 1), at(seconds{1}), confirm);
    for (int step = 0; step < 20; ++step) {
        loop.restart();
        loop.run_for(milliseconds{1});
    }
    CHECK(confirmed == 0);
    disk_moves.set_value();
    CHECK(run_until(loop, [&] { return confirmed == 3; }));
    store.record(leaving("b", 1), at(seconds{2}), confirm); // recorded already
    CHECK(confirmed == 4);
    CHECK(store.kept() == 2);
}

// A rewrite of the log must not lose what is recorded while it is due.
TEST_CASE("a store keeps what is recorded from a confirmation") {
    fake_disk disk;
    departure_log_settings settings;
    settings.checkpoint_bytes = 500; // due all the time
    int const count = 200;
    int confirmed = 0;
    {
        net::io_context loop;
        departure_store store{loop, disk.make_layer(), folder, settings};
        store.open(at(seconds{1}));
        std::function<void()> const record_next = [&] {
            if (++confirmed < count) {
                store.record(leaving(std::to_string(confirmed), 1), at(seconds{1}), record_next);
            }
        };
        store.record(leaving("0", 1), at(seconds{1}), record_next);
        CHECK(run_until(loop, [&] { return confirmed == count; }));
    }
    departure_log log;
    auto const opened =
        open_departure_log(log, disk.make_layer(), folder, settings, at(seconds{1}));
    REQUIRE(opened);
    CHECK(opened.value().departures.size() == static_cast<std::size_t>(count));
    close_wal(log.log);
}

TEST_CASE("a store whose disk was full confirms once it can write again") {
    fake_disk disk;
    net::io_context loop;
    departure_store store{loop, disk.make_layer(), folder};
    store.open(at(seconds{1}));
    bool confirmed = false;
    disk.free_bytes = 0;
    store.record(leaving("a", 1), at(seconds{1}), [&] { confirmed = true; });
    loop.restart();
    loop.run_for(milliseconds{50});
    CHECK_FALSE(confirmed);
    disk.clear_faults();
    CHECK(run_until(loop, [&] {
        store.maintain(at(seconds{2}), [](auto const&) {});
        return confirmed;
    }));
    CHECK(store.kept() == 1);
}

} // namespace fireflycrank
