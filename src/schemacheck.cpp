#include "schemacheck.h"

#include "settings.pb.h"

#include <cmath>
#include <limits>
#include <optional>

namespace fireflycrank {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using nlohmann::json;

settings::Rule const& rule_of(FieldDescriptor const& field) {
    return field.options().GetExtension(settings::rule);
}

// Path of a key inside the object at `path`.
std::string child_of(std::string path, std::string const& key) {
    path += '/';
    path += key;
    return path;
}

bool has_range(settings::Rule const& rule) {
    return rule.min() != 0 || rule.max() != 0;
}

std::string type_name(FieldDescriptor const& field) {
    if (field.is_map()) {
        return "object of NAME to object";
    }
    std::string name;
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        name = "string";
        break;
    case FieldDescriptor::CPPTYPE_BOOL:
        name = "true or false";
        break;
    case FieldDescriptor::CPPTYPE_DOUBLE:
        name = "number";
        break;
    case FieldDescriptor::CPPTYPE_MESSAGE:
        name = "object";
        break;
    default:
        name = "whole number";
        break;
    }
    return field.is_repeated() ? "list of " + name : name;
}

std::string number_text(double value) {
    json const text = value;
    if (std::floor(value) == value && std::abs(value) < 1e15) {
        return std::to_string(static_cast<std::int64_t>(value));
    }
    return text.dump();
}

// One walk over a document: which file a fault is in, and where the faults are collected.
struct walk {
    merged_json* merged;

    void fault(std::string const& path, std::string message, std::string remedy) const {
        merged->faults.push_back(
            {origin_of(*merged, path), path, std::move(message), std::move(remedy)});
    }
};

void fill_object(walk const& check, json const& object, std::string const& path, Message& message);

bool range_holds(walk const& check, std::string const& path, settings::Rule const& rule,
                 double value) {
    if (!has_range(rule) || (value >= rule.min() && value <= rule.max())) {
        return true;
    }
    check.fault(path, number_text(value) + " is out of range",
                "use " + number_text(rule.min()) + " to " + number_text(rule.max()) +
                    (rule.unit().empty() ? "" : " " + rule.unit()));
    return false;
}

bool choice_holds(walk const& check, std::string const& path, settings::Rule const& rule,
                  std::string const& value) {
    if (rule.choices().empty()) {
        return true;
    }
    std::string allowed;
    for (std::string const& choice : rule.choices()) {
        if (choice == value) {
            return true;
        }
        allowed += (allowed.empty() ? "\"" : ", \"") + choice + "\"";
    }
    check.fault(path, "\"" + value + "\" is not allowed", "use one of " + allowed);
    return false;
}

// The bounds of the field's own type, for whole numbers without a narrower rule.
bool fits_integer(FieldDescriptor const& field, json const& value) {
    if (!value.is_number_integer()) {
        return false;
    }
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
        return value.is_number_unsigned() &&
               value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    case FieldDescriptor::CPPTYPE_UINT64:
        return value.is_number_unsigned();
    case FieldDescriptor::CPPTYPE_INT32:
        return !(value.is_number_unsigned() &&
                 value.get<std::uint64_t>() > std::numeric_limits<std::int32_t>::max()) &&
               value.get<std::int64_t>() >= std::numeric_limits<std::int32_t>::min();
    default:
        return true;
    }
}

void set_integer(FieldDescriptor const& field, json const& value, Message& message) {
    auto const* reflection = message.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
        reflection->SetUInt32(&message, &field, value.get<std::uint32_t>());
        break;
    case FieldDescriptor::CPPTYPE_UINT64:
        reflection->SetUInt64(&message, &field, value.get<std::uint64_t>());
        break;
    default:
        reflection->SetInt32(&message, &field, value.get<std::int32_t>());
        break;
    }
}

void fill_scalar(walk const& check, json const& value, std::string const& path,
                 FieldDescriptor const& field, Message& message) {
    auto const& rule = rule_of(field);
    auto const* reflection = message.GetReflection();
    std::string const expected = "use a " + type_name(field);
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        if (!value.is_string()) {
            check.fault(path, "the value is no string", expected);
        } else if (choice_holds(check, path, rule, value.get<std::string>())) {
            reflection->SetString(&message, &field, value.get<std::string>());
        }
        return;
    case FieldDescriptor::CPPTYPE_BOOL:
        if (!value.is_boolean()) {
            check.fault(path, "the value is neither true nor false", "use true or false");
        } else {
            reflection->SetBool(&message, &field, value.get<bool>());
        }
        return;
    case FieldDescriptor::CPPTYPE_DOUBLE:
        if (!value.is_number()) {
            check.fault(path, "the value is no number", expected);
        } else if (range_holds(check, path, rule, value.get<double>())) {
            reflection->SetDouble(&message, &field, value.get<double>());
        }
        return;
    default:
        if (!fits_integer(field, value)) {
            check.fault(path, "the value is no whole number that fits",
                        has_range(rule) ? "use a whole number from " + number_text(rule.min()) +
                                              " to " + number_text(rule.max())
                                        : expected);
        } else if (range_holds(check, path, rule, value.get<double>())) {
            set_integer(field, value, message);
        }
        return;
    }
}

// Adds a whole number of 32 bits, the only kind that the schema has lists of besides strings.
void add_integer(walk const& check, json const& value, std::string const& path,
                 FieldDescriptor const& field, Message& message) {
    if (!fits_integer(field, value)) {
        check.fault(path, "the element is no whole number that fits", "use a " + type_name(field));
    } else if (range_holds(check, path, rule_of(field), value.get<double>())) {
        message.GetReflection()->AddUInt32(&message, &field, value.get<std::uint32_t>());
    }
}

