#include "base/json.h"

#include "base/jsonscan.h"

namespace briarwharf {

namespace {

    const Json* findField(const Json& value, std::string_view name)
    {
        if (!value.is_object())
            return nullptr;
        auto field = value.find(std::string(name));
        return field == value.end() ? nullptr : &*field;
    }

    Error notJson(std::string_view what)
    {
        return { ErrorKind::InvalidArgument, std::string(what) + " is not valid JSON: send one JSON value" };
    }

    // Checks what must hold before the text is parsed.
    Status checkBounds(std::string_view text, std::string_view what)
    {
        JsonSize size = measureJson(text);
        if (size.depth > maxJsonDepth)
            return Error { ErrorKind::InvalidArgument,
                std::string(what) + " is nested deeper than " + std::to_string(maxJsonDepth)
                    + " levels: send flatter JSON" };
        if (size.values > maxJsonValues)
            return Error { ErrorKind::TooLarge,
                std::string(what) + " has more than " + std::to_string(maxJsonValues)
                    + " values: send it in parts" };
        // The parser takes this byte after a value for the end of the text, and ignores what follows.
        if (text.find('\0') != std::string_view::npos)
            return notJson(what);
        return ok();
    }

} // namespace

Result<Json> parseJson(std::string_view text, std::string_view what)
{
    Status bounded = checkBounds(text, what);
    if (!bounded)
        return bounded.error();
    Json value = Json::parse(text.begin(), text.end(), nullptr, false);
    if (value.is_discarded())
        return notJson(what);
    return value;
}

Status checkJson(std::string_view text, std::string_view what)
{
    Status bounded = checkBounds(text, what);
    if (!bounded)
        return bounded;
    return Json::accept(text.begin(), text.end()) ? ok() : Status(notJson(what));
}

std::string dumpJson(const Json& value) { return value.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::optional<std::string> stringField(const Json& value, std::string_view name)
{
    const Json* field = findField(value, name);
    if (!field || !field->is_string())
        return std::nullopt;
    return field->get<std::string>();
}

std::optional<std::int64_t> integerField(const Json& value, std::string_view name)
{
    const Json* field = findField(value, name);
    if (!field || !field->is_number_integer())
        return std::nullopt;
    return field->get<std::int64_t>();
}

std::optional<double> numberField(const Json& value, std::string_view name)
{
    const Json* field = findField(value, name);
    if (!field || !field->is_number())
        return std::nullopt;
    return field->get<double>();
}

std::optional<bool> booleanField(const Json& value, std::string_view name)
{
    const Json* field = findField(value, name);
    if (!field || !field->is_boolean())
        return std::nullopt;
    return field->get<bool>();
}

} // namespace briarwharf
