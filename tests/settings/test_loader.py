from __future__ import annotations

import hypothesis
from hypothesis import strategies

from nutmegworks.settings import loader
from nutmegworks.settings import schema

VALID = """
[daemon]
host_id = n1
domain = amman-north
region = amman
callers = 127.0.0.1:9001
peers = 127.0.0.1:9101
[platform]
store = 127.0.0.1:9200
hosts = 127.0.0.1:9201
[cluster]
key = 000102030405060708090a0b0c0d0e0f
"""


def test_all_faults_are_reported_together() -> None:
    """An operator must not need one start of the daemon per fault."""
    text = VALID.replace('127.0.0.1:9001', 'localhost:9001')
    text = text.replace('domain = amman-north\n', '')
    text += '[limits]\nbody = 1 MB\nbdoy = 1 MiB\n[stopp]\ngrace = 5 s\n'
    faults = loader.parse(text, 'a.ini').err_value
    locations = {(fault.section, fault.key) for fault in faults}
    assert locations == {
        ('daemon', 'callers'),
        ('daemon', 'domain'),
        ('limits', 'body'),
        ('limits', 'bdoy'),
        ('stopp', ''),
    }
    assert all(str(fault).startswith('a.ini: [') for fault in faults)


def test_duplicate_key_is_a_fault() -> None:
    """The second value of a key must not silently replace the first."""
    text = VALID.replace('region = amman', 'region = amman\nregion = x')
    (fault, ) = loader.parse(text).err_value
    assert (fault.section, fault.key) == ('daemon', 'region')


def test_missing_optional_settings_have_defaults() -> None:
    settings = loader.parse(VALID).ok_value
    assert settings.daemon_callers == ('127.0.0.1', 9001)
    assert settings.limits_body == 1024 * 1024


@hypothesis.settings(derandomize=True, max_examples=200, database=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [field.key for field in schema.FIELDS] + ['[limits]', '%(x)s']
            ),
            strategies.text(max_size=30),
        ),
        max_size=8,
    )
)
def test_any_text_gives_settings_or_faults(
    lines: list[tuple[str, str]]
) -> None:
    """No text may raise: the daemon must report faults, not a traceback."""
    text = VALID + '\n'.join(f'{key} = {value}' for key, value in lines)
    outcome = loader.parse(text)
    assert outcome.is_ok() or outcome.err_value
