#include "filelayer.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace fireflycrank {

namespace {

constexpr mode_t private_file_mode = 0600;
constexpr std::size_t read_block_bytes = std::size_t{1} << 20U;

auto disk_error(std::string const& operation, std::string const& path, int code) {
    bool const full = code == ENOSPC || code == EDQUOT;
    return fail(error_kind::disk_failure,
                operation + " " + path + ": " + std::generic_category().message(code),
                full ? "free space on the data disk, then restart the replica"
                     : "check the disk and the folder's permissions, then restart the replica");
}

int open_file(std::string const& path, int flags) {
    // open(2) is variadic; there is no other call that sets the mode at creation.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    return ::open(path.c_str(), flags | O_CLOEXEC, private_file_mode);
}

result<void> make_posix_folder(std::string const& folder) {
    std::error_code code;
    std::filesystem::create_directories(folder, code);
    if (code) {
        return disk_error("create folder", folder, code.value());
    }
    return ok();
}

result<std::vector<std::string>> list_posix(std::string const& folder) {
    std::error_code code;
    std::vector<std::string> names;
    std::filesystem::directory_iterator entry{folder, code};
    while (!code && entry != std::filesystem::directory_iterator{}) {
        names.push_back(entry->path().filename().string());
        entry.increment(code);
    }
    if (code) {
        return disk_error("list folder", folder, code.value());
    }
    std::sort(names.begin(), names.end());
    return names;
}

result<std::string> read_posix(std::string const& path) {
    int const file = open_file(path, O_RDONLY);
    if (file < 0) {
        if (errno == ENOENT) {
            return fail(error_kind::not_found, "no file " + path, "check the data folder");
        }
        return disk_error("open", path, errno);
    }
    std::string bytes;
    struct stat status {};
    if (::fstat(file, &status) == 0) {
        bytes.reserve(static_cast<std::size_t>(status.st_size));
    }
    while (true) {
        auto const old_size = bytes.size();
        bytes.resize(old_size + read_block_bytes);
        auto const count = ::read(file, bytes.data() + old_size, read_block_bytes);
        int const code = errno;
        bytes.resize(old_size + (count > 0 ? static_cast<std::size_t>(count) : 0));
        if (count < 0 && code == EINTR) {
            continue;
        }
        if (count <= 0) {
            ::close(file);
            if (count < 0) {
                return disk_error("read", path, code);
            }
            return bytes;
        }
    }
}

result<file_id> open_append_posix(std::string const& path) {
    int const file = open_file(path, O_WRONLY | O_CREAT | O_APPEND);
    if (file < 0) {
        return disk_error("open", path, errno);
    }
    return file_id{file};
}

result<void> append_posix(file_id file, std::string_view bytes) {
    while (!bytes.empty()) {
        auto const count = ::write(file.value, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return disk_error("append to", "log file", errno);
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return ok();
}

result<void> sync_posix(file_id file) {
    if (::fdatasync(file.value) != 0) {
        return disk_error("sync", "log file", errno);
    }
    return ok();
}

result<void> rename_posix(std::string const& from, std::string const& to) {
    std::error_code code;
    std::filesystem::rename(from, to, code);
    if (code) {
        return disk_error("rename", from, code.value());
    }
    return ok();
}

result<void> remove_posix(std::string const& path) {
    std::error_code code;
    std::filesystem::remove(path, code);
    if (code) {
        return disk_error("remove", path, code.value());
    }
    return ok();
}

result<void> sync_posix_folder(std::string const& folder) {
    DIR* const handle = ::opendir(folder.c_str());
    if (handle == nullptr) {
        return disk_error("open folder", folder, errno);
    }
    bool const synced = ::fsync(::dirfd(handle)) == 0;
    int const code = errno;
    ::closedir(handle);
    if (!synced) {
        return disk_error("sync folder", folder, code);
    }
    return ok();
}

result<file_id> lock_posix(std::string const& path) {
    int const file = open_file(path, O_RDWR | O_CREAT);
    if (file < 0) {
        return disk_error("open", path, errno);
    }
    if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
        ::close(file);
        return fail(error_kind::conflict, path + " is locked by another process",
                    "stop the other replica that uses this data folder");
    }
    return file_id{file};
}

} // namespace

file_layer posix_file_layer() {
    file_layer layer;
    layer.make_folder = make_posix_folder;
    layer.list = list_posix;
    layer.read = read_posix;
    layer.open_append = open_append_posix;
    layer.append = append_posix;
    layer.sync = sync_posix;
    layer.close = [](file_id file) { ::close(file.value); };
    layer.rename = rename_posix;
    layer.remove = remove_posix;
    layer.sync_folder = sync_posix_folder;
    layer.lock = lock_posix;
    return layer;
}

// Syncs the parent as well, since a power loss may otherwise remove the new folder with all files
// in it. The sync repeats at each start, because an earlier one may have ended before it.
result<void> make_durable_folder(file_layer const& files, std::string const& folder) {
    BOOST_OUTCOME_TRYV(files.make_folder(folder));
    auto const parent = std::filesystem::path{folder}.parent_path().string();
    return files.sync_folder(parent.empty() ? "." : parent);
}

result<void> replace_file(file_layer const& files, std::string const& folder,
                          std::string const& name, std::string_view bytes) {
    std::string const target = folder + "/" + name;
    std::string const temporary = target + ".tmp";
    BOOST_OUTCOME_TRYV(files.remove(temporary));
    BOOST_OUTCOME_TRY(file, files.open_append(temporary));
    auto written = files.append(file, bytes);
    if (written) {
        written = files.sync(file);
    }
    files.close(file);
    BOOST_OUTCOME_TRYV(std::move(written));
    BOOST_OUTCOME_TRYV(files.rename(temporary, target));
    return files.sync_folder(folder);
}

} // namespace fireflycrank
