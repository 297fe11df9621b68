/// @file
/// Checks a JSON document against a protobuf message type whose fields carry rules (range, default,
/// allowed strings), and fills the message.
#pragma once

#include "jsonmerge.h"

#include <google/protobuf/message.h>

#include <string>

namespace fireflycrank {

/// Fills a message from a merged document. Absent fields receive the default of their rule.
/// @param merged the document; faults found are appended to it
/// @param message receives the values; its contents mean nothing once a fault was found
void fill_message(merged_json& merged, google::protobuf::Message& message);

/// Describes all keys of a message type, nested ones included, as rows of a Markdown table.
/// @param descriptor the message type
/// @param prefix path of the message in the document, for example "routes.NAME."
/// @return one row for each key: key, type, range, default, meaning
std::string describe_fields(google::protobuf::Descriptor const& descriptor,
                            std::string const& prefix);

} // namespace fireflycrank
