#include "configwire.h"

#include "membership.pb.h"

namespace fireflycrank {

std::string encode_file_changes(config_files const& files, std::set<std::string> const& touched) {
    wire::ConfigFileChanges out;
    for (std::string const& name : touched) {
        auto const found = files.find(name);
        wire::ConfigFileChange& change = *out.add_changes();
        change.set_name(name);
        change.set_removed(found == files.end());
        if (found != files.end()) {
            change.set_content(found->second->content);
        }
    }
    return out.SerializeAsString();
}

bool apply_file_changes(std::string_view bytes, config_files& files) {
    wire::ConfigFileChanges in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return false;
    }
    for (wire::ConfigFileChange const& change : in.changes()) {
        if (change.removed()) {
            files.erase(change.name());
        } else {
            files[change.name()] = make_config_file(change.content());
        }
    }
    return true;
}

} // namespace fireflycrank
