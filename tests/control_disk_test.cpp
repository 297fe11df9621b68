#include "control_fakes.h"

#include "snapshot.h"

#include <cstdlib>
#include <filesystem>

using namespace control_test;

namespace {

struct test_log {
    result<wal_recovery> found{wal_recovery{}};
    std::vector<std::string> records;
    wal log;
};

void open_log(test_log& out, file_layer const& files, std::string const& folder = "data") {
    out.log.files = &files;
    out.log.folder = folder;
    out.found = open_wal(out.log, [&](std::string_view record) -> result<void> {
        out.records.emplace_back(record);
        return ok();
    });
}

std::string record_of(std::uint64_t number) {
    return "record-" + std::to_string(number) + std::string(number % 50, 'x');
}

} // namespace

TEST_CASE("the log keeps a synced prefix through any crash") {
    // Guards against a lost synced record, a record out of order, and a torn tail reported as
    // corruption.
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        rng random{seed};
        fake_disk disk;
        auto const files = disk.make_layer();
        std::uint64_t appended = 0;
        std::uint64_t synced = 0;
        std::uint64_t first = 0; // first record after the last checkpoint
        for (int restart = 0; restart < 6; ++restart) {
            test_log opened;
            open_log(opened, files);
            REQUIRE_MESSAGE(opened.found, "seed ", seed);
            auto const end = first + opened.records.size();
            REQUIRE_MESSAGE(end >= synced, "seed ", seed);
            REQUIRE_MESSAGE(end <= appended, "seed ", seed);
            for (std::size_t at = 0; at < opened.records.size(); ++at) {
                REQUIRE(opened.records[at] == record_of(first + at));
            }
            appended = end;
            synced = end;
            for (auto remaining = next_below(random, 12); remaining > 0; --remaining) {
                append_wal(opened.log, record_of(appended++));
                if (next_below(random, 3) == 0) {
                    disk.syncs_until_failure = next_below(random, 12) == 0 ? 0 : -1;
                    if (!sync_wal(opened.log)) {
                        CHECK(!sync_wal(opened.log)); // a failed sync is never retried
                        break;
                    }
                    synced = appended;
                }
                if (next_below(random, 15) == 0 && synced == appended) {
                    first = appended - 1;
                    REQUIRE(checkpoint_wal(opened.log, {record_of(first)}));
                }
            }
            disk.syncs_until_failure = -1;
            close_wal(opened.log);
            if (next_below(random, 3) != 0) {
                disk.crash(random);
            }
        }
    }
}

TEST_CASE("damage before the tail is reported at every position") {
    // Guards against a replica that silently drops entries it has acknowledged.
    fake_disk disk;
    auto const files = disk.make_layer();
    test_log opened;
    open_log(opened, files);
    for (std::uint64_t number = 0; number < 20; ++number) {
        append_wal(opened.log, record_of(number));
        REQUIRE(sync_wal(opened.log));
    }
    auto const names = disk.names;
    std::string const path = "data/wal-000000000001";
    auto const intact = names.at(path)->bytes;
    // The last 24 bytes are the unsynced sync marker, which states that everything before it is
    // durable.
    for (std::size_t at = 0; at + 24 < intact.size(); ++at) {
        auto damaged = intact;
        damaged[at] ^= 0x10;
        disk.names = names;
        disk.names[path] = std::make_shared<fake_disk::inode>();
        disk.names[path]->bytes = damaged;
        test_log reopened;
        open_log(reopened, files);
        REQUIRE_MESSAGE(!reopened.found, "byte ", at);
        REQUIRE(reopened.found.error().kind == error_kind::corrupt_data);
    }
    for (auto const& [name, file] : names) {
        disk.names = names;
        disk.names.erase(name);
        test_log reopened;
        open_log(reopened, files);
        CHECK(!reopened.found); // a lost segment must not look like a shorter log
    }
    disk.names = names;
    test_log reopened;
    open_log(reopened, files);
    CHECK(reopened.records.size() == 20);
}

TEST_CASE("a batch of appends costs one sync") {
    // Guards against a sync for each record, which bounds throughput by the disk's latency.
    fake_disk disk;
    auto const files = disk.make_layer();
    test_log opened;
    open_log(opened, files);
    auto const before = opened.log.syncs;
    for (std::uint64_t number = 0; number < 100; ++number) {
        append_wal(opened.log, record_of(number));
    }
    REQUIRE(sync_wal(opened.log));
    REQUIRE(sync_wal(opened.log)); // an empty batch needs no sync
    CHECK(opened.log.syncs == before + 1);
    CHECK(opened.log.appends == 100);
}

TEST_CASE("after a crash the snapshot is the old or the new one, and damage is detected") {
    // Guards against a half-written snapshot after a crash, and against an undetected bit flip in
    // an intact one.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        rng random{seed};
        fake_disk disk;
        auto const files = disk.make_layer();
        REQUIRE(write_snapshot(files, "data", "one", "first body"));
        disk.free_bytes = next_below(random, 200);
        disk.syncs_until_failure = static_cast<int>(next_below(random, 3)) - 1;
        bool const written = static_cast<bool>(write_snapshot(files, "data", "two", "second body"));
        disk.crash(random);
        auto const found = read_snapshot(files, "data");
        REQUIRE_MESSAGE((found && found.value()), "seed ", seed);
        auto const& header = found.value()->header;
        CHECK((header == "two" || (!written && header == "one")));
        auto& bytes = disk.names["data/snapshot"]->bytes;
        bytes[next_below(random, bytes.size())] ^= 1;
        CHECK(read_snapshot(files, "data").error().kind == error_kind::corrupt_data);
    }
}

TEST_CASE("the POSIX file layer behaves like the simulated disk") {
    // Guards against a simulated disk that guarantees more than the POSIX file layer.
    auto folder = (std::filesystem::temp_directory_path() / "fireflycrank-XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
    auto const files = posix_file_layer();
    CHECK(files.read(folder + "/none").error().kind == error_kind::not_found);
    for (std::uint64_t restart = 0; restart < 3; ++restart) {
        test_log opened;
        open_log(opened, files, folder);
        REQUIRE(opened.found);
        CHECK(opened.records.size() == restart);
        append_wal(opened.log, record_of(restart));
        REQUIRE(sync_wal(opened.log));
        close_wal(opened.log);
    }
    REQUIRE(replace_file(files, folder, "name", "old"));
    REQUIRE(replace_file(files, folder, "name", "new"));
    CHECK(files.read(folder + "/name").value() == "new");
    auto const lock = files.lock(folder + "/lock");
    REQUIRE(lock);
    CHECK(files.lock(folder + "/lock").error().kind == error_kind::conflict);
    files.close(lock.value());
    CHECK(files.append(file_id{-1}, "x").error().kind == error_kind::disk_failure);
    std::filesystem::remove_all(folder);
}
