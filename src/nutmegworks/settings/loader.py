"""Reads an INI file and reports all of its faults together."""
from __future__ import annotations

import configparser
import dataclasses
import typing

import result

from nutmegworks.settings import schema


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a settings file.

    :param section: empty if the fault concerns the whole file.
    :param key: empty if the fault concerns the whole section.
    """

    path: str
    section: str
    key: str
    detail: str

    def __str__(self) -> str:
        location = f'{self.path}: [{self.section}]'
        if self.key:
            location = f'{location} {self.key}'
        return f'{location}: {self.detail}'


def load(path: str) -> result.Result[schema.Settings, tuple[Fault, ...]]:
    """Read and validate a settings file.

    :return: the settings, or all faults of the file.
    """
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return result.Err((Fault(path, '', '', str(error)), ))
    return parse(text, path)


def parse(
    text: str,
    path: str = '<text>',
) -> result.Result[schema.Settings, tuple[Fault, ...]]:
    """Validate the text of a settings file.

    :param path: name of the file in faults.
    :return: the settings, or all faults of the text.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        return result.Err((_syntax_fault(path, error), ))
    faults = list(_unknown_settings(parser, path))
    value_by_attribute: dict[str, typing.Any] = {}
    for field in schema.FIELDS:
        text_value = parser.get(
            field.section, field.key, fallback=field.default
        )
        if text_value is None:
            faults.append(_fault(path, field, 'is required'))
            continue
        try:
            value_by_attribute[field.attribute] = field.parse(text_value)
        except ValueError as error:
            faults.append(_fault(path, field, f'{text_value!r} {error}'))
    if faults:
        return result.Err(tuple(faults))
    return result.Ok(schema.Settings(**value_by_attribute))


def _fault(path: str, field: schema.Field, detail: str) -> Fault:
    return Fault(path, field.section, field.key, detail)


def _syntax_fault(path: str, error: configparser.Error) -> Fault:
    section = str(getattr(error, 'section', '') or '')
    key = str(getattr(error, 'option', '') or '')
    detail = error.message.replace('\n', ' ')
    return Fault(path, section, key, detail)


def _unknown_settings(
    parser: configparser.ConfigParser,
    path: str,
) -> typing.Iterator[Fault]:
    known = {(field.section, field.key) for field in schema.FIELDS}
    sections = {section for section, _ in known}
    if parser.defaults():
        yield Fault(path, 'DEFAULT', '', 'is not supported')
    for section in parser.sections():
        if section not in sections:
            yield Fault(path, section, '', 'is an unknown section')
            continue
        for key in parser.options(section):
            if (section, key) not in known and key not in parser.defaults():
                yield Fault(path, section, key, 'is an unknown key')


__all__ = ('Fault', 'load', 'parse')
