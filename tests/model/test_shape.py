from __future__ import annotations

import pytest

from nutmegworks.model import shape


@pytest.mark.parametrize('text', ['', '0x8', '8', '2x', '2x8@host', '65x8'])
def test_invalid_shape_text_is_refused(text: str) -> None:
    """A typing error of an operator must not become a guarantee."""
    with pytest.raises(shape.ShapeError):
        shape.Shape.parse(text)