void fill_list(walk const& check, json const& value, std::string const& path,
               FieldDescriptor const& field, Message& message) {
    if (!value.is_array()) {
        check.fault(path, "the value is no list", "use a " + type_name(field));
        return;
    }
    for (std::size_t index = 0; index < value.size(); ++index) {
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
            add_integer(check, value[index], path + "/" + std::to_string(index), field, message);
            continue;
        }
        if (!value[index].is_string() || value[index].get<std::string>().empty()) {
            check.fault(path + "/" + std::to_string(index), "the element is no string with content",
                        "use a list of strings");
            continue;
        }
        message.GetReflection()->AddString(&message, &field, value[index].get<std::string>());
    }
}

// Map entries are reached through the repeated view that reflection gives of a map field.
void fill_map(walk const& check, json const& value, std::string const& path,
              FieldDescriptor const& field, Message& message) {
    if (!value.is_object()) {
        check.fault(path, "the value is no object", "use an object of names to objects");
        return;
    }
    for (auto const& [key, child] : value.items()) {
        std::string const child_path = child_of(path, key);
        if (key.empty() || key.find_first_of("/ \t\n") != std::string::npos) {
            check.fault(child_path, "the name is empty or holds a slash or white space",
                        "use letters, digits, '-', '_' and '.'");
            continue;
        }
        Message* entry = message.GetReflection()->AddMessage(&message, &field);
        auto const* key_field = field.message_type()->map_key();
        auto const* value_field = field.message_type()->map_value();
        entry->GetReflection()->SetString(entry, key_field, key);
        if (!child.is_object()) {
            check.fault(child_path, "the value is no object", "use an object");
            continue;
        }
        fill_object(check, child, child_path,
                    *entry->GetReflection()->MutableMessage(entry, value_field));
    }
}

json default_value(FieldDescriptor const& field, std::string const& text) {
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
        return text;
    }
    return json::parse(text);
}

void fill_absent(walk const& check, std::string const& path, FieldDescriptor const& field,
                 Message& message) {
    auto const& rule = rule_of(field);
    if (rule.required()) {
        check.fault(path, "the key is missing", "add it: " + rule.doc());
        return;
    }
    bool const is_object =
        field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE && !field.is_repeated();
    if (is_object) {
        // An absent object without required keys still receives the defaults of its fields.
        auto const* type = field.message_type();
        for (int index = 0; index < type->field_count(); ++index) {
            if (rule_of(*type->field(index)).required()) {
                return;
            }
        }
        fill_object(check, json::object(), path,
                    *message.GetReflection()->MutableMessage(&message, &field));
    } else if (!rule.default_().empty()) {
        fill_scalar(check, default_value(field, rule.default_()), path, field, message);
    }
}

void fill_field(walk const& check, json const& value, std::string const& path,
                FieldDescriptor const& field, Message& message) {
    if (field.is_map()) {
        fill_map(check, value, path, field, message);
    } else if (field.is_repeated()) {
        fill_list(check, value, path, field, message);
    } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        if (!value.is_object()) {
            check.fault(path, "the value is no object", "use an object");
            return;
        }
        fill_object(check, value, path, *message.GetReflection()->MutableMessage(&message, &field));
    } else {
        fill_scalar(check, value, path, field, message);
    }
}

void fill_object(walk const& check, json const& object, std::string const& path, Message& message) {
    auto const* descriptor = message.GetDescriptor();
    for (auto const& [key, value] : object.items()) {
        if (descriptor->FindFieldByName(key) == nullptr) {
            check.fault(child_of(path, key), "the key is unknown",
                        "remove it or correct its spelling; docs/SETTINGS.md lists all keys");
        }
    }
    for (int index = 0; index < descriptor->field_count(); ++index) {
        auto const& field = *descriptor->field(index);
        std::string const child_path = path + "/" + field.name();
        auto const value = object.find(field.name());
        if (value == object.end()) {
            fill_absent(check, child_path, field, message);
        } else {
            fill_field(check, *value, child_path, field, message);
        }
    }
}

std::string range_text(settings::Rule const& rule) {
    std::string text;
    for (std::string const& choice : rule.choices()) {
        text += (text.empty() ? "`" : ", `") + choice + "`";
    }
    if (has_range(rule)) {
        text = number_text(rule.min()) + " to " + number_text(rule.max());
    }
    if (!rule.unit().empty()) {
        text += (text.empty() ? "" : " ") + rule.unit();
    }
    return text;
}

} // namespace

void fill_message(merged_json& merged, Message& message) {
    json const document = merged.document;
    fill_object(walk{&merged}, document, "", message);
}

std::string describe_fields(google::protobuf::Descriptor const& descriptor,
                            std::string const& prefix) {
    std::string rows;
    for (int index = 0; index < descriptor.field_count(); ++index) {
        auto const& field = *descriptor.field(index);
        auto const& rule = rule_of(field);
        std::string const absent =
            rule.required() ? "required"
                            : (rule.default_().empty() ? "none" : "`" + rule.default_() + "`");
        rows.append("| `").append(prefix).append(field.name()).append("` | ");
        rows.append(type_name(field)).append(" | ").append(range_text(rule)).append(" | ");
        rows.append(absent).append(" | ").append(rule.doc()).append(" |\n");
        if (field.is_map()) {
            rows += describe_fields(*field.message_type()->map_value()->message_type(),
                                    prefix + field.name() + ".NAME.");
        } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            rows += describe_fields(*field.message_type(), prefix + field.name() + ".");
        }
    }
    return rows;
}

} // namespace fireflycrank
